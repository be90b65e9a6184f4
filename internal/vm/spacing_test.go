package vm

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWriteSpacing_KeepsTheWritesOfTheWholeFleet(t *testing.T) {
	cases := []struct {
		name string
		dcs  int
		want time.Duration
	}{
		{"a single data centre has the interval of the settings", 1, 20 * time.Millisecond},
		{"so have three", 3, 20 * time.Millisecond},
		{"twelve write a quarter as often each", 12, 80 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(spacingFor(20*time.Millisecond, c.dcs), c.want)
		})
	}
}
