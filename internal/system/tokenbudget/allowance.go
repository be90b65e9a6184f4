package tokenbudget

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/logging/tag"
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
// are forgotten, unless it was told what they used.

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

// Keeper is the row of a bucket.
type Keeper struct {
	VM      string `json:"vm"`
	Process string `json:"p"`
	// Entry is the version of the VM's entry in the list of VMs as that
	// process made it.
	Entry uint64 `json:"e"`
	// Released tells that the keeper has left and that Used is what it handed
	// out to programs that may come back.
	Released bool             `json:"r,omitempty"`
	Used     map[string]int64 `json:"u,omitempty"`
}

// recordedPart is the part of a budget that is handed out by the program's home.
func recordedPart(budget int64) int64 { return budget * recordedNum / recordedDen }

// partPerDC is the part of each data centre, for a program whose turns generate
// at most turn tokens. All parts together exceed the budget by at most a turn.
func partPerDC(budget, turn int64, dcs int) int64 {
	return (budget - recordedPart(budget) + turn) / int64(max(1, dcs))
}

// Allowances hands out the parts of data centres. It is safe for concurrent use.
type Allowances struct {
	DC    string
	DCs   []string // all data centres
	VM    string   // name of this VM
	Self  string   // id of this process
	Store platform.Committer
	Mesh  *Mesh
	// Processes returns the present process of each VM of this data centre,
	// as far as it is known.
	Processes func() map[string]Process
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
	ID    string
	Entry uint64 // version of its entry in the list of VMs
}

type keeperRow struct {
	Keeper
	version uint64
}

// bucket is what a keeper remembers.
type bucket struct {
	after    time.Time // nothing is handed out before
	programs map[string]*handed
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

// Take takes in rows of the table of keepers; with whole they are all of them.
func (a *Allowances) Take(rows []platform.Row, whole bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keepers == nil || whole {
		a.keepers = make(map[string]keeperRow, len(rows))
	}
	for _, row := range rows {
		name := row.Key.ID[1:] // the partition has no name
		if row.Version == 0 {
			delete(a.keepers, name)
			continue
		}
		k := keeperRow{version: row.Version}
		if err := json.Unmarshal(row.Value, &k.Keeper); err != nil {
			a.Log.Warn("row of a keeper unreadable", tag.Target(name), tag.Error(err))
			continue
		}
		a.keepers[name] = k
	}
}

// Claim makes this VM the keeper of buckets that have none. It is called from
// time to time.
func (a *Allowances) Claim(ctx context.Context) {
	processes := a.Processes()
	for b := range bucketsPerDC {
		if old, ok := a.vacant(b, processes); ok {
			a.claim(ctx, b, old, processes[a.VM].Entry)
		}
	}
}

// vacant reports whether this VM should become the keeper of a bucket, and
// returns the row as it is now.
func (a *Allowances) vacant(b int, processes map[string]Process) (keeperRow, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keepers == nil || a.leaving || a.preferred(b, processes) != a.VM {
		return keeperRow{}, false
	}
	name := rowName(a.DC, b)
	old, exists := a.keepers[name]
	if !exists || old.Released {
		return old, true
	}
	if old.Process == a.Self {
		return old, a.kept[b] == nil // the answer to the claim was lost
	}
	return old, a.gone(name, old, processes)
}

// gone reports whether the process of a keeper has surely ended: a later one of
// its VM has entered itself, or it has left the list for longer than a process
// takes to end. Invariant: a keeper that may still hand out is never replaced.
func (a *Allowances) gone(name string, old keeperRow, processes map[string]Process) bool {
	p, listed := processes[old.VM]
	if listed {
		delete(a.unlisted, name)
		return p.ID != old.Process && p.Entry > old.Entry
	}
	if a.unlisted == nil {
		a.unlisted = make(map[string]time.Time)
	}
	since, noted := a.unlisted[name]
	if !noted {
		a.unlisted[name] = time.Now()
		return false
	}
	return time.Since(since) > leaveLimit
}

// preferred returns the VM that should keep a bucket, by rendezvous hashing.
func (a *Allowances) preferred(b int, processes map[string]Process) string {
	best, bestScore := "", uint64(0)
	for vm := range processes {
		score := xxhash.Sum64String(rowName(a.DC, b) + "\x00" + vm)
		if best == "" || cmp.Or(cmp.Compare(score, bestScore), cmp.Compare(vm, best)) > 0 {
			best, bestScore = vm, score
		}
	}
	return best
}

func (a *Allowances) claim(ctx context.Context, b int, old keeperRow, entry uint64) {
	keeper := Keeper{VM: a.VM, Process: a.Self, Entry: entry}
	value, err := json.Marshal(keeper)
	if err != nil {
		a.Log.Error("keeper not written", tag.Error(err))
		return
	}
	key := platform.Key{Table: KeeperTable, ID: "/" + rowName(a.DC, b)}
	version, err := a.Store.CommitAt(ctx, []platform.Write{{Key: key, IfVersion: old.version, Value: value}})
	if err != nil {
		// After a lost answer the feed tells who is the keeper; this process
		// then doesn't know what was handed out before and keeps nothing.
		a.Log.Info("bucket not claimed", tag.Count(b), tag.Error(err))
		return
	}
	kept := &bucket{programs: make(map[string]*handed)}
	if old.version != 0 && !old.Released {
		kept.after = time.Now().Add(memoryOfPrograms)
	}
	for program, used := range old.Used {
		kept.programs[program] = &handed{used: used, last: time.Now()}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.kept == nil {
		a.kept = make(map[int]*bucket)
	}
	a.kept[b] = kept
	a.keepers[rowName(a.DC, b)] = keeperRow{keeper, version}
	a.Log.Info("bucket claimed", tag.Count(b), tag.Duration(max(0, time.Until(kept.after))))
}

// keeperOf returns the process that keeps a program's bucket in a data centre.
func (a *Allowances) keeperOf(program, dc string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, ok := a.keepers[rowName(dc, bucketOf(program))]
	if !ok || k.Released {
		return ""
	}
	return k.Process
}

// Reserve takes a step's tokens of the parts of the data centres, this one's
// first, at their keepers. It returns the keeper and the id of the grant there.
// Errors wrap ErrSpent, if all parts are spent, and ErrUnavailable.
func (a *Allowances) Reserve(ctx context.Context, ask Ask) (keeper string, id uint64, err error) {
	spent := true
	var reasons []error
	for _, dc := range a.nearFirst() {
		keeper = a.keeperOf(ask.Program, dc)
		id, _, err = a.allow(ctx, keeper, ask, false)
		if err == nil {
			return keeper, id, nil
		}
		spent = spent && errors.Is(err, ErrSpent)
		reasons = append(reasons, fmt.Errorf("%s: %v", dc, err))
	}
	if spent {
		return "", 0, ErrSpent
	}
	return "", 0, fmt.Errorf("%w: keepers: %w", ErrUnavailable, errors.Join(reasons...))
}

// Borrow takes the parts of data centres, the nearest first, until it has need
// tokens. If that is not enough it reports whether all keepers could be reached.
func (a *Allowances) Borrow(ctx context.Context, ask Ask, need int64) (sum int64, whole bool) {
	whole = true
	for _, dc := range a.nearFirst() {
		if sum >= need {
			return sum, false
		}
		_, tokens, err := a.allow(ctx, a.keeperOf(ask.Program, dc), ask, true)
		switch {
		case err == nil:
			sum += tokens
		case !errors.Is(err, ErrSpent):
			whole = false
		}
	}
	return sum, whole
}

// allow asks a keeper, this VM itself without a call.
func (a *Allowances) allow(ctx context.Context, keeper string, ask Ask, all bool) (uint64, int64, error) {
	switch keeper {
	case "":
		return 0, 0, fmt.Errorf("%w: no keeper", ErrUnavailable)
	case a.Self:
		return a.hand(ask, all)
	default:
		return a.Mesh.allow(ctx, keeper, ask, all)
	}
}

// nearFirst returns the data centres, this one first.
func (a *Allowances) nearFirst() []string {
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
func (a *Allowances) hand(ask Ask, all bool) (uint64, int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := bucketOf(ask.Program)
	kept := a.kept[b]
	if kept == nil {
		return 0, 0, fmt.Errorf("%w: bucket not kept here", ErrUnavailable)
	}
	if time.Now().Before(kept.after) {
		// The keeper before may have handed out all of it.
		return 0, 0, fmt.Errorf("%w: the part counts as used since its keeper died", ErrSpent)
	}
	h := kept.programs[ask.Program]
	if h == nil {
		h = &handed{}
		kept.programs[ask.Program] = h
	}
	h.last = time.Now()
	part := partPerDC(ask.Budget, ask.Turn, len(a.DCs))
	left := part - h.used
	if all && left > 0 {
		h.used += left
		return 0, left, nil
	}
	if left < max(1, ask.Step) {
		return 0, 0, ErrSpent
	}
	h.used += ask.Step
	if a.grants == nil {
		a.grants = make(map[uint64]*grant)
	}
	a.lastID++
	a.grants[a.lastID] = &grant{ask.Program, b, ask.Step, h.last}
	return a.lastID, ask.Step, nil
}

// settle ends a grant of which a number of tokens was generated. A grant that
// is never settled counts as used.
func (a *Allowances) settle(id uint64, generated int64) {
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
func (a *Allowances) Settle(keeper string, id uint64, generated int64) {
	if keeper == a.Self {
		a.settle(id, generated)
		return
	}
	a.Mesh.settleAllowance(keeper, id, generated)
}

// Sweep forgets programs that can't come back and grants that were not settled.
func (a *Allowances) Sweep(now time.Time) {
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

// Release gives up all buckets and tells the successors what was handed out,
// grants that are not settled counted whole. It hands out nothing more.
func (a *Allowances) Release(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	var writes []platform.Write
	for b, kept := range a.kept {
		used := make(map[string]int64, len(kept.programs))
		for program, h := range kept.programs {
			if h.used > 0 {
				used[program] = h.used
			}
		}
		name := rowName(a.DC, b)
		keeper := a.keepers[name].Keeper
		keeper.Released, keeper.Used = time.Now().After(kept.after), used
		value, err := json.Marshal(keeper)
		if err != nil {
			a.Log.Error("keeper not written", tag.Error(err))
			continue
		}
		writes = append(writes, platform.Write{
			Key: platform.Key{Table: KeeperTable, ID: "/" + name}, IfVersion: a.keepers[name].version, Value: value,
		})
	}
	a.kept = nil
	a.mu.Unlock()
	if len(writes) == 0 {
		return
	}
	if _, err := a.Store.CommitAt(ctx, writes); err != nil {
		a.Log.Warn("buckets not released", tag.Count(len(writes)), tag.Error(err))
	}
}

// Allowed is the answer of a keeper.
type Allowed struct {
	ID, Tokens         int64
	Spent, Unavailable bool
	Reason             string // for the log
}

// AllowAsk is a question of another VM.
type AllowAsk struct {
	Ask
	All bool // whatever is left, for good
}

// Allow hands out tokens to another VM.
func (s *service) Allow(ask AllowAsk, out *Allowed) error {
	id, tokens, err := s.allowances.hand(ask.Ask, ask.All)
	out.ID, out.Tokens = int64(id), tokens
	out.Spent = errors.Is(err, ErrSpent)
	out.Unavailable = err != nil && !out.Spent
	if err != nil {
		out.Reason = err.Error()
	}
	return nil
}

// SettleAllowance ends a grant of another VM.
func (s *service) SettleAllowance(end Settled, _ *bool) error {
	s.allowances.settle(end.ID, end.Generated)
	return nil
}

func (m *Mesh) allow(ctx context.Context, keeper string, ask Ask, all bool) (uint64, int64, error) {
	var got Allowed
	err := m.call(ctx, keeper, serviceName+".Allow", m.Limits.Allow, AllowAsk{ask, all}, &got)
	switch {
	case err != nil:
		return 0, 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case got.Spent:
		return 0, 0, ErrSpent
	case got.Unavailable:
		return 0, 0, fmt.Errorf("%w: at %s: %s", ErrUnavailable, keeper, got.Reason)
	}
	return uint64(got.ID), got.Tokens, nil
}

func (m *Mesh) settleAllowance(keeper string, id uint64, generated int64) {
	m.settle(keeper, serviceName+".SettleAllowance", id, generated)
}
