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
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform"
)

// Invariants that keep the data centres' quotas within the budget: the quotas
// are disjoint, and a bucket never has two keepers that could grant from the
// same quota. A keeper is replaced only if its process has ended. Its successor
// grants nothing until all programs that the keeper may have served have expired,
// unless the successor has received their usage. A keeper that leaves hands its
// buckets over to VMs of its data centre (see handover.go).

const (
	// KeeperTable is the table of the keepers' rows.
	KeeperTable = "keepers"
	// bucketsPerDC is the number of buckets, and so the largest number of
	// keepers in a data centre.
	bucketsPerDC = 16
	// The recorded quota is budgetShare / shares of the budget and turnShare / shares of
	// a turn. It and the data centres' quotas together cover a turn each for any budget
	// that covers one.
	budgetShare, turnShare, shares = 3, 2, 5
	// processExitTimeout is how long a process that has left the list of VMs
	// may still run. It is longer than the grace period that the platform gives
	// a process to exit.
	processExitTimeout = 20 * time.Second
	// programRetention is how long after a request a program may send another
	// one.
	programRetention = 90 * time.Second
)

// recordedQuota is the part of a budget that is accounted for in the program's row, for a
// turn that generates at most turn tokens.
func recordedQuota(budget, turn int64) int64 {
	return (budget*budgetShare + turn*turnShare) / shares
}

// quotaPerDC is the quota of each data centre. All quotas together exceed the budget by at
// most the largest turn, also if they are computed for different turns of the program.
func quotaPerDC(budget, turn int64, dcs int) int64 {
	return (budget*(shares-budgetShare) + turn*(shares-turnShare)) / shares / int64(max(1, dcs))
}

// Quotas accounts for the data centres' quotas: it grants tokens for the buckets
// that this VM keeps, and obtains grants from other keepers. It is safe for
// concurrent use.
type Quotas struct {
	DC        string
	DCs       []string     // all data centres
	VM        string       // name of this VM
	ProcessID mesh.Process // this process
	Store     platform.VersionedTable
	Peers     *PeerClient
	// Processes returns the current process of each listed VM of a data centre,
	// by the VM's name.
	Processes func(dc string) map[string]Process
	// OnAccept, if not nil, is called when this VM has accepted a bucket, which
	// ClaimBuckets records.
	OnAccept func()
	Clock    clock.Clock
	Log      *zap.Logger

	// changingKeeper is held while this process becomes the keeper of a bucket, or records
	// that, so that a bucket is handed over with the version of its row.
	changingKeeper sync.Mutex

	mu            sync.Mutex
	keepers       map[string]versionedKeeper // guarded by mu; by row name, as last read or written
	buckets       map[int]*bucket            // guarded by mu; those that this VM keeps
	openGrants    map[uint64]*openGrant      // guarded by mu; by grant id
	lastID        uint64                     // guarded by mu; of a grant
	withheldSeen  time.Time                  // guarded by mu; when a keeper last withheld a quota
	draining      bool                       // guarded by mu; this VM keeps no more buckets
	unlistedSince map[string]time.Time       // guarded by mu; by row name, when the keeper's VM was first missing from the list of VMs
}

// Process is the current process of a VM.
type Process struct {
	ID           mesh.Process
	EntryVersion uint64 // version of its entry in the list of VMs
}

// versionedKeeper is a keeper's row with its version; version 0 means that
// there is no row.
type versionedKeeper struct {
	Keeper
	version uint64
}

// bucket is a keeper's accounting of one bucket.
type bucket struct {
	grantsAfter time.Time         // nothing is granted before; zero if grants may be made at once
	programs    map[string]*usage // usage of each program that was heard of within usageRetention
	// version is that of the row that names this process or, before that is
	// written, of the row of the keeper that handed the bucket over.
	version uint64
	// recorded is set once the row names this process. Until then the bucket is
	// kept until expires at the latest.
	recorded bool
	expires  time.Duration // on Quotas.Clock
	// keptSince is when recorded was set, on Quotas.Clock.
	keptSince time.Duration
	// handedOverBy are the ids of the processes that have handed the bucket over since the
	// row had that version. A write of theirs may still change the row.
	handedOverBy []mesh.Process
}

// newBucket returns a bucket with the usage that an earlier keeper has passed
// on.
func newBucket(used map[string]int64) *bucket {
	kept := &bucket{programs: make(map[string]*usage, len(used))}
	for program, tokens := range used {
		kept.programs[program] = &usage{used: tokens, lastRequest: time.Now()}
	}
	return kept
}

// usedTokens returns the tokens used by each program. A negative value means that
// more tokens were deposited than used.
func (k *bucket) usedTokens() map[string]int64 {
	used := make(map[string]int64, len(k.programs))
	for program, u := range k.programs {
		if u.used != 0 {
			used[program] = u.used
		}
	}
	return used
}

// usage is what a program has used of the data centre's quota.
type usage struct {
	used        int64 // tokens granted and not settled, or generated; less the deposited tokens
	lastRequest time.Time
}

// openGrant is a grant that is not settled.
type openGrant struct {
	program   string
	bucket    int
	tokens    int64
	grantedAt time.Time
}

// bucketOf returns the bucket of a program.
func bucketOf(program string) int { return int(xxhash.Sum64String(program) % bucketsPerDC) }

func keeperRowName(dc string, bucket int) string { return dc + "." + strconv.Itoa(bucket) }

// Reserve obtains grants that cover a number of tokens from the keepers of the data
// centres, of this one first. If that many can't be had it keeps grants that cover least,
// or none. Errors wrap ErrSpent, if all quotas are spent, or ErrUnavailable.
func (q *Quotas) Reserve(ctx context.Context, req ReserveRequest, tokens, least int64) ([]Grant, error) {
	spent, reason := true, ErrUnavailable
	var grants []Grant
	var sum int64
	var errs []error
	req.Least = 1
	for _, dc := range q.dcsLocalFirst() {
		req.Step = tokens - sum
		g, err := q.requestGrantIn(ctx, dc, req, false)
		if err != nil {
			spent = spent && errors.Is(err, ErrSpent)
			if errors.Is(err, errWithheld) {
				reason = errWithheld
			}
			errs = append(errs, fmt.Errorf("%s: %v", dc, err)) // not wrapped: one spent quota isn't the budget
			continue
		}
		grants = append(grants, g)
		if sum += g.Tokens; sum >= tokens {
			return grants, nil
		}
	}
	if sum >= least {
		return grants, nil
	}
	for _, g := range grants {
		q.Settle(g.Keeper, g.ID, 0)
	}
	if spent {
		return nil, ErrSpent
	}
	return nil, fmt.Errorf("%w: keepers: %w", reason, errors.Join(errs...))
}

// Loan is what Borrow has obtained.
type Loan struct {
	Tokens int64
	// Complete is true if the keepers of all data centres responded and none withholds its
	// quota, so that no quota has tokens left.
	Complete bool
}

// Borrow obtains all that is left of the data centres' quotas, one after the
// other and this one's first, until it has need tokens.
func (q *Quotas) Borrow(ctx context.Context, req ReserveRequest, need int64) Loan {
	loan := Loan{Complete: true}
	for _, dc := range q.dcsLocalFirst() {
		if loan.Tokens >= need {
			loan.Complete = false
			return loan
		}
		g, err := q.requestGrantIn(ctx, dc, req, true)
		switch {
		case err == nil:
			loan.Tokens += g.Tokens
		case errors.Is(err, errWithheld):
			loan.Complete = false
			q.mu.Lock()
			q.withheldSeen = time.Now()
			q.mu.Unlock()
		case !errors.Is(err, ErrSpent):
			loan.Complete = false
		}
	}
	return loan
}

// withheldMemory is how long quotas count as withheld after a keeper last said so.
const withheldMemory = 10 * time.Second

// withheld reports whether keepers have lately withheld quotas.
func (q *Quotas) withheld() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.withheldSeen.IsZero() && time.Since(q.withheldSeen) < withheldMemory
}

// Grant is tokens that a keeper has granted.
type Grant struct {
	Keeper mesh.Process
	ID     uint64 // 0 if the grant can't be settled
	Tokens int64
}

// requestGrantIn requests a grant from the keeper of a data centre: a step's
// tokens, or with all set whatever is left of the quota. For another data
// centre, which may be unreachable, all attempts share the timeout of one call.
func (q *Quotas) requestGrantIn(ctx context.Context, dc string, req ReserveRequest, all bool) (Grant, error) {
	if dc != q.DC {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.Peers.Timeouts.Keeper)
		defer cancel()
	}
	err := fmt.Errorf("%w: no keeper is known", ErrUnavailable)
	for _, keeper := range q.keeperCandidates(req.Program, dc) {
		var g Grant
		if keeper == q.ProcessID {
			g, err = q.grantTokens(req, all)
		} else {
			g, err = q.Peers.requestGrant(ctx, keeper, req, all)
		}
		if err == nil || errors.Is(err, ErrSpent) || errors.Is(err, errWithheld) {
			return g, err
		}
	}
	return Grant{}, err
}

// dcsLocalFirst returns all data centres, this one first.
func (q *Quotas) dcsLocalFirst() []string {
	list := make([]string, 1, len(q.DCs))
	list[0] = q.DC
	for _, dc := range q.DCs {
		if dc != q.DC {
			list = append(list, dc)
		}
	}
	return list
}

// grantTokens grants tokens of a quota that this VM keeps: a step's or, if fewer
// are left, at least req.Least. With all set it grants whatever is left, and the
// grant can't be settled. Errors wrap ErrSpent or ErrUnavailable.
func (q *Quotas) grantTokens(req ReserveRequest, all bool) (Grant, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := bucketOf(req.Program)
	kept := q.activeBucket(b)
	if kept == nil {
		return Grant{}, fmt.Errorf("%w: bucket not kept here", ErrUnavailable)
	}
	u := kept.usageOf(req.Program)
	if time.Now().Before(kept.grantsAfter) || !u.known() {
		// The previous keeper may have granted the whole quota.
		return Grant{}, errWithheld
	}
	left := quotaPerDC(req.Budget, req.Turn, len(q.DCs)) - u.used
	if all && left > 0 {
		u.used += left
		return Grant{Keeper: q.ProcessID, Tokens: left}, nil
	}
	if left < max(1, req.Least) {
		return Grant{}, ErrSpent
	}
	tokens := min(left, req.Step)
	u.used += tokens
	if q.openGrants == nil {
		q.openGrants = make(map[uint64]*openGrant)
	}
	q.lastID = nextID(q.lastID)
	q.openGrants[q.lastID] = &openGrant{req.Program, b, tokens, u.lastRequest}
	return Grant{q.ProcessID, q.lastID, tokens}, nil
}

// usageOf returns the usage of a program, and records that the program sends a
// request now. Before grantsAfter the program may have used the previous keeper's quota.
func (k *bucket) usageOf(program string) *usage {
	u := k.programs[program]
	if u == nil {
		u = &usage{}
		if time.Now().Before(k.grantsAfter) {
			u.used = unknownUsage
		}
		k.programs[program] = u
	}
	u.lastRequest = time.Now()
	return u
}

// settleGrant ends a grant made by this VM, of which generated tokens were
// used. A grant that is never settled counts as used.
func (q *Quotas) settleGrant(id uint64, generated int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.openGrants[id]
	if g == nil {
		return
	}
	delete(q.openGrants, id)
	if kept := q.buckets[g.bucket]; kept != nil && kept.programs[g.program] != nil {
		kept.programs[g.program].used -= g.tokens - generated
	}
}

// Settle ends a grant of a keeper, of which generated tokens were used.
func (q *Quotas) Settle(keeper mesh.Process, id uint64, generated int64) {
	if keeper == q.ProcessID {
		q.settleGrant(id, generated)
		return
	}
	q.Peers.settleGrant(keeper, id, generated)
}

// Sweep deletes the usage of programs that weren't heard of for usageRetention, and
// grants that were not settled within reservationTTL, whose tokens count as
// used.
func (q *Quotas) Sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, g := range q.openGrants {
		if now.Sub(g.grantedAt) > reservationTTL {
			delete(q.openGrants, id)
		}
	}
	for _, kept := range q.buckets {
		for program, u := range kept.programs {
			if now.Sub(u.lastRequest) > usageRetention {
				delete(kept.programs, program)
			}
		}
	}
}

// GrantResponse is a keeper's response to a GrantRequest.
type GrantResponse struct {
	ID, Tokens         int64
	Spent, Unavailable bool
	Withheld           bool   // Unavailable is set, too, and the quota counts as used for a while
	Reason             string // for the log
}

// GrantRequest is a request to a keeper for a grant.
type GrantRequest struct {
	Ask ReserveRequest
	All bool // whatever is left of the quota, without settling
	// Settled are settlements that may still be on their way to the keeper.
	Settled []SettleRequest
}

// Allow grants tokens to another VM.
func (s *service) Allow(req GrantRequest, out *GrantResponse) error {
	for _, settled := range req.Settled {
		s.quotas.settleGrant(settled.ID, settled.Generated)
	}
	g, err := s.quotas.grantTokens(req.Ask, req.All)
	out.ID, out.Tokens = int64(g.ID), g.Tokens
	out.Spent, out.Withheld = errors.Is(err, ErrSpent), errors.Is(err, errWithheld)
	out.Unavailable = err != nil && !out.Spent
	if err != nil {
		out.Reason = err.Error()
	}
	return nil
}

// SettleAllowance ends a grant to another VM.
func (s *service) SettleAllowance(req SettleRequest, _ *bool) error {
	s.quotas.settleGrant(req.ID, req.Generated)
	return nil
}

func (c *PeerClient) requestGrant(ctx context.Context, keeper mesh.Process, req ReserveRequest, all bool) (Grant, error) {
	var resp GrantResponse
	err := c.call(ctx, keeper, serviceName+".Allow", c.Timeouts.Keeper, GrantRequest{req, all, c.settlingAt(keeper)}, &resp)
	switch {
	case err != nil:
		return Grant{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case resp.Withheld:
		return Grant{}, errWithheld
	case resp.Spent:
		return Grant{}, ErrSpent
	case resp.Unavailable:
		return Grant{}, fmt.Errorf("%w: at %s: %s", ErrUnavailable, keeper, resp.Reason)
	}
	return Grant{keeper, uint64(resp.ID), resp.Tokens}, nil
}

func (c *PeerClient) settleGrant(keeper mesh.Process, id uint64, generated int64) {
	c.beginSettling(keeper, id, generated)
	c.settleAsync(keeper, serviceName+".SettleAllowance", id, generated, func() { c.endSettling(keeper, id) })
}

func (c *PeerClient) beginSettling(keeper mesh.Process, id uint64, generated int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settling == nil {
		c.settling = make(map[mesh.Process]map[uint64]int64)
	}
	if c.settling[keeper] == nil {
		c.settling[keeper] = make(map[uint64]int64)
	}
	c.settling[keeper][id] = generated
}

func (c *PeerClient) endSettling(keeper mesh.Process, id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.settling[keeper], id)
	if len(c.settling[keeper]) == 0 {
		delete(c.settling, keeper)
	}
}

// settlingAt returns the settlements that are on their way to a keeper.
func (c *PeerClient) settlingAt(keeper mesh.Process) []SettleRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []SettleRequest
	for id, generated := range c.settling[keeper] {
		list = append(list, SettleRequest{id, generated})
	}
	return list
}
