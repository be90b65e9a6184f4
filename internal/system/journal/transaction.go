package journal

import (
	"slices"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// Limits of a transaction with more than one entry. They are below those of the
// platform so that several families can share a batch.
const (
	maxGroupWrites = platform.MaxTxnWrites / 4
	maxGroupBytes  = platform.MaxTxnBytes / 4
)

// transaction is the next commit of a family: the first entries of its queue.
type transaction struct {
	entries []*entry
	// changed are the programs whose rows the transaction writes, the root
	// program first.
	changed []*entity.Program
	writes  []platform.Write
	// writeEntries holds, for each write, the entry that the write belongs to, or
	// nil for a program row or a condition.
	writeEntries []*entry
	// responseLost is set once a response was lost, so that the transaction may
	// have taken effect.
	responseLost bool
}

// buildTransaction returns a transaction of the first entries of the queue, or of
// all entries in an adoption. The caller holds mu or has exclusive access to the
// family.
func (f *family) buildTransaction(adopt bool) (*transaction, error) {
	txn := &transaction{entries: f.nextGroup()}
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
			case e.isIntent:
				w.IfVersion = f.notSentVersions[w.Key] // 0: the row must be absent
			case w.Key.Table == TableIntents:
				// An outcome overwrites the row of its intent, which is at
				// version 1 unless another version is known.
				w.IfVersion = max(1, f.intentVersions[w.Key])
			}
			txn.addWrite(w, e)
		}
	}
	return txn, nil
}

// addWrite adds a write that belongs to an entry, or to none if owner is nil. If the
// transaction already writes the row, only the value of that write is replaced.
func (txn *transaction) addWrite(w platform.Write, owner *entry) {
	for i := range txn.writes {
		if txn.writes[i].Key == w.Key {
			txn.writes[i].Value = w.Value
			return
		}
	}
	txn.writes = append(txn.writes, w)
	txn.writeEntries = append(txn.writeEntries, owner)
}

// nextGroup returns the first entries of the queue that together fit maxGroupWrites
// and maxGroupBytes and do not write a row twice. It returns at least one entry of a
// queue that is not empty. The caller holds mu or has exclusive access to the family.
func (f *family) nextGroup() []*entry {
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

// applyEntries applies the entries of a transaction to copies of the program rows,
// lists the changed ones in the transaction and returns them by id. The fields that
// the journal maintains, except Head, are taken from the rows, not from the records.
func (f *family) applyEntries(txn *transaction) map[entity.ProgramID]*entity.Program {
	states := make(map[entity.ProgramID]*entity.Program)
	stateOf := func(id entity.ProgramID) *entity.Program {
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
			root := stateOf(f.root)
			for _, p := range e.record.Programs {
				overwriteProgram(stateOf(p.ID), p)
			}
			root.Records = e.record.Number
			root.Epoch = f.epoch
			root.Owner = f.owner
		case e.compaction != nil:
			stateOf(f.root) // includes the root row, whose version fences the transaction
			p := stateOf(e.compaction.program)
			p.Compacted = e.compaction.to
			p.CompactedIn = e.compaction.object
		}
	}
	return states
}

// overwriteProgram replaces the state of a program row, including Head, except for
// the other fields that the journal maintains.
func overwriteProgram(row, next *entity.Program) {
	kept := *row
	*row = *next.Copy()
	row.Epoch = kept.Epoch
	row.Owner = kept.Owner
	row.Records = kept.Records
	row.Compacted = kept.Compacted
	row.CompactedIn = kept.CompactedIn
}

// applyAdoption sets the new epoch and the new owner in the root row.
func (f *family) applyAdoption(txn *transaction, states map[entity.ProgramID]*entity.Program) {
	root := states[f.root]
	if root == nil {
		root = f.rows[f.root].program.Copy()
		txn.changed = append([]*entity.Program{root}, txn.changed...)
	}
	root.Epoch = f.epoch
	root.Owner = f.owner
}

// addProgramWrites adds the writes of the changed program rows, or, if there are
// none, a check of the version of the root row.
func (f *family) addProgramWrites(txn *transaction) error {
	if len(txn.changed) == 0 {
		check := platform.Write{Key: ProgramKey(f.root), IfVersion: f.rows[f.root].version, CheckOnly: true}
		txn.writes = append(txn.writes, check)
		txn.writeEntries = append(txn.writeEntries, nil)
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
		txn.writeEntries = append(txn.writeEntries, nil)
	}
	return nil
}

// applyCommitted applies the row versions and states of a transaction that took
// effect, and removes its entries from the queue.
func (f *family) applyCommitted(txn *transaction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range txn.changed {
		f.rows[p.ID] = row{version: f.rows[p.ID].version + 1, program: p}
	}
	for _, w := range txn.writes {
		if w.Key.Table == TableIntents {
			f.observeIntentLocked(platform.Row{Key: w.Key, Version: w.IfVersion + 1, Value: w.Value})
		}
	}
	f.queue = slices.DeleteFunc(f.queue, func(e *entry) bool { return slices.Contains(txn.entries, e) })
	f.unresolved = nil
	f.platformDown = false
	f.recompute()
}

// conflictingIntents returns the intent entries whose conditions failed. It
// reports false if a condition of any other write failed, or none is listed.
func (txn *transaction) conflictingIntents(conflict *platform.ConflictError) ([]*entry, bool) {
	var failed []*entry
	for _, i := range conflict.Indexes {
		if i < 0 || i >= len(txn.writeEntries) || txn.writeEntries[i] == nil || !txn.writeEntries[i].isIntent {
			return nil, false
		}
		failed = append(failed, txn.writeEntries[i])
	}
	return failed, len(failed) > 0
}
