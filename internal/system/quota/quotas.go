package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/metric"
	"ibisstall.example/ibisstall/internal/policy/quota"
)

const (
	// keeperTimeout bounds a call to a keeper, which responds without waiting.
	keeperTimeout = 150 * time.Millisecond
	// dcTimeout bounds all calls to the processes that may keep a share in this data centre,
	// and again all calls to those of the other data centres together.
	dcTimeout = 2 * keeperTimeout
	// maxCandidates is the number of processes that are tried as the keeper of a share.
	maxCandidates = 3
	// maxRequests bounds the requests of one question.
	maxRequests = 256
	// maxPause bounds the time for which the share of this data centre is not asked for after
	// its keeper had nothing left, and is that after none was found; maxOtherPause is for the
	// other data centres, of which there may be many.
	maxPause      = 100 * time.Millisecond
	maxOtherPause = 300 * time.Millisecond
	// maxQuestions is how often a request is asked for if the tokens came too late.
	maxQuestions = 2
	// idleTime is how long the account of a workspace that sends nothing is kept.
	idleTime = 30 * time.Second
	// maxWorkspaces bounds the label values of metrics.
	maxWorkspaces = 64
)

// errNotKept means that no process that answered keeps the share.
var errNotKept = errors.New("no keeper found")

// errLate means that the tokens were void when they arrived.
var errLate = errors.New("answer came too late")

// Caller calls methods of other processes. tokenbudget.PeerClient implements it.
type Caller interface {
	Call(ctx context.Context, process mesh.Process, method string, timeout time.Duration, args, reply any) error
}

// Quotas takes requests from the quotas of workspaces. It is safe for concurrent use.
type Quotas struct {
	DC      string
	DCs     []string     // all data centres
	Process mesh.Process // id of this process
	Keeper  *Keeper      // of the shares that this process keeps
	Peers   Caller
	Metrics *Metrics

	mu       sync.Mutex
	accounts map[string]*account // guarded by mu; by workspace
}

// Metrics counts what is taken from the quotas of workspaces.
type Metrics struct {
	granted, exceeded, unavailable *metric.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r *metric.Registry) *Metrics {
	return &Metrics{
		granted:     r.CounterVec("ibisstall_quota_granted_total", "workspace", maxWorkspaces),
		exceeded:    r.CounterVec("ibisstall_quota_exceeded_total", "workspace", maxWorkspaces),
		unavailable: r.CounterVec("ibisstall_quota_unavailable_total", "workspace", maxWorkspaces),
	}
}

// Acquire takes a request from a workspace's quota. The error is an *ExceededError if all
// shares are used up, or wraps ErrUnavailable.
func (q *Quotas) Acquire(ctx context.Context, limit forward.Quota, req Request) error {
	if !limit.Limited() {
		return nil
	}
	w := q.enqueue(limit, req, ctx.Done())
	if w == nil {
		return nil
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// enqueue takes a token that this VM has, and returns nil, or makes the request wait.
func (q *Quotas) enqueue(limit forward.Quota, req Request, gone <-chan struct{}) *waiter {
	now := q.Keeper.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[req.Workspace]
	if a == nil {
		a = &account{name: req.Workspace, pauses: make(map[string]pause)}
		if q.accounts == nil {
			q.accounts = make(map[string]*account)
		}
		q.accounts[req.Workspace] = a
	}
	a.lastUsedAt = now
	a.version, a.limit = q.versionOf(limit, req.Workspace), limitOf(limit)
	a.purse.Observe(now)
	var w *waiter
	if !req.First && len(a.waiting) == 0 && a.purse.Take(now) {
		q.recordGrant(a)
	} else {
		w = &waiter{req: req, result: make(chan error, 1), gone: gone}
		a.waiting = append(a.waiting, w)
	}
	if !a.asking && (w != nil || a.spare(now) > 0) {
		a.asking = true
		go q.ask(a)
	}
	return w
}

// versionOf returns the version of the configuration that a workspace's limit is from; 0 if
// it is not the one in force any more.
func (q *Quotas) versionOf(limit forward.Quota, workspace string) int64 {
	if cfg := q.Keeper.Config(); cfg != nil {
		if w := cfg.Workspaces[workspace]; w != nil && w.Quota == limit {
			return cfg.Version
		}
	}
	return 0
}

func (q *Quotas) recordGrant(a *account) {
	a.usage.Requests++
	q.Metrics.granted.With(a.name).Inc()
}

// ask asks for what waits and for tokens ahead until neither is left.
func (q *Quotas) ask(a *account) {
	for {
		q.mu.Lock()
		now := q.Keeper.Clock.Now()
		waiting, spare := q.nextWaiting(a, now), a.spare(now)
		a.asking = len(waiting) > 0 || spare > 0
		if spare > 0 {
			a.noSpare = now + maxPause // unless some are granted
		}
		q.mu.Unlock()
		if len(waiting) == 0 && spare == 0 {
			return
		}
		q.askAll(a, waiting, spare)
	}
}

// nextWaiting returns the requests of the next question, without those that this VM has a
// token for and those that nobody waits for; mu is held.
func (q *Quotas) nextWaiting(a *account, now time.Duration) (next []*waiter) {
	for len(a.waiting) > 0 && len(next) < maxRequests {
		w := a.waiting[0]
		a.waiting = a.waiting[1:]
		select {
		case <-w.gone:
			continue
		default:
		}
		if !w.req.First && a.purse.Take(now) {
			q.recordGrant(a)
			w.result <- nil
			continue
		}
		next = append(next, w)
	}
	return next
}

// askAll asks the keepers of the shares, that of this data centre first, until all requests
// are granted, and refuses the others.
func (q *Quotas) askAll(a *account, waiting []*waiter, spare int) {
	for _, w := range waiting {
		w.questions++
		w.verdict = verdict{}
	}
	waiting = q.askDC(context.Background(), a, q.DC, waiting, spare)
	if len(waiting) > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), dcTimeout)
		defer cancel()
		for _, dc := range q.DCs {
			if dc != q.DC && len(waiting) > 0 {
				waiting = q.askDC(ctx, a, dc, waiting, 0)
			}
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range waiting {
		q.refuse(a, w)
	}
}

// refuse ends a request that no keeper has granted; mu is held.
func (q *Quotas) refuse(a *account, w *waiter) {
	v := &w.verdict
	switch {
	case len(v.unavailable) == 0:
		q.Metrics.exceeded.With(a.name).Inc()
		w.result <- &ExceededError{RetryAfter: v.wait, Workspace: a.name, Limit: a.limit, Begins: v.begins, Left: v.left}
	case errors.Is(v.unavailable[0], errLate) && w.questions < maxQuestions:
		a.waiting = append(a.waiting, w)
	default:
		q.Metrics.unavailable.With(a.name).Inc()
		w.result <- fmt.Errorf("%w: workspace %q: %w", ErrUnavailable, a.name, errors.Join(v.unavailable...))
	}
}

// askDC asks the keeper of a data centre's share and returns the requests that it has not
// granted.
func (q *Quotas) askDC(ctx context.Context, a *account, dc string, waiting []*waiter, spare int) []*waiter {
	q.mu.Lock()
	askedAt := q.Keeper.Clock.Now()
	waiting, refused := q.skip(a, dc, waiting, askedAt)
	if len(waiting) == 0 && (spare == 0 || askedAt < a.pauses[dc].until) {
		q.mu.Unlock()
		return refused
	}
	req, firsts := a.question(waiting, spare, dc == q.DC)
	q.mu.Unlock()
	answer, err := q.callKeeper(ctx, dc, req)
	now := q.Keeper.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if err == nil && now > askedAt+quota.Validity {
		err = errLate
	} else if err != nil {
		a.pauses[dc] = pause{until: now + maxPause, err: err}
	}
	if err != nil {
		for _, w := range waiting {
			w.verdict.add(dc, err, 0, false, 0)
		}
		return append(refused, waiting...)
	}
	if dc == q.DC {
		a.usage = a.usage.Less(req.Ask.Usage)
	}
	a.purse.Add(answer.Spare, askedAt)
	if answer.Spare > 0 {
		a.noSpare = 0
	}
	return append(refused, q.deliver(a, dc, waiting, firsts, answer, now)...)
}

// skip returns the requests that a data centre's keeper is to be asked for, and those that are
// refused without asking it, since it lately had nothing for such; mu is held. Whether a
// request begins a program is known from the keeper of this data centre.
func (q *Quotas) skip(a *account, dc string, waiting []*waiter, now time.Duration) (asked, refused []*waiter) {
	p := a.pauses[dc]
	for _, w := range waiting {
		switch {
		case now < p.until:
			w.verdict.add(dc, p.err, max(p.free, p.until)-now, false, 0)
			p.free += a.limit.Interval()
			if p.err == nil && dc == q.DC {
				a.usage.Refused++
			}
		case now < p.newUntil && w.verdict.begins:
			w.verdict.add(dc, nil, p.newFree-now, true, 0)
			p.newFree += a.limit.Interval()
		default:
			asked = append(asked, w)
			continue
		}
		refused = append(refused, w)
	}
	a.pauses[dc] = p
	return asked, refused
}

// deliver passes on what a keeper has granted, and returns the requests that it has not; mu
// is held.
func (q *Quotas) deliver(a *account, dc string, waiting, firsts []*waiter, answer quota.Answer, now time.Duration) (left []*waiter) {
	granted, begins := make(map[*waiter]bool, len(firsts)), make(map[*waiter]bool, len(firsts))
	for i, w := range firsts {
		if i < len(answer.Granted) && i < len(answer.New) {
			granted[w], begins[w] = answer.Granted[i], answer.New[i]
		}
	}
	others := answer.Others
	for _, w := range waiting {
		ok := granted[w]
		if !w.req.First {
			ok = others > 0
			others--
		}
		if ok {
			q.recordGrant(a)
			if begins[w] {
				a.usage.Begun++
			}
			w.result <- nil
			continue
		}
		wait := answer.WaitMore
		if begins[w] {
			wait = answer.WaitNew
		}
		w.verdict.add(dc, nil, wait, begins[w], answer.Left)
		left = append(left, w)
	}
	longest := maxOtherPause
	if dc == q.DC {
		longest = maxPause
	}
	p := a.pauses[dc]
	if answer.WaitMore > 0 {
		p.until, p.free, p.err = now+min(answer.WaitMore, longest), now+answer.WaitMore, nil
	}
	if answer.WaitNew > 0 {
		p.newUntil, p.newFree = now+min(answer.WaitNew, longest), now+answer.WaitNew
	}
	a.pauses[dc] = p
	return left
}

// callKeeper asks the recorded keeper of a data centre's share, and if that doesn't answer or
// keeps it no more the others that may keep it, one after the other.
func (q *Quotas) callKeeper(ctx context.Context, dc string, req GrantRequest) (quota.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, dcTimeout)
	defer cancel()
	err := errNotKept
	recorded := q.Keeper.Ownership.Recorded(req.Workspace, dc)
	if recorded != "" {
		var answer quota.Answer
		if answer, err = q.callProcess(ctx, recorded, req); err == nil {
			return answer, nil
		}
	}
	for i, process := range q.Keeper.Ownership.Candidates(req.Workspace, dc) {
		if i >= maxCandidates || ctx.Err() != nil {
			break
		}
		if process == recorded {
			continue
		}
		answer, callErr := q.callProcess(ctx, process, req)
		if callErr == nil {
			return answer, nil
		}
		if recorded == "" {
			err = callErr
		}
	}
	return quota.Answer{}, err
}

// callProcess asks a process that may keep a share. The error wraps errNotKept.
func (q *Quotas) callProcess(ctx context.Context, process mesh.Process, req GrantRequest) (quota.Answer, error) {
	var resp GrantResponse
	if process == q.Process {
		resp = q.Keeper.grant(req)
	} else if err := q.Peers.Call(ctx, process, methodGrant, keeperTimeout, req, &resp); err != nil {
		return quota.Answer{}, fmt.Errorf("%w: %s: %w", errNotKept, process, err)
	}
	if !resp.Kept {
		return quota.Answer{}, fmt.Errorf("%w: %s keeps the share no more or not yet", errNotKept, process)
	}
	return resp.Answer, nil
}

// Sweep drops what is known of workspaces that send nothing. It is called periodically.
func (q *Quotas) Sweep() {
	q.Keeper.Sweep()
	now := q.Keeper.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, a := range q.accounts {
		if !a.asking && len(a.waiting) == 0 && now-a.lastUsedAt > idleTime {
			delete(q.accounts, name)
		}
	}
}
