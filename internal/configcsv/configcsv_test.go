package configcsv

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/entity"
)

const header = "kind,name,weight,rate_per_second,max_concurrent,max_queue,timeout,repeatable,drain,key_hashes\n"

func TestRead_UsesDefaultsForEmptyCells(t *testing.T) {
	is := is.New(t)
	c, err := Read(strings.NewReader("# version 12\n" + header + "tool,deposit,,,4,,30s,,,\n"))
	is.NoErr(err)
	is.Equal(c.Version, uint64(12))
	is.Equal(c.Rows, []entity.ConfigRow{{Kind: entity.RowTool, Name: "deposit", Weight: 1, MaxConcurrent: 4, Timeout: 30 * time.Second}})
}

func TestRead_AcceptsSpreadsheetExports(t *testing.T) {
	want := []entity.ConfigRow{{Kind: entity.RowTool, Name: "stock", Weight: 2.5, Repeatable: true}}
	semicolons := strings.ReplaceAll(header, ",", ";")
	cases := []struct{ name, text string }{
		{"cells separated by semicolons", "# version 1\n" + semicolons + "tool;stock;2.5;;;;;TRUE;;\n"},
		{"cells separated by tabs", "# version 1\n" + strings.ReplaceAll(header, ",", "\t") + "tool\tstock\t2.5\t\t\t\t\ttrue\t\t\n"},
		{"a byte order mark, CRLF line ends and empty cells after the version", "\xef\xbb\xbf# version 1,,,,,,,,,\r\n" + strings.TrimSpace(header) + "\r\ntool,stock,2.5,,,,,true,,\r\n,,,,,,,,,\r\n"},
		{"columns in another order", "# version 1\nname,kind,weight,rate_per_second,max_concurrent,max_queue,timeout,repeatable,drain,key_hashes\nstock,tool,2.5,,,,,true,,\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := Read(strings.NewReader(c.text))
			is.NoErr(err)
			is.Equal(got.Version, uint64(1))
			is.Equal(got.Rows, want)
		})
	}
}

func TestRead_ReportsLineAndColumn(t *testing.T) {
	cases := []struct {
		name, text string
		line       int
		column     string
	}{
		{"an invalid number", "# version 1\n" + header + "tool,a,x,,,,,,,\n", 3, "weight"},
		{"a decimal comma", "# version 1\n" + header + "tool,a,\"1,5\",,,,,,,\n", 3, "weight"},
		{"a timeout without a unit", "# version 1\n" + header + "tool,a,,,,,30,,,\n", 3, "timeout"},
		{"an invalid boolean", "# version 1\n" + header + "tool,a,,,,,,maybe,,\n", 3, "repeatable"},
		{"line numbers after a row that spans two lines", "# version 1\n" + header + "tool,\"a\nb\",,,,,,,,\ntool,c,-1,,,,,,,\n", 5, "weight"},
		{"a duplicate row", "# version 1\n" + header + "tool,a,,,,,,,,\ntool,a,,,,,,,,\n", 4, "name"},
		{"a missing column", "# version 1\nkind,name\n", 2, "weight"},
		{"an unknown column", "# version 1\nkind,name,colour\n", 2, "colour"},
		{"a missing cell", "# version 1\n" + header + "tool,a\n", 3, ""},
		{"an unclosed quote", "# version 1\n" + header + "tool,\"a\n", 3, ""},
		{"no version", header + "tool,a,,,,,,,,\n", 1, ""},
		{"an invalid version", "# version x\n" + header, 1, ""},
		{"an empty file", "", 1, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Read(strings.NewReader(c.text))
			var bad *Error
			is.True(errors.As(err, &bad))
			is.Equal(bad.Column, c.column)
			is.Equal(bad.Line, c.line)
		})
	}
}

func drawConfig(t *rapid.T) *entity.Config {
	name := rapid.StringMatching(`[a-z][a-z0-9 ,;"#-]{0,10}[a-z]`)
	c := &entity.Config{Version: rapid.Uint64().Draw(t, "version")}
	for _, n := range rapid.SliceOfNDistinct(name, 0, 8, rapid.ID[string]).Draw(t, "names") {
		r := entity.ConfigRow{
			Kind:          entity.RowWorkspace,
			Name:          n,
			Weight:        rapid.Float64Range(0.001, 1e6).Draw(t, "weight"),
			RatePerSecond: rapid.Float64Range(0, 1e9).Draw(t, "rate"),
			MaxConcurrent: rapid.IntRange(0, 1000).Draw(t, "concurrent"),
			Timeout:       time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "timeout")),
			Drain:         rapid.Bool().Draw(t, "drain"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "hashes") {
			r.KeyHashes = append(r.KeyHashes, strings.Repeat("0f", 32))
		}
		c.Rows = append(c.Rows, r)
	}
	return c
}

func TestWrite_RoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		var out bytes.Buffer
		if err := Write(&out, c); err != nil {
			t.Fatal(err)
		}
		back, err := Read(&out)
		if err != nil {
			t.Fatal(err)
		}
		if changes := Diff(c, back); len(changes) > 0 || back.Version != c.Version {
			t.Fatalf("the table differs after a round trip: %v", changes)
		}
	})
}

func TestDiff_ReportsRowsAndCells(t *testing.T) {
	is := is.New(t)
	before := &entity.Config{Rows: []entity.ConfigRow{
		{Kind: entity.RowTool, Name: "deposit", Weight: 1, Repeatable: true},
		{Kind: entity.RowModel, Name: "small", Weight: 1, MaxQueue: 7},
	}}
	after := &entity.Config{Rows: []entity.ConfigRow{
		{Kind: entity.RowWorkspace, Name: "couples", Weight: 2},
		{Kind: entity.RowTool, Name: "deposit", Weight: 1},
	}}
	changes := Diff(before, after)
	is.Equal(changes, []Change{
		{OpAdd, entity.RowWorkspace, "couples", []Cell{{"weight", "", "2"}}},
		{OpChange, entity.RowTool, "deposit", []Cell{{"repeatable", "true", ""}}},
		{OpRemove, entity.RowModel, "small", []Cell{{"max_queue", "7", ""}}},
	})
	var out strings.Builder
	is.NoErr(WriteChanges(&out, changes))
	is.True(strings.Contains(out.String(), `~ tool "deposit"  repeatable: "true" -> (default)`))
	is.Equal(len(Diff(after, after)), 0)
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("# version 12\n" + header + "tool,deposit,,,4,,30s,,,\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := Write(&out, c); err != nil {
			t.Fatal(err)
		}
		back, err := Read(&out)
		if err != nil {
			t.Fatalf("Read rejects a table that Write wrote: %v", err)
		}
		if changes := Diff(c, back); len(changes) > 0 {
			t.Fatalf("the table differs after a round trip: %v", changes)
		}
	})
}
