package entity

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestProgramID_Validate(t *testing.T) {
	cases := []struct {
		name string
		id   ProgramID
		ok   bool
		root ProgramID
	}{
		{"a root program has two parts", "amman-a.01ab", true, "amman-a.01ab"},
		{"a sub-agent has three parts and the root of its family", "amman-a.01ab.c1", true, "amman-a.01ab"},
		{"an empty part is invalid", "amman-a..c1", false, ""},
		{"an upper-case part is invalid", "amman-a.AB", false, ""},
		{"a single part is invalid", "amman-a", false, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.id.Validate() == nil, c.ok)
			if c.ok {
				is.Equal(c.id.Root(), c.root)
				is.Equal(c.id.DC(), "amman-a")
			}
		})
	}
}

func TestConfig_ValidateReportsRowAndColumn(t *testing.T) {
	is := is.New(t)
	c := Config{Rows: []ConfigRow{
		{Kind: RowWorkspace, Name: "couples", Weight: 1},
		{Kind: RowTool, Name: "deposit", Weight: -1},
	}}
	var rowErr *RowError
	is.True(errors.As(c.Validate(), &rowErr))
	is.Equal(rowErr.Row, 2)
	is.Equal(rowErr.Column, "weight")
}
