package tokenbudget

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/platform"
)

// A budget is split: one part is handed out by the program's home, which
// records it beforehand in the program's row. The rest is split evenly among
// the data centres. The part of a data centre is handed out by one VM of it, the
// keeper of the program's bucket, from memory alone, so that programs can begin
// and go on while the data centre can't reach the table service. The budget
// holds as the parts are disjoint and a bucket never has two keepers that
// could hand out the same part: a keeper is replaced only if its process is
// gone, and its successor waits until all programs that it may have served
// are forgotten, unless it was told what they used. A keeper that leaves hands
// its buckets over to VMs of its data centre (see handover.go).

const (
	// KeeperTable is the table of the keepers.
	KeeperTable = "keepers"
	// bucketsPerDC is the number of keepers of a data centre at the most.
	bucketsPerDC = 16
	// recordedNum / recordedDen is the recorded part of a budget. It should
	// hold a turn by itself for most budgets, and leave enough to the data
	// centres for a short program.
	recordedNum, recordedDen = 3, 5
	// leaveLimit is how long a process that has left the list of VMs may
	// still run; above the grace that the platform gives.
	leaveLimit = 20 * time.Second
	// memoryOfPrograms is how long a program may come back.
	memoryOfPrograms = 90 * time.Second
)

// recordedPart is the part of a budget that is handed out by the program's home.
func recordedPart(budget int64) int64 { return budget * recordedNum / recordedDen }

// partPerDC is the part of each data centre, for a program whose turns generate
// at most turn tokens. All parts together exceed the budget by at most a turn.
func partPerDC(budget, turn int64, dcs int) int64 {
	return (budget - recordedPart(budget) + turn) / int64(max(1, dcs))
}

// Quotas hands out the parts of data centres. It is safe for concurrent use.
type Quotas struct {
	DC        string
	DCs       []string // all data centres
	VM        string   // name of this VM
	ProcessID string   // id of this process
	Store     platform.Committer
	Peers     *PeerClient
	// Processes returns the present process of each VM of a data centre, as
	// far as it is known.
	Processes func(dc string) map[string]Process
	Clock     clock.Clock
	Log       *zap.Logger

	mu       sync.Mutex
	keepers  map[string]keeperRow // guarded by mu, by row name
	kept     map[int]*bucket      // guarded by mu; those that this VM keeps
	grants   map[uint64]*grant    // guarded by mu
	lastID   uint64               // guarded by mu
	leaving  bool                 // guarded by mu
	unlisted map[string]time.Time // guarded by mu; since when the keeper of a row is not in the list of VMs
}

// Process is the present process of a VM.
type Process struct {
	ID           string
	EntryVersion uint64 // version of its entry in the list of VMs
}

type keeperRow struct {
	Keeper
	version uint64
}

// bucket is what a keeper remembers.
type bucket struct {
	after    time.Time // nothing is handed out before
	programs map[string]*handed
	// version is that of the row by which this process keeps the bucket or,
	// before it is recorded, that of the keeper which handed it over.
	version uint64
	// recorded tells that the row names this process. Otherwise the bucket is
	// kept until expires at the longest.
	recorded bool
	expires  time.Duration // of the allowances' clock
}

func newBucket(used map[string]int64) *bucket {
	kept := &bucket{programs: make(map[string]*handed, len(used))}
	for program, tokens := range used {
		kept.programs[program] = &handed{used: tokens, last: time.Now()}
	}
	return kept
}

// used returns what was handed out by program; what is below 0 was deposited.
func (k *bucket) used() map[string]int64 {
	used := make(map[string]int64, len(k.programs))
	for program, h := range k.programs {
		if h.used != 0 {
			used[program] = h.used
		}
	}
	return used
}

type handed struct {
	used int64 // reserved or generated
	last time.Time
}

type grant struct {
	program string
	bucket  int
	tokens  int64
	made    time.Time
}

func bucketOf(program string) int { return int(xxhash.Sum64String(program) % bucketsPerDC) }

func rowName(dc string, bucket int) string { return dc + "." + strconv.Itoa(bucket) }

// Reserve takes a step's tokens of the parts of the data centres, this one's
// first, at their keepers. It returns the keeper and the grant. Errors wrap
// ErrSpent, if all parts are spent, and ErrUnavailable.
func (a *Quotas) Reserve(ctx context.Context, ask ReserveRequest) (Grant, error) {
	spent := true
	var reasons []error
	for _, dc := range a.nearFirst() {
		g, err := a.allowIn(ctx, dc, ask, false)
		if err == nil {
			return g, nil
		}
		spent = spent && errors.Is(err, ErrSpent)
		reasons = append(reasons, fmt.Errorf("%s: %v", dc, err))
	}
	if spent {
		return Grant{}, ErrSpent
	}
	return Grant{}, fmt.Errorf("%w: keepers: %w", ErrUnavailable, errors.Join(reasons...))
}

// Borrow takes the parts of data centres, the nearest first, until it has need
// tokens. If that is not enough it reports whether all keepers could be reached.
func (a *Quotas) Borrow(ctx context.Context, ask ReserveRequest, need int64) (sum int64, whole bool) {
	whole = true
	for _, dc := range a.nearFirst() {
		if sum >= need {
			return sum, false
		}
		g, err := a.allowIn(ctx, dc, ask, true)
		switch {
		case err == nil:
			sum += g.Tokens
		case !errors.Is(err, ErrSpent):
			whole = false
		}
	}
	return sum, whole
}

// Grant is what a keeper has handed out.
type Grant struct {
	Keeper string // its process
	ID     uint64
	Tokens int64
}

// allowIn asks the keeper of a data centre. All of another data centre are asked
// within the time of one call, since it may be cut off.
func (a *Quotas) allowIn(ctx context.Context, dc string, ask ReserveRequest, all bool) (Grant, error) {
	if dc != a.DC {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.Peers.Timeouts.Keeper)
		defer cancel()
	}
	err := fmt.Errorf("%w: no keeper", ErrUnavailable)
	for _, keeper := range a.keepersOf(ask.Program, dc) {
		var g Grant
		if keeper == a.ProcessID {
			g, err = a.hand(ask, all)
		} else {
			g, err = a.Peers.allow(ctx, keeper, ask, all)
		}
		if err == nil || errors.Is(err, ErrSpent) {
			return g, err
		}
	}
	return Grant{}, err
}

// nearFirst returns the data centres, this one first.
func (a *Quotas) nearFirst() []string {
	list := make([]string, 1, len(a.DCs))
	list[0] = a.DC
	for _, dc := range a.DCs {
		if dc != a.DC {
			list = append(list, dc)
		}
	}
	return list
}

// hand takes tokens from a part that this VM keeps: a step's, or with all
// whatever is left, for good.
func (a *Quotas) hand(ask ReserveRequest, all bool) (Grant, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := bucketOf(ask.Program)
	kept := a.keeps(b)
	if kept == nil {
		return Grant{}, fmt.Errorf("%w: bucket not kept here", ErrUnavailable)
	}
	if time.Now().Before(kept.after) {
		// The keeper before may have handed out all of it.
		return Grant{}, fmt.Errorf("%w: the part counts as used since its keeper died", ErrSpent)
	}
	h := kept.program(ask.Program)
	left := partPerDC(ask.Budget, ask.Turn, len(a.DCs)) - h.used
	if all && left > 0 {
		h.used += left
		return Grant{Keeper: a.ProcessID, Tokens: left}, nil
	}
	if left < max(1, ask.Least) {
		return Grant{}, ErrSpent
	}
	tokens := min(left, ask.Step)
	h.used += tokens
	if a.grants == nil {
		a.grants = make(map[uint64]*grant)
	}
	a.lastID++
	a.grants[a.lastID] = &grant{ask.Program, b, tokens, h.last}
	return Grant{a.ProcessID, a.lastID, tokens}, nil
}

// program returns what is remembered of a program that asks now.
func (k *bucket) program(id string) *handed {
	h := k.programs[id]
	if h == nil {
		h = &handed{}
		k.programs[id] = h
	}
	h.last = time.Now()
	return h
}

// settle ends a grant of which a number of tokens was generated. A grant that
// is never settled counts as used.
func (a *Quotas) settle(id uint64, generated int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.grants[id]
	if g == nil {
		return
	}
	delete(a.grants, id)
	if kept := a.kept[g.bucket]; kept != nil && kept.programs[g.program] != nil {
		kept.programs[g.program].used -= g.tokens - generated
	}
}

// Settle ends a grant of a keeper.
func (a *Quotas) Settle(keeper string, id uint64, generated int64) {
	if keeper == a.ProcessID {
		a.settle(id, generated)
		return
	}
	a.Peers.settleAllowance(keeper, id, generated)
}

// Sweep forgets programs that can't come back and grants that were not settled.
func (a *Quotas) Sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, g := range a.grants {
		if now.Sub(g.made) > reservationLimit {
			delete(a.grants, id)
		}
	}
	for _, kept := range a.kept {
		for program, h := range kept.programs {
			if now.Sub(h.last) > memoryOfPrograms {
				delete(kept.programs, program)
			}
		}
	}
}

// GrantResponse is the answer of a keeper.
type GrantResponse struct {
	ID, Tokens         int64
	Spent, Unavailable bool
	Reason             string // for the log
}

// GrantRequest is a question of another VM.
type GrantRequest struct {
	Ask ReserveRequest
	All bool // whatever is left, for good
}

// Allow hands out tokens to another VM.
func (s *service) Allow(ask GrantRequest, out *GrantResponse) error {
	g, err := s.allowances.hand(ask.Ask, ask.All)
	out.ID, out.Tokens = int64(g.ID), g.Tokens
	out.Spent = errors.Is(err, ErrSpent)
	out.Unavailable = err != nil && !out.Spent
	if err != nil {
		out.Reason = err.Error()
	}
	return nil
}

// SettleAllowance ends a grant of another VM.
func (s *service) SettleAllowance(end SettleRequest, _ *bool) error {
	s.allowances.settle(end.ID, end.Generated)
	return nil
}

func (m *PeerClient) allow(ctx context.Context, keeper string, ask ReserveRequest, all bool) (Grant, error) {
	var got GrantResponse
	err := m.call(ctx, keeper, serviceName+".Allow", m.Timeouts.Keeper, GrantRequest{ask, all}, &got)
	switch {
	case err != nil:
		return Grant{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case got.Spent:
		return Grant{}, ErrSpent
	case got.Unavailable:
		return Grant{}, fmt.Errorf("%w: at %s: %s", ErrUnavailable, keeper, got.Reason)
	}
	return Grant{keeper, uint64(got.ID), got.Tokens}, nil
}

func (m *PeerClient) settleAllowance(keeper string, id uint64, generated int64) {
	m.settle(keeper, serviceName+".SettleAllowance", id, generated)
}
