package orders

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/platform"
)

// table is the name of the platform table with one row for each engine.
const table = "orders"

// Errors of recording orders.
var (
	// ErrNotRecorded means that a row could not be read or written. The order
	// concerned was not sent.
	ErrNotRecorded = errors.New("orders could not be recorded")
	// errReplaced means that another VM has replaced the engine's row since it
	// was read.
	errReplaced = errors.New("another VM has recorded an order for the engine")
)

// record is the value of an engine's row: the last order issued to the engine.
type record struct {
	// Number is the fencing number. Each order increments it, so that engines that
	// check it refuse earlier orders.
	Number uint64         `json:"number"`
	Holder string         `json:"holder"` // id of the VM that issued the order
	Order  endpoint.Order `json:"order"`
	// Done is set when the engine has reported the ordered state.
	Done bool `json:"done"`
}

// row is a record with the version of its row, 0 if the engine has no row.
type row struct {
	record
	version uint64
}

// store reads and writes the rows of engines.
type store struct {
	table platform.Table
}

func key(engine string) platform.Key { return platform.Key{Table: table, ID: engine} }

// read returns the rows of engines, by engine.
func (s store) read(ctx context.Context, engines []string) (map[string]row, error) {
	keys := make([]platform.Key, len(engines))
	for i, e := range engines {
		keys[i] = key(e)
	}
	rows, err := s.table.Get(ctx, keys)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRecorded, err)
	}
	out := make(map[string]row, len(rows))
	for i, r := range rows {
		decoded, err := decode(r)
		if err != nil {
			return nil, err
		}
		out[engines[i]] = decoded
	}
	return out, nil
}

func decode(r platform.Row) (row, error) {
	out := row{version: r.Version}
	if r.Version == 0 {
		return out, nil
	}
	if err := json.Unmarshal(r.Value, &out.record); err != nil {
		return row{}, fmt.Errorf("%w: row %s: %w", ErrNotRecorded, r.Key.ID, err)
	}
	return out, nil
}

// replace replaces a row by compare-and-set and returns the new row, or errReplaced
// if another VM has replaced the row. After a lost response it reads the row back.
// That is unambiguous: no other VM writes the same record, since the record names
// its holder, and a holder issues one order to an engine at a time.
func (s store) replace(ctx context.Context, engine string, old row, next record) (row, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return row{}, fmt.Errorf("%w: %w", ErrNotRecorded, err)
	}
	err = s.table.Commit(ctx, []platform.Write{{Key: key(engine), IfVersion: old.version, Value: value}})
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		return s.resolve(ctx, engine, old, next)
	}
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		return row{}, errReplaced
	case err != nil:
		return row{}, fmt.Errorf("%w: %w", ErrNotRecorded, err)
	}
	return row{record: next, version: old.version + 1}, nil
}

// resolve reads back a row whose replacement had a lost response. It returns
// errReplaced unless the row contains next at the version after old.
func (s store) resolve(ctx context.Context, engine string, old row, next record) (row, error) {
	rows, err := s.read(ctx, []string{engine})
	if err != nil {
		return row{}, err
	}
	current := rows[engine]
	if current.version != old.version+1 || current.record != next {
		return row{}, errReplaced
	}
	return current, nil
}
