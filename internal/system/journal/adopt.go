package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/batch"
)

// Adoption is what became of one root in Adopt.
type Adoption struct {
	Root   entity.ProgramID
	Family *Family // nil on error
	// Replayed counts the former owner's buffered records that were written.
	Replayed int
	// Dropped counts mirrored records that do not connect to the rows.
	Dropped int
	// Err is ErrOwnershipLost if another adopter was faster, ErrNotFound,
	// ErrUnavailable, ErrNotMirrored if the mirror could not be asked, or
	// ErrUnresolved.
	Err error
}

// Adopt takes the ownership of families for an owner: it raises the epoch of
// each root row by compare-and-set, and writes the former owner's buffered records, which the mirror
// keeps, in the same transaction, if they are of the epoch in the row. A
// family that this journal owns already is returned as it is. The result is in
// the order of the roots.
func (j *Journal) Adopt(ctx context.Context, roots []entity.ProgramID, owner string) []Adoption {
	adoptions := make([]Adoption, len(roots))
	for i, root := range roots {
		adoptions[i].Root = root
	}
	for start := 0; start < len(roots); start += platform.MaxScanRows {
		end := min(start+platform.MaxScanRows, len(roots))
		j.adoptChunk(ctx, adoptions[start:end], owner)
	}
	return adoptions
}

// adoptChunk adopts as many families as one batch get can read.
func (j *Journal) adoptChunk(ctx context.Context, adoptions []Adoption, owner string) {
	keys := make([]platform.Key, len(adoptions))
	for i, a := range adoptions {
		keys[i] = ProgramKey(a.Root)
	}
	rows, err := j.table.Get(ctx, keys)
	if err != nil {
		failAll(adoptions, readError("programs", err))
		return
	}
	prepared := make([]*adopted, len(adoptions))
	inParallel(len(adoptions), concurrentScans, func(i int) { prepared[i] = j.prepare(ctx, &adoptions[i], owner, rows[i]) })
	defer j.endAdoption(prepared)
	mirrored, err := j.fetch(ctx, prepared)
	if err != nil {
		failAll(adoptions, err)
		return
	}
	// A commit waits for its batch, so that all have to wait at once.
	inParallel(len(adoptions), len(adoptions), func(i int) {
		if prepared[i] != nil {
			j.adopt(ctx, prepared[i], mirrored[adoptions[i].Root])
		}
	})
}

// inParallel calls do for 0 to n-1, at most limit at once, and waits.
func inParallel(n, limit int, do func(i int)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, limit)
	for i := range n {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			do(i)
		})
	}
	wait.Wait()
}

// failAll ends the adoptions that have no result yet.
func failAll(adoptions []Adoption, err error) {
	for i := range adoptions {
		if adoptions[i].Family == nil && adoptions[i].Err == nil {
			adoptions[i].Err = err
		}
	}
}

// adopted is a family under adoption: its result and its state under the next
// epoch.
type adopted struct {
	*Adoption
	family *family
	former uint64 // epoch of the former owner
}

// fetch gets the mirrored records of the families and ends their epochs on the
// mirror.
func (j *Journal) fetch(ctx context.Context, prepared []*adopted) (map[entity.ProgramID][]Record, error) {
	var families []MirroredFamily
	for _, a := range prepared {
		if a != nil {
			families = append(families, MirroredFamily{Root: a.Root, Epoch: a.former})
		}
	}
	if len(families) == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, j.options.Timeout)
	defer cancel()
	mirrored, err := j.options.Mirror.Fetch(ctx, families)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotMirrored, err)
	}
	return mirrored, nil
}

// prepare reads the rows of a family, whose root row is given, and builds its
// state under the next epoch. It returns nil if the result is known already.
func (j *Journal) prepare(ctx context.Context, a *Adoption, owner string, rootRow platform.Row) *adopted {
	if f := j.family(a.Root); f != nil && f.held() {
		a.Family = f.snapshot()
		return nil
	}
	if !j.beginAdoption(a.Root) {
		a.Err = fmt.Errorf("%w: %s is being adopted already", ErrUnresolved, a.Root)
		return nil
	}
	rows := make(map[entity.ProgramID]row)
	former := uint64(firstEpoch) // of a program created while the platform was unavailable
	if rootRow.Version > 0 {
		var err error
		if rows, err = j.readFamily(ctx, a.Root, rootRow); err != nil {
			a.Err = err
			j.endAdoption([]*adopted{{Adoption: a}})
			return nil
		}
		former = rows[a.Root].program.Epoch
	}
	return &adopted{Adoption: a, family: newFamily(a.Root, former+1, owner, rows), former: former}
}

// adopt takes one family, with the mirrored records that connect to its rows.
func (j *Journal) adopt(ctx context.Context, a *adopted, mirrored []Record) {
	if err := j.replay(ctx, a, mirrored); err != nil {
		a.Err = err
		return
	}
	txn, err := a.family.build(true)
	if err != nil {
		a.Err = err
		return
	}
	for _, guard := range j.options.Guards(a.Root) {
		txn.add(guard, nil)
	}
	if err := j.commitAdoption(ctx, txn); err != nil {
		a.Err = err
		return
	}
	a.family.advance(txn)
	j.track(a.family)
	if len(mirrored) > 0 {
		last := mirrored[len(mirrored)-1]
		ctx, cancel := j.request()
		defer cancel()
		j.options.Mirror.Drop(ctx, a.Root, last.Epoch, last.Number)
	}
	a.Family = a.family.snapshot()
}

// replay queues the mirrored records that the rows lack.
func (j *Journal) replay(ctx context.Context, a *adopted, mirrored []Record) error {
	f := a.family
	for _, r := range mirrored {
		switch {
		case r.Epoch != a.former || r.Number <= f.records:
			// of an earlier owner, or written already
		case f.replay(r):
			a.Replayed++
		default:
			a.Dropped++
		}
	}
	if len(f.latest) == 0 {
		return fmt.Errorf("%w: program %s", ErrNotFound, a.Root)
	}
	return j.readIntents(ctx, f)
}

// beginAdoption claims a root, so that one journal adopts it once at a time.
func (j *Journal) beginAdoption(root entity.ProgramID) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.adopting[root] {
		return false
	}
	j.adopting[root] = true
	return true
}

// endAdoption returns the claims of beginAdoption.
func (j *Journal) endAdoption(prepared []*adopted) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range prepared {
		if a != nil {
			delete(j.adopting, a.Root)
		}
	}
}

// replay queues a mirrored record if it connects to what is there.
func (f *family) replay(r Record) bool {
	if r.Number != f.records+1 {
		return false
	}
	e, err := newRecordEntry(&r)
	if err != nil {
		return false
	}
	f.queue = append(f.queue, e)
	f.recompute()
	return true
}

// readIntents notes the versions of the intents whose outcomes are replayed.
func (j *Journal) readIntents(ctx context.Context, f *family) error {
	var keys []platform.Key
	for _, e := range f.queue {
		for _, w := range e.writes {
			if w.Key.Table == TableIntents {
				keys = append(keys, w.Key)
			}
		}
	}
	if len(keys) == 0 {
		return nil
	}
	rows, err := j.table.Get(ctx, keys)
	if err != nil {
		return readError("intents", err)
	}
	for _, r := range rows {
		f.sawIntent(r)
	}
	return nil
}

// commitAdoption writes an adoption; a lost answer is read back.
func (j *Journal) commitAdoption(ctx context.Context, txn *transaction) error {
	var last error
	for range maxAttempts {
		err := j.table.Commit(ctx, txn.writes)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict) && !txn.answerLost:
			return ErrOwnershipLost
		case errors.Is(err, platform.ErrUnavailable) && !txn.answerLost:
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		txn.answerLost = true
		last = err
		effects, err := batch.Resolve(ctx, j.table, [][]platform.Write{txn.writes})
		switch {
		case err != nil:
			return fmt.Errorf("%w: %w", ErrUnresolved, err)
		case effects[0] == batch.Applied:
			return nil
		case effects[0] == batch.Undetermined || conflict != nil:
			return ErrOwnershipLost
		}
	}
	return fmt.Errorf("%w: %w", ErrUnresolved, last)
}
