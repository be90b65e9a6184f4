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

// AdoptionResult is the result of Adopt for one family.
type AdoptionResult struct {
	Root   entity.ProgramID
	Family *Family // nil on error
	// Replayed is the number of the former owner's buffered records that the
	// adoption wrote.
	Replayed int
	// Dropped is the number of mirrored records that were discarded because
	// they do not continue the stored rows without a gap.
	Dropped int
	// Err is nil if this journal owns the family. It wraps ErrOwnershipLost if
	// another VM adopted the family first, ErrNotMirrored if the mirror could
	// not be read, and ErrUnresolved if the outcome is not known or another
	// Adopt call of this journal is adopting the family. Other errors are those
	// of reading and writing the rows, such as ErrNotFound and ErrUnavailable.
	Err error
}

// Adopt makes owner the owner of families. For each family, one transaction
// increments the epoch of the root row by compare-and-set and writes the former
// owner's buffered records, which are read from the mirror. Mirrored records of
// any other epoch than the former owner's are ignored. A family that this
// journal already owns is returned unchanged. The results are in the order of
// roots.
func (j *Journal) Adopt(ctx context.Context, roots []entity.ProgramID, owner string) []AdoptionResult {
	adoptions := make([]AdoptionResult, len(roots))
	for i, root := range roots {
		adoptions[i].Root = root
	}
	for start := 0; start < len(roots); start += platform.MaxScanRows {
		end := min(start+platform.MaxScanRows, len(roots))
		j.adoptBatch(ctx, adoptions[start:end], owner)
	}
	return adoptions
}

// adoptBatch adopts families whose root rows fit one read.
func (j *Journal) adoptBatch(ctx context.Context, adoptions []AdoptionResult, owner string) {
	keys := make([]platform.Key, len(adoptions))
	for i, a := range adoptions {
		keys[i] = ProgramKey(a.Root)
	}
	rows, err := j.table.Get(ctx, keys)
	if err != nil {
		failUnfinished(adoptions, readError("programs", err))
		return
	}
	prepared := make([]*adoptionState, len(adoptions))
	forEachConcurrently(len(adoptions), maxConcurrentScans, func(i int) { prepared[i] = j.prepareAdoption(ctx, &adoptions[i], owner, rows[i]) })
	defer j.endAdoption(prepared)
	mirrored, err := j.fetchMirrored(ctx, prepared)
	if err != nil {
		failUnfinished(adoptions, err)
		return
	}
	// All commits run concurrently, since each one waits until its batch is
	// sent.
	forEachConcurrently(len(adoptions), len(adoptions), func(i int) {
		if prepared[i] != nil {
			j.completeAdoption(ctx, prepared[i], mirrored[adoptions[i].Root])
		}
	})
}

// forEachConcurrently calls do(i) for each i from 0 to n-1, with at most limit
// calls in flight, and returns when all have returned.
func forEachConcurrently(n, limit int, do func(i int)) {
	var wait sync.WaitGroup
	semaphore := make(chan struct{}, limit)
	for i := range n {
		semaphore <- struct{}{}
		wait.Go(func() {
			defer func() { <-semaphore }()
			do(i)
		})
	}
	wait.Wait()
}

// failUnfinished sets the error of the adoptions that have no result yet.
func failUnfinished(adoptions []AdoptionResult, err error) {
	for i := range adoptions {
		if adoptions[i].Family == nil && adoptions[i].Err == nil {
			adoptions[i].Err = err
		}
	}
}

// adoptionState is the state of an adoption in progress: its result so far and
// the family under the next epoch.
type adoptionState struct {
	*AdoptionResult
	family      *family
	formerEpoch uint64 // epoch of the former owner
}

// fetchMirrored reads the mirrored records of the families. From then on the
// mirror refuses records of their former owners. nil elements of prepared are
// skipped.
func (j *Journal) fetchMirrored(ctx context.Context, prepared []*adoptionState) (map[entity.ProgramID][]Record, error) {
	var families []MirroredFamily
	for _, a := range prepared {
		if a != nil {
			families = append(families, MirroredFamily{Root: a.Root, Epoch: a.formerEpoch})
		}
	}
	if len(families) == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, j.options.RequestTimeout)
	defer cancel()
	mirrored, err := j.options.Mirror.Fetch(ctx, families)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotMirrored, err)
	}
	return mirrored, nil
}

// prepareAdoption claims a family, reads its rows in addition to the given root
// row, and builds its state under the next epoch. endAdoption releases the
// claim. prepareAdoption returns nil, without a claim, if it has set the result:
// the family is already owned by this journal, or an error occurred.
func (j *Journal) prepareAdoption(ctx context.Context, a *AdoptionResult, owner string, rootRow platform.Row) *adoptionState {
	if f := j.family(a.Root); f != nil && f.owned() {
		a.Family = f.snapshot()
		return nil
	}
	if !j.beginAdoption(a.Root) {
		a.Err = fmt.Errorf("%w: %s is being adopted already", ErrUnresolved, a.Root)
		return nil
	}
	rows := make(map[entity.ProgramID]row)
	former := uint64(firstEpoch) // of a program that was created while the platform was unavailable and has no row
	if rootRow.Version > 0 {
		var err error
		if rows, err = j.readFamily(ctx, a.Root, rootRow); err != nil {
			a.Err = err
			j.endAdoption([]*adoptionState{{AdoptionResult: a}})
			return nil
		}
		former = rows[a.Root].program.Epoch
	}
	return &adoptionState{AdoptionResult: a, family: newFamily(a.Root, former+1, owner, rows), formerEpoch: former}
}

// completeAdoption commits the adoption of one family together with the
// mirrored records that continue its rows, and starts tracking the family.
func (j *Journal) completeAdoption(ctx context.Context, a *adoptionState, mirrored []Record) {
	if err := j.replayMirrored(ctx, a, mirrored); err != nil {
		a.Err = err
		return
	}
	txn, err := a.family.buildTransaction(true)
	if err != nil {
		a.Err = err
		return
	}
	for _, condition := range j.options.AdoptionConditions(a.Root) {
		txn.addWrite(condition, nil)
	}
	if err := j.commitAdoption(ctx, txn); err != nil {
		a.Err = err
		return
	}
	a.family.applyCommitted(txn)
	j.track(a.family)
	if len(mirrored) > 0 {
		last := mirrored[len(mirrored)-1]
		ctx, cancel := j.requestContext()
		defer cancel()
		j.options.Mirror.Drop(ctx, a.Root, last.Epoch, last.Number)
	}
	a.Family = a.family.snapshot()
}

// replayMirrored queues the mirrored records that are not in the rows yet, and
// counts them in the result. It returns ErrNotFound if the family has neither
// rows nor records. The caller has exclusive access to the family.
func (j *Journal) replayMirrored(ctx context.Context, a *adoptionState, mirrored []Record) error {
	f := a.family
	for _, r := range mirrored {
		switch {
		case r.Epoch != a.formerEpoch || r.Number <= f.lastRecord:
			// of an earlier owner, or already in the rows
		case f.replayRecord(r):
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

// beginAdoption claims a root, so that concurrent Adopt calls of this journal
// do not adopt it twice. It returns false if the root is already claimed.
func (j *Journal) beginAdoption(root entity.ProgramID) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.adopting[root] {
		return false
	}
	j.adopting[root] = true
	return true
}

// endAdoption releases the claims of beginAdoption.
func (j *Journal) endAdoption(prepared []*adoptionState) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range prepared {
		if a != nil {
			delete(j.adopting, a.Root)
		}
	}
}

// replayRecord queues a mirrored record and reports whether it did. It refuses a
// record whose number does not follow the family's last record, and a malformed
// one. The caller has exclusive access to the family.
func (f *family) replayRecord(r Record) bool {
	if r.Number != f.lastRecord+1 {
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

// readIntents reads the versions of the intent rows that the replayed outcomes
// overwrite.
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
		f.observeIntent(r)
	}
	return nil
}

// commitAdoption commits an adoption. If a response is lost, it reads the rows
// back to determine whether the transaction took effect.
func (j *Journal) commitAdoption(ctx context.Context, txn *transaction) error {
	var last error
	for range maxCommitAttempts {
		err := j.table.Commit(ctx, txn.writes)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict) && !txn.responseLost:
			return ErrOwnershipLost
		case errors.Is(err, platform.ErrUnavailable) && !txn.responseLost:
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		txn.responseLost = true
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
