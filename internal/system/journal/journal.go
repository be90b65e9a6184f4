// Package journal keeps the durable state of program families: the program
// rows, the turns of their histories and the intents of calls that must not be
// repeated. A family is a root program with its sub-agents. One VM owns it at
// a time: every write requires the version of the root row, which an adopter
// raises, so that a former owner's write fails with ErrOwnershipLost.
//
// Changes of one family are written in the order of their Submit calls. While
// the platform is unavailable they wait in a bounded buffer with a second copy
// on another VM and are flushed in order when it returns.
package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/timeline"
)

// Errors of the journal.
var (
	// ErrOwnershipLost means that another owner has taken the family, or
	// that this journal never owned it.
	ErrOwnershipLost = errors.New("ownership of the program family lost")
	// ErrBufferFull means that the platform is unavailable and the buffer
	// has no room. Nothing was accepted.
	ErrBufferFull = errors.New("journal buffer full")
	// ErrNotMirrored means that the platform is unavailable and the second
	// copy could not be made. Nothing was accepted.
	ErrNotMirrored = errors.New("no second copy of buffered records")
	// ErrUnavailable means that the platform is unavailable. Nothing was
	// written.
	ErrUnavailable = errors.New("journal can't reach the platform")
	// ErrClosed means that the journal was closed. Nothing was written.
	ErrClosed = fmt.Errorf("%w: journal is closed", ErrUnavailable)
	// ErrUnresolved means that the outcome of a write is not known yet. The
	// journal goes on settling it; the caller must not take the write as
	// done, nor as undone.
	ErrUnresolved = errors.New("outcome of a journal write not known yet")
	// ErrOutOfOrder means that a turn does not follow the last one.
	ErrOutOfOrder = errors.New("turn out of order")
	// ErrInvalid means that changes are malformed or too large.
	ErrInvalid = errors.New("invalid journal changes")
	// ErrNotFound means that no such program or intent exists.
	ErrNotFound = errors.New("not in the journal")
	// ErrIntentExists means that the request id has an intent already.
	ErrIntentExists = errors.New("intent exists")
	// ErrCorrupt means that stored rows contradict each other.
	ErrCorrupt = errors.New("stored history is inconsistent")
)

// Options configure a Journal. Table and Objects are required; other zero
// fields take the defaults.
type Options struct {
	Table   platform.Table // a batch.Committer, so that families share transactions
	Objects platform.ObjectStore
	// Mirror keeps the second copy of buffered records; nil means none.
	Mirror Mirror
	// MaxBufferBytes and MaxBufferRecords bound the buffered and reserved
	// records of all families.
	MaxBufferBytes   int
	MaxBufferRecords int
	// Timeout bounds one request to the platform or the mirror.
	Timeout time.Duration
	// ScansPerSecond paces the reads of sub-agents in an adoption, so that
	// the platform's read rate holds.
	ScansPerSecond float64
	// FlushEvery is the interval at which Run flushes.
	FlushEvery time.Duration
	// CompactAt is the number of turns in rows from which on Run compacts a
	// program, and CompactEvery the interval at which it looks for such.
	CompactAt    uint64
	CompactEvery time.Duration
	// Events records what becomes of turns; nil means nothing.
	Events timeline.Recorder
	// Guards returns the conditions that an adoption must carry beside those
	// of the family's own rows; nil means none.
	Guards func(root entity.ProgramID) []platform.Write
	// OnLost is called once for each family whose ownership was lost.
	OnLost func(root entity.ProgramID)
}

// Defaults of Options.
const (
	DefaultMaxBufferBytes   = 64 << 20
	DefaultMaxBufferRecords = 20_000
	DefaultTimeout          = 10 * time.Second
	DefaultScansPerSecond   = 1000
	DefaultFlushEvery       = 200 * time.Millisecond
	DefaultCompactAt        = 160
	DefaultCompactEvery     = time.Second
)

// Limits of one family, so that its buffered records fit one transaction.
const (
	maxFamilyWrites = platform.MaxTxnWrites * 8 / 10
	maxFamilyBytes  = platform.MaxTxnBytes / 2
)

// Requests under way at once: commits of one Flush, which wait for their batch,
// and scans of one Adopt.
const (
	concurrentCommits = 256
	concurrentScans   = 32
)

// firstEpoch is the epoch of a new program.
const firstEpoch = 1

// Journal is the durable state of the families that one VM owns. It is safe
// for concurrent use.
type Journal struct {
	table   platform.Table
	objects platform.ObjectStore
	options Options
	room    *room
	scans   *rate.Limiter // of adoptions

	closing context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	closed   bool // no goroutine is started any more
	families map[entity.ProgramID]*family
	adopting map[entity.ProgramID]bool
}

// New returns a journal that owns nothing. Close it after use.
func New(o Options) *Journal {
	if o.MaxBufferBytes == 0 {
		o.MaxBufferBytes = DefaultMaxBufferBytes
	}
	if o.MaxBufferRecords == 0 {
		o.MaxBufferRecords = DefaultMaxBufferRecords
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.ScansPerSecond == 0 {
		o.ScansPerSecond = DefaultScansPerSecond
	}
	if o.FlushEvery == 0 {
		o.FlushEvery = DefaultFlushEvery
	}
	if o.CompactAt == 0 {
		o.CompactAt = DefaultCompactAt
	}
	if o.CompactEvery == 0 {
		o.CompactEvery = DefaultCompactEvery
	}
	if o.Events == nil {
		o.Events = timeline.Discard{}
	}
	if o.Guards == nil {
		o.Guards = func(entity.ProgramID) []platform.Write { return nil }
	}
	if o.OnLost == nil {
		o.OnLost = func(entity.ProgramID) {}
	}
	if o.Mirror == nil {
		o.Mirror = noMirror{}
	}
	j := &Journal{
		table:    deadlineTable{o.Table, o.Timeout},
		objects:  deadlineObjects{o.Objects, o.Timeout},
		options:  o,
		room:     &room{maxBytes: o.MaxBufferBytes, maxRecords: o.MaxBufferRecords},
		families: make(map[entity.ProgramID]*family),
		adopting: make(map[entity.ProgramID]bool),
		scans:    rate.NewLimiter(rate.Limit(o.ScansPerSecond), concurrentScans),
	}
	j.closing, j.cancel = context.WithCancel(context.Background())
	return j
}

// Close cuts off requests under way and waits for the background goroutines.
// Buffered records remain on the mirror.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.cancel()
	j.running.Wait()
}

// Run flushes buffered records and compacts long programs until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { every(ctx, j.options.FlushEvery, func() { j.Flush(ctx) }) })
	wait.Go(func() { every(ctx, j.options.CompactEvery, func() { j.compactDue(ctx) }) })
	wait.Wait()
}

// every calls do at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			do()
		case <-ctx.Done():
			return
		}
	}
}

// Flush tries once to write the buffered records of each family, in order, and
// returns how many records remain buffered.
func (j *Journal) Flush(ctx context.Context) int {
	var wait sync.WaitGroup
	slots := make(chan struct{}, concurrentCommits)
	for _, f := range j.all() {
		if ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if f.beginProbe() {
				j.drain(f, true)
			}
		})
	}
	wait.Wait()
	return j.Buffered()
}

// Buffered returns the number of records that wait for the platform.
func (j *Journal) Buffered() int {
	n := 0
	for _, f := range j.all() {
		n += f.bufferedRecords()
	}
	return n
}

// Forget stops tracking a family, for instance after a handover. Its buffered
// records are given up, so it is called when none are left.
func (j *Journal) Forget(root entity.ProgramID) {
	j.mu.Lock()
	f := j.families[root]
	delete(j.families, root)
	j.mu.Unlock()
	if f != nil {
		j.room.release(f.abandon(ErrOwnershipLost))
	}
}

// Owns reports whether the journal believes to own a family.
func (j *Journal) Owns(root entity.ProgramID) bool {
	f := j.family(root)
	return f != nil && f.held()
}

func (j *Journal) family(root entity.ProgramID) *family {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.families[root]
}

func (j *Journal) all() []*family {
	j.mu.Lock()
	defer j.mu.Unlock()
	families := make([]*family, 0, len(j.families))
	for _, f := range j.families {
		families = append(families, f)
	}
	return families
}

func (j *Journal) track(f *family) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.families[f.root] = f
}

// untrack removes a family unless a newer adoption has replaced it, and reports
// whether it did.
func (j *Journal) untrack(f *family) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.families[f.root] != f {
		return false
	}
	delete(j.families, f.root)
	return true
}

// request returns a context for one request that outlives its caller.
func (j *Journal) request() (context.Context, context.CancelFunc) {
	return context.WithTimeout(j.closing, j.options.Timeout)
}
