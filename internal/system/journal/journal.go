// Package journal stores the durable state of program families: the program
// rows, the turns of their histories and the intents of calls that must not be
// repeated. A family is a root program with its sub-agents, owned by one VM at a
// time. Every write is conditional on the version of the root row, which an
// adoption changes, so that writes of a former owner fail with ErrOwnershipLost.
//
// Changes of one family are written in the order of their Submit calls. While
// the platform is unavailable they are kept in a bounded buffer, with a second
// copy on another VM, and written in order when it is available again.
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
	// ErrOwnershipLost means that another VM has adopted the family, or that
	// this journal never owned it.
	ErrOwnershipLost = errors.New("ownership of the program family lost")
	// ErrBufferFull means that the platform is unavailable and the buffer has
	// no space. Nothing was accepted.
	ErrBufferFull = errors.New("journal buffer full")
	// ErrNotMirrored means that the platform is unavailable and no second copy
	// could be stored. Nothing was accepted.
	ErrNotMirrored = errors.New("no second copy of buffered records")
	// ErrUnavailable means that the platform is unavailable. Nothing was
	// written.
	ErrUnavailable = errors.New("journal can't reach the platform")
	// ErrClosed means that the journal was closed. Nothing was written.
	ErrClosed = fmt.Errorf("%w: journal is closed", ErrUnavailable)
	// ErrUnresolved means that the outcome of a write is not known yet. The
	// journal continues to determine it; the caller must assume neither that
	// the write took effect nor that it failed.
	ErrUnresolved = errors.New("outcome of a journal write not known yet")
	// ErrOutOfOrder means that the number of a turn does not follow that of the
	// program's last turn.
	ErrOutOfOrder = errors.New("turn out of order")
	// ErrInvalid means that changes are malformed or too large.
	ErrInvalid = errors.New("invalid journal changes")
	// ErrNotFound means that no such program or intent exists.
	ErrNotFound = errors.New("not in the journal")
	// ErrIntentExists means that the request id already has an intent.
	ErrIntentExists = errors.New("intent exists")
	// ErrCorrupt means that stored rows or objects are inconsistent.
	ErrCorrupt = errors.New("stored history is inconsistent")
)

// Options configure a Journal. Table and Objects are required; other zero
// fields get their defaults.
type Options struct {
	Table   platform.Table // usually a batch.Committer, which batches the transactions of families
	Objects platform.ObjectStore
	// Mirror stores the second copy of buffered records; none if nil.
	Mirror Mirror
	// MaxBufferBytes and MaxBufferRecords bound the buffered and reserved
	// records of all families.
	MaxBufferBytes   int
	MaxBufferRecords int
	// RequestTimeout bounds one request to the platform or the mirror.
	RequestTimeout time.Duration
	// ScansPerSecond limits the rate at which adoptions scan for sub-agents, to
	// stay within the platform's read rate.
	ScansPerSecond float64
	// FlushInterval is the time between two flushes in Run.
	FlushInterval time.Duration
	// CompactThreshold is the number of turns in rows at which Run compacts a
	// program, and CompactInterval the time between two checks for such
	// programs.
	CompactThreshold uint64
	CompactInterval  time.Duration
	// Recorder records that turns were buffered or became durable and that
	// ownership was lost; none if nil.
	Recorder timeline.Recorder
	// AdoptionConditions returns conditions that an adoption adds to those on
	// the family's own rows; none if nil.
	AdoptionConditions func(root entity.ProgramID) []platform.Write
	// OnOwnershipLost is called once for each family whose ownership was lost.
	OnOwnershipLost func(root entity.ProgramID)
}

// Defaults of Options.
const (
	DefaultMaxBufferBytes   = 64 << 20
	DefaultMaxBufferRecords = 20_000
	DefaultRequestTimeout   = 10 * time.Second
	DefaultScansPerSecond   = 1000
	DefaultFlushInterval    = 200 * time.Millisecond
	DefaultCompactThreshold = 160
	DefaultCompactInterval  = time.Second
)

// Limits of one family, so that its buffered records fit one transaction.
const (
	maxFamilyWrites = platform.MaxTxnWrites * 8 / 10
	maxFamilyBytes  = platform.MaxTxnBytes / 2
)

// Limits of concurrent requests.
const (
	// maxConcurrentCommits bounds the commits of one Flush, most of which wait
	// for their batch to be sent.
	maxConcurrentCommits = 256
	maxConcurrentScans   = 32 // of one Adopt
)

// firstEpoch is the epoch of a new program.
const firstEpoch = 1

// Journal stores the state of the families that one VM owns. It is safe for
// concurrent use.
type Journal struct {
	table       platform.Table
	objects     platform.ObjectStore
	options     Options
	bufferSpace *bufferSpace
	scanLimiter *rate.Limiter // scans of adoptions

	closing context.Context // cancelled by Close
	cancel  context.CancelFunc
	running sync.WaitGroup // goroutines of startWriter

	mu       sync.Mutex
	closed   bool                         // no more goroutines are started
	families map[entity.ProgramID]*family // owned families, by root
	adopting map[entity.ProgramID]bool    // roots that an Adopt call has claimed
}

// New returns a journal that owns no family. Close it after use.
func New(o Options) *Journal {
	if o.MaxBufferBytes == 0 {
		o.MaxBufferBytes = DefaultMaxBufferBytes
	}
	if o.MaxBufferRecords == 0 {
		o.MaxBufferRecords = DefaultMaxBufferRecords
	}
	if o.RequestTimeout == 0 {
		o.RequestTimeout = DefaultRequestTimeout
	}
	if o.ScansPerSecond == 0 {
		o.ScansPerSecond = DefaultScansPerSecond
	}
	if o.FlushInterval == 0 {
		o.FlushInterval = DefaultFlushInterval
	}
	if o.CompactThreshold == 0 {
		o.CompactThreshold = DefaultCompactThreshold
	}
	if o.CompactInterval == 0 {
		o.CompactInterval = DefaultCompactInterval
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	if o.AdoptionConditions == nil {
		o.AdoptionConditions = func(entity.ProgramID) []platform.Write { return nil }
	}
	if o.OnOwnershipLost == nil {
		o.OnOwnershipLost = func(entity.ProgramID) {}
	}
	if o.Mirror == nil {
		o.Mirror = noMirror{}
	}
	j := &Journal{
		table:       timeoutTable{o.Table, o.RequestTimeout},
		objects:     timeoutObjects{o.Objects, o.RequestTimeout},
		options:     o,
		bufferSpace: &bufferSpace{maxBytes: o.MaxBufferBytes, maxRecords: o.MaxBufferRecords},
		families:    make(map[entity.ProgramID]*family),
		adopting:    make(map[entity.ProgramID]bool),
		scanLimiter: rate.NewLimiter(rate.Limit(o.ScansPerSecond), maxConcurrentScans),
	}
	j.closing, j.cancel = context.WithCancel(context.Background())
	return j
}

// Close cancels requests in flight and waits for the background goroutines.
// Buffered records remain on the mirror.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.cancel()
	j.running.Wait()
}

// Run periodically flushes buffered records and compacts programs with many turns
// in rows, until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { runPeriodically(ctx, j.options.FlushInterval, func() { j.Flush(ctx) }) })
	wait.Go(func() { runPeriodically(ctx, j.options.CompactInterval, func() { j.compactDue(ctx) }) })
	wait.Wait()
}

// runPeriodically calls do at an interval until ctx ends.
func runPeriodically(ctx context.Context, interval time.Duration, do func()) {
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

// Flush retries once to write the buffered records of each family, in order, and
// returns how many records remain buffered.
func (j *Journal) Flush(ctx context.Context) int {
	var wait sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCommits)
	for _, f := range j.allFamilies() {
		if ctx.Err() != nil {
			break
		}
		semaphore <- struct{}{}
		wait.Go(func() {
			defer func() { <-semaphore }()
			if f.claimWriterForRetry() {
				j.writeQueue(f, true)
			}
		})
	}
	wait.Wait()
	return j.BufferedRecords()
}

// BufferedRecords returns the number of buffered records of all families.
func (j *Journal) BufferedRecords() int {
	n := 0
	for _, f := range j.allFamilies() {
		n += f.bufferedRecords()
	}
	return n
}

// DropFamily stops tracking a family, for instance after a hand-over. It discards
// the family's queued and buffered changes, which fail with ErrOwnershipLost, so it
// should be called when there are none. It does not call OnOwnershipLost.
func (j *Journal) DropFamily(root entity.ProgramID) {
	j.mu.Lock()
	f := j.families[root]
	delete(j.families, root)
	j.mu.Unlock()
	if f != nil {
		j.bufferSpace.free(f.abandon(ErrOwnershipLost))
	}
}

// Owns reports whether the journal owns a family. It does not query the platform:
// the result is still true if another VM has adopted the family and no later write
// has failed yet.
func (j *Journal) Owns(root entity.ProgramID) bool {
	f := j.family(root)
	return f != nil && f.owned()
}

func (j *Journal) family(root entity.ProgramID) *family {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.families[root]
}

func (j *Journal) allFamilies() []*family {
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
// whether the family was removed.
func (j *Journal) untrack(f *family) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.families[f.root] != f {
		return false
	}
	delete(j.families, f.root)
	return true
}

// requestContext returns a context for one request to the platform or the mirror.
// It ends after RequestTimeout or on Close, independently of the caller's context.
func (j *Journal) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(j.closing, j.options.RequestTimeout)
}
