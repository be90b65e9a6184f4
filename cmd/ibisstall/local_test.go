package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestBinary_DemoShowsBothConversations(t *testing.T) {
	is := is.New(t)
	r := runBinary(t, nil, "demo")
	is.Equal(r.code, exitOK)
	is.Equal(strings.Count(r.stdout, " killed\n"), 2)
	is.True(strings.Contains(r.stdout, "ran exactly once"))
}

func TestBinary_LoadWritesJSONAndPlot(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	figures, plot := filepath.Join(dir, "load.json"), filepath.Join(dir, "load.svg")
	r := runBinary(t, nil, "load", "--local", "--shape", "rounds", "--engines", "2",
		"--duration", "5s", "--scale", "40", "--json", figures, "--plot", plot)
	is.Equal(r.code, exitOK)
	raw, err := os.ReadFile(figures)
	is.NoErr(err)
	var got struct {
		Shape  string `json:"shape"`
		Policy struct {
			Finished int `json:"programs_finished"`
		} `json:"policy"`
	}
	is.NoErr(json.Unmarshal(raw, &got))
	is.Equal(got.Shape, "rounds")
	is.True(got.Policy.Finished > 0)
	svg, err := os.ReadFile(plot)
	is.NoErr(err)
	is.True(strings.Contains(string(svg), "<svg"))
}
