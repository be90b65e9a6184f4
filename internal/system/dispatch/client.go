package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/mesh"
)

const (
	// replyTimeout is how long the client waits for a reply before it suspects
	// the scheduling VM of being dead or frozen. It is far above a round trip
	// within a region.
	replyTimeout = 120 * time.Millisecond
	// notReadyRetryAfter is the retry-after sent to callers while no reachable VM
	// has loaded the list of endpoints. A process that has just started loads it
	// within that time.
	notReadyRetryAfter = 200 * time.Millisecond
	// maxRemoteAttempts is the number of remote schedulers tried before this
	// VM's own scheduler decides. Schedulers that are not ready reply at once and
	// don't count, up to maxNotReady.
	maxRemoteAttempts = 2
	maxNotReady       = 4
	// notReadyBackoff is how long a scheduler that was not ready is not asked again.
	notReadyBackoff = 500 * time.Millisecond
)

// RefusedError reports that a request was refused a slot. The request has not run.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	QueueWait  time.Duration
	// Workspace is that of the request, and ShareUse how much of its share it uses; empty
	// where requests need no key.
	Workspace string
	ShareUse  float64
}

// Error implements error.
func (e *RefusedError) Error() string {
	text := fmt.Sprintf("no slot assigned: %s; retry after %v", e.Reason, e.RetryAfter)
	if e.Workspace != "" {
		text += fmt.Sprintf("; workspace %s uses %.2f of its share", e.Workspace, e.ShareUse)
	}
	return text
}

// Quarantined reports whether the request was refused because endpoints ended while they
// ran it.
func (e *RefusedError) Quarantined() bool { return e.Reason == reasonQuarantined }

// SchedulerList returns the mesh addresses of the VMs that may schedule a
// service in order of preference; "" is this VM.
type SchedulerList func(service string) []string

// Client acquires slots from the VM that schedules a service. It is safe for
// concurrent use.
type Client struct {
	Mesh       *mesh.Client
	Suspects   *mesh.Suspects
	Local      *Scheduler
	Schedulers SchedulerList
	// SchedulersByDC returns the addresses of the first VMs that schedule a service in each
	// data centre, in order of preference, without this VM.
	SchedulersByDC func(service string) [][]string

	limits     knownLimits
	quarantine quarantineSync

	mu              sync.Mutex
	pendingReleases map[string][]SlotRelease // guarded by mu, by scheduler address
	flushing        map[string]bool          // guarded by mu; whether flushReleases runs, by scheduler address
	notReadyUntil   map[string]time.Time     // guarded by mu; end of notReadyBackoff, by scheduler address
}

// Slot is the right to run one request at an endpoint. It must be released
// exactly once.
type Slot struct {
	Endpoint, Address string // id and address of the endpoint
	DC                string // of the endpoint
	EntryVersion      uint64 // version of the endpoint's entry at the scheduler
	QueueWait         time.Duration
	Scheduler         string // address of the VM that assigned the slot; "" for this VM
	service           string
	Process           string     // identifies the endpoint's process
	SoftwareVersion   string     // of the endpoint; empty if unknown
	limit             LimitState // of the endpoint, as far as the scheduler knows
	ticket            uint64
	client            *Client
	// AskedAt is when the scheduler was last asked before it assigned the slot, on
	// clock.System. The assignment may rest on what was known then.
	AskedAt time.Duration
	// fingerprint and pathFingerprint are those of the request.
	fingerprint, pathFingerprint uint64
}

// Acquire acquires a slot, waiting until one is assigned or the request is
// refused. It tries remote schedulers in order of preference, and then this VM's
// own. Its error is a *RefusedError or the error of ctx.
func (c *Client) Acquire(ctx context.Context, req SlotRequest) (*Slot, error) {
	if left := c.Local.Quarantined(req.Fingerprint, req.PathFingerprint); req.Fingerprint != 0 && left > 0 {
		return nil, &RefusedError{Reason: reasonQuarantined, RetryAfter: left}
	}
	start := time.Now()
	attempts, notReady := 0, 0
	for _, addr := range c.Schedulers(req.Service) {
		if addr == "" || attempts >= maxRemoteAttempts || notReady >= maxNotReady {
			break
		}
		if c.Suspects.Suspected(addr) || c.backsOff(addr, time.Now()) {
			continue
		}
		slot, err := c.acquireFrom(ctx, addr, req)
		var refused *RefusedError
		switch {
		case errors.Is(err, errNotReady):
			notReady++
			c.backOff(addr, time.Now())
		case errors.As(err, &refused) && refused.Reason == reasonNoEndpoint && !c.Local.Suspects(req.Fingerprint, req.PathFingerprint):
			attempts = maxRemoteAttempts // this VM may know endpoints that the scheduler has not read yet
		case err == nil || refused != nil || ctx.Err() != nil:
			return slot, err
		default:
			attempts++
			c.Suspects.Suspect(addr, err)
		}
		elapsed := time.Since(start)
		start = time.Now()
		req.Deadline -= elapsed
		req.Finish -= elapsed
		req.LateFinish -= elapsed
	}
	req.ListCurrent = false // no other scheduler is left
	slot, err := c.acquireFrom(ctx, "", req)
	if errors.Is(err, errNotReady) {
		return nil, &RefusedError{Reason: err.Error(), RetryAfter: notReadyRetryAfter}
	}
	return slot, err
}

// backsOff reports whether a scheduler was not ready less than notReadyBackoff ago.
func (c *Client) backsOff(addr string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.notReadyUntil[addr]
	if ok && !now.Before(until) {
		delete(c.notReadyUntil, addr)
	}
	return ok && now.Before(until)
}

func (c *Client) backOff(addr string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.notReadyUntil == nil {
		c.notReadyUntil = make(map[string]time.Time)
	}
	c.notReadyUntil[addr] = now.Add(notReadyBackoff)
}

// errNotReady means that a scheduler has not loaded the list of endpoints yet, or
// that its list may be outdated.
var errNotReady = errors.New("list of endpoints not loaded yet")

// acquireFrom acquires a slot from one scheduler.
func (c *Client) acquireFrom(ctx context.Context, addr string, req SlotRequest) (*Slot, error) {
	var resp SlotResponse
	req.Limits = c.limits.toSend(req.Service, addr, time.Now())
	var toldUpTo uint64
	if addr != "" {
		var news QuarantineExchange
		news, toldUpTo = c.quarantine.newsFor(addr, c.Local)
		req.Quarantine, req.QuarantineSeen = news.Records, news.Seen
	}
	asked := clock.System{}.Now()
	if err := c.callScheduler(ctx, addr, "Ask", req, &resp); err != nil {
		return nil, err
	}
	if resp.State != NotReady {
		c.limits.recordScheduler(req.Service, addr, resp.Instance)
		if addr != "" {
			c.quarantine.recordAnswer(addr, resp.quarantineReply(), toldUpTo, c.Local)
		}
	}
	for resp.State == Queued {
		asked = clock.System{}.Now()
		err := c.callScheduler(ctx, addr, "Await", resp.Ticket, &resp)
		if err != nil {
			c.queueRelease(addr, SlotRelease{Ticket: resp.Ticket, Result: Canceled})
			return nil, err
		}
	}
	if resp.State == NotReady {
		return nil, errNotReady
	}
	if resp.State == Refused {
		return nil, &RefusedError{
			Reason: resp.Reason, RetryAfter: resp.RetryAfter, QueueWait: resp.Waited, Workspace: req.Workspace, ShareUse: resp.ShareUse,
		}
	}
	if resp.Limit.Changes > 0 {
		c.limits.set(req.Service, resp.Endpoint, resp.Limit.PerSecond, resp.Limit.Limited, time.Now())
	}
	return &Slot{
		Endpoint: resp.Endpoint, Address: resp.Address, DC: resp.DC, EntryVersion: resp.EntryVersion, QueueWait: resp.Waited,
		Scheduler: addr, Process: resp.Process, SoftwareVersion: resp.SoftwareVersion, service: req.Service, limit: resp.Limit, ticket: resp.Ticket, client: c,
		AskedAt: asked, fingerprint: req.Fingerprint, pathFingerprint: req.PathFingerprint,
	}, nil
}

// callScheduler calls a scheduler: by RPC, or directly if it is this VM's own.
func (c *Client) callScheduler(ctx context.Context, addr, method string, args any, out *SlotResponse) error {
	if addr != "" {
		timeout := replyTimeout + c.Suspects.Lag.TimeoutExtension()
		if method == "Await" {
			timeout += longPollTimeout
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return c.Mesh.Call(ctx, addr, serviceName+"."+method, args, out)
	}
	switch v := args.(type) {
	case SlotRequest: // method Ask
		*out = c.Local.Submit(v)
	case uint64: // method Await; v is a ticket
		resp, err := c.Local.Await(ctx, v, longPollTimeout)
		if err != nil {
			return err
		}
		*out = resp
	}
	return nil
}

// ObserveLimit records the rate limit that the slot's endpoint named in a response, or
// with limited false that it named none, and tells the scheduler if that is news to it.
// It reports whether it is news to this VM.
func (s *Slot) ObserveLimit(perSecond float64, limited bool) bool {
	if limited != s.limit.Limited || limited && perSecond != s.limit.PerSecond {
		go s.client.reportLimit(s.Scheduler, LimitObservation{
			Service: s.service, Endpoint: s.Endpoint, Changes: s.limit.Changes, Limited: limited, PerSecond: perSecond,
		})
		s.limit.Limited, s.limit.PerSecond = limited, perSecond
		s.limit.Changes++
	}
	return s.client.limits.set(s.service, s.Endpoint, perSecond, limited, time.Now())
}

// reportLimit reports an observation to a scheduler. If the report is lost, the next
// response of the endpoint leads to another one.
func (c *Client) reportLimit(addr string, o LimitObservation) {
	if addr == "" {
		c.Local.ObserveLimit(o)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout+c.Suspects.Lag.TimeoutExtension())
	defer cancel()
	var ok bool
	if err := c.Mesh.Call(ctx, addr, serviceName+".ObserveLimit", o, &ok); err != nil {
		c.Suspects.Suspect(addr, err)
	}
}

// AllowResend reports whether the request may be sent to the slot's endpoint once more,
// as far as the endpoint's rate limit goes. Without an answer of the scheduler it may not.
func (s *Slot) AllowResend(ctx context.Context) bool {
	c := s.client
	switch {
	case !s.limit.Limited && !c.limits.has(s.Endpoint):
		return true
	case s.Scheduler == "":
		return c.Local.AllowResend(s.ticket)
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout+c.Suspects.Lag.TimeoutExtension())
	defer cancel()
	var allowed bool
	if err := c.Mesh.Call(ctx, s.Scheduler, serviceName+".AllowResend", s.ticket, &allowed); err != nil {
		c.Suspects.Suspect(s.Scheduler, err)
		return false
	}
	return allowed
}

// Release returns the slot to its scheduler and reports how it was used. The loss of an
// endpoint is reported before Release returns, so that the scheduler knows of it when it is
// asked for another slot for the request.
func (s *Slot) Release(r SlotRelease) {
	r.Ticket = s.ticket
	if r.Loss == NotLost || s.Scheduler == "" {
		s.client.queueRelease(s.Scheduler, r)
		return
	}
	if r.Loss == Ended && s.fingerprint != 0 {
		s.client.Local.RecordOwnEnd(s.Process, s.fingerprint, s.pathFingerprint, r.Run)
	}
	s.client.sendReleases(s.Scheduler, []SlotRelease{r})
}

// queueRelease sends a release in the background. Releases to one scheduler that
// are queued while an RPC to it is in flight are sent in one batch.
func (c *Client) queueRelease(addr string, r SlotRelease) {
	if addr == "" {
		c.Local.Release(r)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingReleases == nil {
		c.pendingReleases = make(map[string][]SlotRelease)
		c.flushing = make(map[string]bool)
	}
	c.pendingReleases[addr] = append(c.pendingReleases[addr], r)
	if !c.flushing[addr] {
		c.flushing[addr] = true
		go c.flushReleases(addr)
	}
}

// flushReleases sends the pending releases to a scheduler until none are left.
// Releases that can't be sent are dropped.
func (c *Client) flushReleases(addr string) {
	for {
		c.mu.Lock()
		list := c.pendingReleases[addr]
		delete(c.pendingReleases, addr)
		if len(list) == 0 {
			c.flushing[addr] = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.sendReleases(addr, list)
	}
}

// sendReleases sends releases to a scheduler.
func (c *Client) sendReleases(addr string, list []SlotRelease) {
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout+c.Suspects.Lag.TimeoutExtension())
	defer cancel()
	var ok bool
	if err := c.Mesh.Call(ctx, addr, serviceName+".Release", list, &ok); err != nil {
		// The scheduler frees these slots when their deadlines have passed.
		c.Suspects.Suspect(addr, err)
	}
}
