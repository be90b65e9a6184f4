// Package configcsv reads and writes the table of weights and limits as CSV for
// spreadsheets, and compares two tables.
//
// The first line is a comment with the version of the table that the file is
// based on: "# version 12". The next line is the header: the names of all
// columns, in any order. An empty cell means the default: weight 1, no limit,
// false. Timeouts have a unit. A key_hashes cell contains several hashes
// separated by spaces. Cells may also be separated by semicolons or tabs, as
// some spreadsheets write them.
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

// Error describes an invalid cell or line of a table.
type Error struct {
	Line   int    // in the file, from 1
	Column string // empty if the whole line is invalid
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Column == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("line %d, column %s: %s", e.Line, e.Column, e.Reason)
}

// MaxBytes is the maximum size of a table that Read accepts.
const MaxBytes = 16 << 20

// column converts one field of a row to the text of its cell and back.
type column struct {
	name       string
	get        func(r *entity.ConfigRow) string
	set        func(r *entity.ConfigRow, text string) error
	setDefault func(r *entity.ConfigRow)
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
		name:       name,
		get:        func(r *entity.ConfigRow) string { return *field(r) },
		set:        func(r *entity.ConfigRow, text string) error { *field(r) = text; return nil },
		setDefault: func(*entity.ConfigRow) {},
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
		setDefault: func(r *entity.ConfigRow) { *field(r) = def },
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
		setDefault: func(*entity.ConfigRow) {},
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
		setDefault: func(*entity.ConfigRow) {},
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
		setDefault: func(*entity.ConfigRow) {},
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
		setDefault: func(*entity.ConfigRow) {},
	}
}

// versionPrefix is the prefix of the first line of a table; the version follows.
const versionPrefix = "# version "

// Write writes a table.
func Write(w io.Writer, c *entity.Config) error {
	if _, err := fmt.Fprintf(w, "%s%d\n", versionPrefix, c.Version); err != nil {
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

// Read parses and validates a table. It returns an *Error for an invalid table.
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
	return p.parse()
}

// separator detects the separator of cells from the header. It returns a comma if the
// header contains no separator.
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
	csv         *csv.Reader
	config      entity.Config
	fileColumns []column // in the order of the header; nil before the header
	lines       []int    // line number of each row in the file
	hasVersion  bool
}

func (p *parser) parse() (*entity.Config, error) {
	for {
		record, err := p.csv.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, syntaxError(err)
		}
		line, _ := p.csv.FieldPos(0)
		if err := p.parseRecord(line, record); err != nil {
			return nil, err
		}
	}
	if p.fileColumns == nil {
		return nil, &Error{Line: 1, Reason: "no header with the names of the columns"}
	}
	if !p.hasVersion {
		return nil, &Error{Line: 1, Reason: "no line \"" + versionPrefix + "N\" with the version of the table that the file is based on"}
	}
	if err := p.config.Validate(); err != nil {
		return nil, p.withLine(err)
	}
	return &p.config, nil
}

func (p *parser) parseRecord(line int, record []string) error {
	for i := range record {
		record[i] = strings.TrimSpace(record[i])
	}
	if strings.HasPrefix(record[0], "#") {
		return p.parseComment(line, record[0])
	}
	if strings.Join(record, "") == "" {
		return nil // an empty row of a spreadsheet
	}
	if p.fileColumns == nil {
		return p.parseHeader(line, record)
	}
	return p.parseRow(line, record)
}

func (p *parser) parseComment(line int, text string) error {
	number, isVersion := strings.CutPrefix(text, versionPrefix)
	if !isVersion {
		return nil
	}
	if p.hasVersion {
		return &Error{Line: line, Reason: "a second version"}
	}
	version, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return &Error{Line: line, Reason: "the version must be a whole number"}
	}
	p.config.Version = version
	p.hasVersion = true
	return nil
}

func (p *parser) parseHeader(line int, record []string) error {
	remaining := make(map[string]column, len(columns))
	for _, col := range columns {
		remaining[col.name] = col
	}
	for _, name := range record {
		if name == "" {
			return &Error{Line: line, Reason: "a column has no name"}
		}
		col, known := remaining[name]
		if !known {
			return &Error{Line: line, Column: name, Reason: "unknown or duplicate column"}
		}
		delete(remaining, name)
		p.fileColumns = append(p.fileColumns, col)
	}
	for _, col := range columns {
		if _, missing := remaining[col.name]; missing {
			return &Error{Line: line, Column: col.name, Reason: "missing"}
		}
	}
	return nil
}

func (p *parser) parseRow(line int, record []string) error {
	if len(record) != len(p.fileColumns) {
		return &Error{Line: line, Reason: fmt.Sprintf("%d cells, but %d columns", len(record), len(p.fileColumns))}
	}
	var r entity.ConfigRow
	for i, col := range p.fileColumns {
		if record[i] == "" {
			col.setDefault(&r)
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

// withLine converts a validation error of a row into an *Error with the row's line.
func (p *parser) withLine(err error) error {
	var rowErr *entity.RowError
	if !errors.As(err, &rowErr) {
		return err
	}
	return &Error{Line: p.lines[rowErr.Row-1], Column: rowErr.Column, Reason: rowErr.Reason}
}

func syntaxError(err error) error {
	var parseErr *csv.ParseError
	if !errors.As(err, &parseErr) {
		return fmt.Errorf("read table: %w", err)
	}
	return &Error{Line: parseErr.Line, Reason: parseErr.Err.Error()}
}
