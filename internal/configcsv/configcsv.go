// Package configcsv reads and writes the table of weights and limits as CSV,
// for spreadsheets, and compares two tables.
//
// The first line is a comment with the version that the table was read at:
// "# version 12". The next names the columns, in any order but all of them. An
// empty cell means the default: weight 1, no limit, false. Timeouts have a unit.
// Several key hashes stand in one cell, separated by blanks. Spreadsheets that
// separate cells by semicolons or tabs are understood.
package configcsv

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Error is a bad cell or line of a table.
type Error struct {
	Line   int    // in the file, from 1
	Column string // empty if the whole line is bad
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Column == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("line %d, column %s: %s", e.Line, e.Column, e.Reason)
}

// MaxBytes is the largest table that is read, in bytes.
const MaxBytes = 16 << 20

// column reads and writes one cell of a row.
type column struct {
	name  string
	get   func(r *entity.ConfigRow) string
	set   func(r *entity.ConfigRow, text string) error
	empty func(r *entity.ConfigRow)
}

var columns = []column{
	textColumn("kind", func(r *entity.ConfigRow) *string { return (*string)(&r.Kind) }),
	textColumn("name", func(r *entity.ConfigRow) *string { return &r.Name }),
	floatColumn("weight", 1, func(r *entity.ConfigRow) *float64 { return &r.Weight }),
	floatColumn("rate_per_second", 0, func(r *entity.ConfigRow) *float64 { return &r.RatePerSecond }),
	intColumn("max_concurrent", func(r *entity.ConfigRow) *int { return &r.MaxConcurrent }),
	intColumn("max_queue", func(r *entity.ConfigRow) *int { return &r.MaxQueue }),
	timeoutColumn(),
	boolColumn("repeatable", func(r *entity.ConfigRow) *bool { return &r.Repeatable }),
	boolColumn("drain", func(r *entity.ConfigRow) *bool { return &r.Drain }),
	keyHashesColumn(),
}

func textColumn(name string, field func(*entity.ConfigRow) *string) column {
	return column{
		name:  name,
		get:   func(r *entity.ConfigRow) string { return *field(r) },
		set:   func(r *entity.ConfigRow, text string) error { *field(r) = text; return nil },
		empty: func(*entity.ConfigRow) {},
	}
}

func floatColumn(name string, def float64, field func(*entity.ConfigRow) *float64) column {
	return column{
		name: name,
		get: func(r *entity.ConfigRow) string {
			if *field(r) == def {
				return ""
			}
			return strconv.FormatFloat(*field(r), 'g', -1, 64)
		},
		set: func(r *entity.ConfigRow, text string) error {
			f, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return errors.New("must be a number with a decimal point")
			}
			*field(r) = f
			return nil
		},
		empty: func(r *entity.ConfigRow) { *field(r) = def },
	}
}

func intColumn(name string, field func(*entity.ConfigRow) *int) column {
	return column{
		name: name,
		get: func(r *entity.ConfigRow) string {
			if *field(r) == 0 {
				return ""
			}
			return strconv.Itoa(*field(r))
		},
		set: func(r *entity.ConfigRow, text string) error {
			n, err := strconv.Atoi(text)
			if err != nil {
				return errors.New("must be a whole number")
			}
			*field(r) = n
			return nil
		},
		empty: func(*entity.ConfigRow) {},
	}
}

func boolColumn(name string, field func(*entity.ConfigRow) *bool) column {
	return column{
		name: name,
		get: func(r *entity.ConfigRow) string {
			if *field(r) {
				return "true"
			}
			return ""
		},
		set: func(r *entity.ConfigRow, text string) error {
			switch strings.ToLower(text) {
			case "true":
				*field(r) = true
			case "false":
				*field(r) = false
			default:
				return errors.New("must be true or false")
			}
			return nil
		},
		empty: func(*entity.ConfigRow) {},
	}
}

func timeoutColumn() column {
	return column{
		name: "timeout",
		get: func(r *entity.ConfigRow) string {
			if r.Timeout == 0 {
				return ""
			}
			return r.Timeout.String()
		},
		set: func(r *entity.ConfigRow, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return errors.New("must be a duration with a unit, such as 30s")
			}
			r.Timeout = d
			return nil
		},
		empty: func(*entity.ConfigRow) {},
	}
}

func keyHashesColumn() column {
	return column{
		name: "key_hashes",
		get:  func(r *entity.ConfigRow) string { return strings.Join(r.KeyHashes, " ") },
		set: func(r *entity.ConfigRow, text string) error {
			r.KeyHashes = strings.Fields(text)
			return nil
		},
		empty: func(*entity.ConfigRow) {},
	}
}

// versionMark starts the first line of a table.
const versionMark = "# version "

// Write writes a table.
func Write(w io.Writer, c *entity.Config) error {
	if _, err := fmt.Fprintf(w, "%s%d\n", versionMark, c.Version); err != nil {
		return err
	}
	cw := csv.NewWriter(w)
	record := make([]string, len(columns))
	for i, col := range columns {
		record[i] = col.name
	}
	if err := cw.Write(record); err != nil {
		return err
	}
	for i := range c.Rows {
		for j, col := range columns {
			record[j] = col.get(&c.Rows[i])
		}
		if err := cw.Write(record); err != nil {
			return err
		}
	}
	cw.Flush()
	return cw.Error()
}

// Read reads and validates a table. A bad table gives an *Error.
func Read(r io.Reader) (*entity.Config, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read table: %w", err)
	}
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("table is larger than %d bytes", MaxBytes)
	}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf")) // byte order mark
	p := parser{csv: csv.NewReader(bytes.NewReader(data))}
	p.csv.Comma = separator(data)
	p.csv.FieldsPerRecord = -1
	p.csv.TrimLeadingSpace = p.csv.Comma != '\t'
	return p.read()
}

// separator finds the separator of cells from the line that names the columns.
func separator(data []byte) rune {
	for line := range bytes.Lines(data) {
		if bytes.HasPrefix(bytes.TrimLeft(line, "\""), []byte("#")) || len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		for _, s := range []byte{',', ';', '\t'} {
			if bytes.IndexByte(line, s) >= 0 {
				return rune(s)
			}
		}
		break
	}
	return ','
}

type parser struct {
	csv     *csv.Reader
	config  entity.Config
	order   []column // by cell, from the line that names the columns
	lines   []int    // line of each row
	hasMark bool
}

func (p *parser) read() (*entity.Config, error) {
	for {
		record, err := p.csv.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, syntaxError(err)
		}
		line, _ := p.csv.FieldPos(0)
		if err := p.record(line, record); err != nil {
			return nil, err
		}
	}
	if p.order == nil {
		return nil, &Error{Line: 1, Reason: "no line that names the columns"}
	}
	if !p.hasMark {
		return nil, &Error{Line: 1, Reason: "no line \"" + versionMark + "N\" with the version that the table was read at"}
	}
	if err := p.config.Validate(); err != nil {
		return nil, p.invalid(err)
	}
	return &p.config, nil
}

func (p *parser) record(line int, record []string) error {
	for i := range record {
		record[i] = strings.TrimSpace(record[i])
	}
	if strings.HasPrefix(record[0], "#") {
		return p.comment(line, record[0])
	}
	if strings.Join(record, "") == "" {
		return nil // an empty line of a spreadsheet
	}
	if p.order == nil {
		return p.header(line, record)
	}
	return p.row(line, record)
}

func (p *parser) comment(line int, text string) error {
	number, isVersion := strings.CutPrefix(text, versionMark)
	if !isVersion {
		return nil
	}
	if p.hasMark {
		return &Error{Line: line, Reason: "a second version"}
	}
	version, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return &Error{Line: line, Reason: "the version must be a whole number"}
	}
	p.config.Version = version
	p.hasMark = true
	return nil
}

func (p *parser) header(line int, record []string) error {
	byName := make(map[string]column, len(columns))
	for _, col := range columns {
		byName[col.name] = col
	}
	for _, name := range record {
		if name == "" {
			return &Error{Line: line, Reason: "a column has no name"}
		}
		col, known := byName[name]
		if !known {
			return &Error{Line: line, Column: name, Reason: "unknown, or named twice"}
		}
		delete(byName, name)
		p.order = append(p.order, col)
	}
	for _, col := range columns {
		if _, missing := byName[col.name]; missing {
			return &Error{Line: line, Column: col.name, Reason: "missing"}
		}
	}
	return nil
}

func (p *parser) row(line int, record []string) error {
	if len(record) != len(p.order) {
		return &Error{Line: line, Reason: fmt.Sprintf("%d cells, but %d columns", len(record), len(p.order))}
	}
	var r entity.ConfigRow
	for i, col := range p.order {
		if record[i] == "" {
			col.empty(&r)
			continue
		}
		if err := col.set(&r, record[i]); err != nil {
			return &Error{Line: line, Column: col.name, Reason: err.Error()}
		}
	}
	p.config.Rows = append(p.config.Rows, r)
	p.lines = append(p.lines, line)
	return nil
}

// invalid turns a row's number into its line in the file.
func (p *parser) invalid(err error) error {
	var rowErr *entity.RowError
	if !errors.As(err, &rowErr) {
		return err
	}
	return &Error{Line: p.lines[rowErr.Row-1], Column: rowErr.Column, Reason: rowErr.Reason}
}

func syntaxError(err error) error {
	var parse *csv.ParseError
	if !errors.As(err, &parse) {
		return fmt.Errorf("read table: %w", err)
	}
	return &Error{Line: parse.Line, Reason: parse.Err.Error()}
}
