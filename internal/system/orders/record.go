package orders

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/platform"
)

// table is the platform table with one row for each engine.
const table = "orders"

// Errors of this layer.
var (
	// ErrNotRecorded means that the table service could not be read or written;
	// nothing was ordered.
	ErrNotRecorded = errors.New("orders could not be recorded")
	// errTaken means that another VM has ordered the engine in the meantime.
	errTaken = errors.New("engine was ordered by another VM")
)

// record is the row of an engine: the last order given to it. Each order
// raises the number, which fences the orders before it.
type record struct {
	Number uint64         `json:"number"`
	Holder string         `json:"holder"` // VM that gave the order
	Order  endpoint.Order `json:"order"`
	// Done is set when the engine was seen to have carried it out.
	Done bool `json:"done"`
}

// row is a record with the version that it stands at, 0 for none.
type row struct {
	record
	version uint64
}

// store reads and writes the rows.
type store struct {
	table platform.Table
}

func key(engine string) platform.Key { return platform.Key{Table: table, ID: engine} }

// read returns the rows of some engines.
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

// replace writes a record over a row by compare-and-set. A lost answer is
// resolved by reading the row back: no other VM writes the same record, since
// it names its holder and a holder gives one order to an engine at a time.
func (s store) replace(ctx context.Context, engine string, old row, next record) (row, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return row{}, fmt.Errorf("%w: %w", ErrNotRecorded, err)
	}
	err = s.table.Commit(ctx, []platform.Write{{Key: key(engine), IfVersion: old.version, Value: value}})
	if errors.Is(err, platform.ErrUnknown) {
		return s.resolve(ctx, engine, old, next)
	}
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		return row{}, errTaken
	case err != nil:
		return row{}, fmt.Errorf("%w: %w", ErrNotRecorded, err)
	}
	return row{record: next, version: old.version + 1}, nil
}

func (s store) resolve(ctx context.Context, engine string, old row, next record) (row, error) {
	rows, err := s.read(ctx, []string{engine})
	if err != nil {
		return row{}, err
	}
	now := rows[engine]
	if now.version != old.version+1 || now.record != next {
		return row{}, errTaken
	}
	return now, nil
}
