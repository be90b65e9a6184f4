package journal

import (
	"encoding/json"
	"fmt"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// Tables of the journal.
const (
	TablePrograms = "programs" // id: program id
	TableTurns    = "turns"    // id: "<program>/<turn, 20 digits>"
	TableIntents  = "intents"  // id: "<program>/<request id>"
)

// ProgramKey returns the key of a program row.
func ProgramKey(id entity.ProgramID) platform.Key {
	return platform.Key{Table: TablePrograms, ID: string(id)}
}

// TurnKey returns the key of a turn row.
func TurnKey(id entity.ProgramID, turn uint64) platform.Key {
	return platform.Key{Table: TableTurns, ID: fmt.Sprintf("%s/%020d", id, turn)}
}

// IntentKey returns the key of an intent row.
func IntentKey(id entity.ProgramID, requestID string) platform.Key {
	return platform.Key{Table: TableIntents, ID: string(id) + "/" + requestID}
}

// Durability is where accepted changes are stored.
type Durability uint8

// Durabilities of accepted changes.
const (
	// Durable means that the platform has stored the changes.
	Durable Durability = iota + 1
	// Buffered means that the owner and its mirror keep the changes in memory
	// until the platform is available.
	Buffered
)

// String returns the name that is reported to callers, or "" for an invalid value.
func (d Durability) String() string {
	switch d {
	case Durable:
		return "durable"
	case Buffered:
		return "buffered"
	default:
		return ""
	}
}

// Changes are the changes of a family that one transaction applies. The journal
// retains the values: the caller must not modify them later.
type Changes struct {
	// Programs are the new states of program rows; a missing row is created.
	// The journal sets Head, Epoch, Owner, Records, Compacted and
	// CompactedIn.
	Programs []*entity.Program
	// Turns are appended to the histories of their programs, in the given order.
	Turns []*entity.Turn
	// Outcomes are the new states of intents written earlier.
	Outcomes []*entity.Intent
	// BufferReservation, if set, is the buffer space reserved for these changes.
	// Accepting the changes consumes it.
	BufferReservation *BufferReservation
}

// Record contains the accepted changes of one Submit call with their number in the
// family. The mirror stores records.
type Record struct {
	Number   uint64            `json:"number"` // from 1, without gaps
	Epoch    uint64            `json:"epoch"`  // of the owner that accepted the changes
	Programs []*entity.Program `json:"programs,omitempty"`
	Turns    []*entity.Turn    `json:"turns,omitempty"`
	Outcomes []*entity.Intent  `json:"outcomes,omitempty"`
}

// row is a stored program row. The program is never modified in place.
type row struct {
	version uint64
	program *entity.Program
}

// Family is a snapshot of the programs of a family.
type Family struct {
	Root     entity.ProgramID
	Programs map[entity.ProgramID]VersionedProgram
}

// VersionedProgram is a program with the version of its row, 0 if it has no row yet.
// While records are queued or buffered, the program may be newer than its row.
type VersionedProgram struct {
	Program *entity.Program
	Version uint64
}

// RootProgram returns the root program, or nil if the snapshot does not contain it.
func (f *Family) RootProgram() *entity.Program { return f.Programs[f.Root].Program }

func decodeProgram(r platform.Row) (*entity.Program, error) {
	p := new(entity.Program)
	if err := json.Unmarshal(r.Value, p); err != nil {
		return nil, fmt.Errorf("%w: program row %s: %w", ErrCorrupt, r.Key.ID, err)
	}
	if string(p.ID) != r.Key.ID {
		return nil, fmt.Errorf("%w: row %s holds program %s", ErrCorrupt, r.Key.ID, p.ID)
	}
	return p, nil
}

func decodeTurn(r platform.Row) (*entity.Turn, error) {
	t := new(entity.Turn)
	if err := json.Unmarshal(r.Value, t); err != nil {
		return nil, fmt.Errorf("%w: turn row %s: %w", ErrCorrupt, r.Key.ID, err)
	}
	if TurnKey(t.Program, t.Number) != r.Key {
		return nil, fmt.Errorf("%w: row %s holds turn %d of %s", ErrCorrupt, r.Key.ID, t.Number, t.Program)
	}
	return t, nil
}

func decodeIntent(r platform.Row) (*entity.Intent, error) {
	i := new(entity.Intent)
	if err := json.Unmarshal(r.Value, i); err != nil {
		return nil, fmt.Errorf("%w: intent row %s: %w", ErrCorrupt, r.Key.ID, err)
	}
	return i, nil
}

// encode returns v as the value of a row. It fails only if a caller passed invalid
// raw JSON, since all other fields of the entities can be encoded.
func encode(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return raw, nil
}
