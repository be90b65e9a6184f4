package journal

import (
	"slices"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// Bounds of one group of a family that has more than one entry, so that
// several families share a transaction.
const (
	maxGroupWrites = platform.MaxTxnWrites / 4
	maxGroupBytes  = platform.MaxTxnBytes / 4
)

// transaction is what a family writes at once: the first entries of its queue.
type transaction struct {
	entries []*entry
	// changed are the program rows that it writes, in order, the root first.
	changed []*entity.Program
	writes  []platform.Write
	// owners names the entry that a write belongs to; nil for program rows.
	owners []*entry
	// answerLost is set once it may have taken effect.
	answerLost bool
}

// build makes a transaction from the front of the queue. The caller holds mu,
// or has the family for itself.
func (f *family) build(adopt bool) (*transaction, error) {
	txn := &transaction{entries: f.front()}
	if adopt {
		txn.entries = slices.Clone(f.queue)
	}
	states := f.applyEntries(txn)
	if adopt {
		f.applyAdoption(txn, states)
	}
	if err := f.addProgramWrites(txn); err != nil {
		return nil, err
	}
	for _, e := range txn.entries {
		for _, w := range e.writes {
			switch {
			case e.intent:
				w.IfVersion = f.unsent[w.Key]
			case w.Key.Table == TableIntents:
				w.IfVersion = max(1, f.intents[w.Key])
			}
			txn.add(w, e)
		}
	}
	return txn, nil
}

// add adds a write of an entry's own; of two to one row the later counts.
func (txn *transaction) add(w platform.Write, owner *entry) {
	for i := range txn.writes {
		if txn.writes[i].Key == w.Key {
			txn.writes[i].Value = w.Value
			return
		}
	}
	txn.writes = append(txn.writes, w)
	txn.owners = append(txn.owners, owner)
}

// front returns the first entries that fit a group and name no row twice.
func (f *family) front() []*entry {
	writes, size := 0, 0
	seen := make(map[platform.Key]bool)
	for i, e := range f.queue {
		writes += e.rowCount()
		size += e.size
		full := writes > maxGroupWrites || size > maxGroupBytes
		if i > 0 && (full || repeatsRow(seen, e)) {
			return slices.Clone(f.queue[:i])
		}
		for _, w := range e.writes {
			seen[w.Key] = true
		}
	}
	return slices.Clone(f.queue)
}

func repeatsRow(seen map[platform.Key]bool, e *entry) bool {
	for _, w := range e.writes {
		if seen[w.Key] {
			return true
		}
	}
	return false
}

// applyEntries applies the entries to copies of the program rows, and lists
// the changed ones. The fields that the journal keeps come from the rows, not
// from the records.
func (f *family) applyEntries(txn *transaction) map[entity.ProgramID]*entity.Program {
	states := make(map[entity.ProgramID]*entity.Program)
	state := func(id entity.ProgramID) *entity.Program {
		if states[id] == nil {
			states[id] = &entity.Program{ID: id}
			if r, ok := f.rows[id]; ok {
				states[id] = r.program.Copy()
			}
			txn.changed = append(txn.changed, states[id])
		}
		return states[id]
	}
	for _, e := range txn.entries {
		switch {
		case e.record != nil:
			root := state(f.root)
			for _, p := range e.record.Programs {
				overwrite(state(p.ID), p)
			}
			root.Records = e.record.Number
			root.Epoch = f.epoch
			root.Owner = f.owner
		case e.compaction != nil:
			state(f.root)
			p := state(e.compaction.program)
			p.Compacted = e.compaction.to
			p.CompactedIn = e.compaction.object
		}
	}
	return states
}

// overwrite sets a row to a new state, but for the fields that the journal
// keeps.
func overwrite(row, next *entity.Program) {
	kept := *row
	*row = *next.Copy()
	row.Epoch = kept.Epoch
	row.Owner = kept.Owner
	row.Records = kept.Records
	row.Compacted = kept.Compacted
	row.CompactedIn = kept.CompactedIn
}

// applyAdoption raises the epoch and names the new owner.
func (f *family) applyAdoption(txn *transaction, states map[entity.ProgramID]*entity.Program) {
	root := states[f.root]
	if root == nil {
		root = f.rows[f.root].program.Copy()
		txn.changed = append([]*entity.Program{root}, txn.changed...)
	}
	root.Epoch = f.epoch
	root.Owner = f.owner
}

// addProgramWrites adds the writes of the changed program rows, or a check of
// the root row if there are none.
func (f *family) addProgramWrites(txn *transaction) error {
	if len(txn.changed) == 0 {
		check := platform.Write{Key: ProgramKey(f.root), IfVersion: f.rows[f.root].version, CheckOnly: true}
		txn.writes = append(txn.writes, check)
		txn.owners = append(txn.owners, nil)
		return nil
	}
	for _, p := range txn.changed {
		raw, err := encode(p)
		if err != nil {
			return err
		}
		txn.writes = append(txn.writes, platform.Write{
			Key:       ProgramKey(p.ID),
			IfVersion: f.rows[p.ID].version,
			Value:     raw,
		})
		txn.owners = append(txn.owners, nil)
	}
	return nil
}

// advance takes over the versions and states of a transaction that took
// effect, and removes its entries from the queue.
func (f *family) advance(txn *transaction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range txn.changed {
		f.rows[p.ID] = row{version: f.rows[p.ID].version + 1, program: p}
	}
	for _, w := range txn.writes {
		if w.Key.Table == TableIntents {
			f.sawIntentRow(platform.Row{Key: w.Key, Version: w.IfVersion + 1, Value: w.Value})
		}
	}
	f.queue = slices.DeleteFunc(f.queue, func(e *entry) bool { return slices.Contains(txn.entries, e) })
	f.pending = nil
	f.down = false
	f.recompute()
}

// intentsInConflict returns the intent entries that failed, or false if
// anything else failed, too.
func (txn *transaction) intentsInConflict(conflict *platform.ConflictError) ([]*entry, bool) {
	var failed []*entry
	for _, i := range conflict.Indexes {
		if i < 0 || i >= len(txn.owners) || txn.owners[i] == nil || !txn.owners[i].intent {
			return nil, false
		}
		failed = append(failed, txn.owners[i])
	}
	return failed, len(failed) > 0
}
