package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/mesh"
)

// Times of a client.
const (
	// answerLimit is the wait for an answer after which the scheduling VM is
	// taken for dead or frozen; far above a round trip within a region.
	answerLimit = 120 * time.Millisecond
	// notReadyRetry is what callers are told while no VM in reach knows the
	// endpoints: a process that has just started reads them within that time.
	notReadyRetry = 200 * time.Millisecond
	// maxRemote is the number of VMs that are asked before this VM decides
	// by itself.
	maxRemote = 2
)

// RefusedError says that a request got no place. It has not run.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	QueueWait  time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no place: %s, retry after %v", e.Reason, e.RetryAfter)
}

// SchedulerList lists the VMs that may schedule a service, the preferred one first,
// as addresses for the mesh; "" is this VM.
type SchedulerList func(service string) []string

// Client gets places from the VM that schedules a service. It is safe for
// concurrent use.
type Client struct {
	Mesh       *mesh.Client
	Suspects   *mesh.Suspects
	Local      *Scheduler
	Schedulers SchedulerList

	mu       sync.Mutex
	pending  map[string][]SlotRelease // guarded by mu, by address
	flushing map[string]bool          // guarded by mu
}

// Slot is a place at an endpoint. It must be given back once.
type Slot struct {
	Endpoint, Address string
	DC                string // of the endpoint
	QueueWait         time.Duration
	Scheduler         string // address of the VM that gave it; "" for this VM
	ticket            uint64
	client            *Client
}

// Acquire gets a place, waiting for one if need be. Its errors are a
// *RefusedError and that of ctx.
func (c *Client) Acquire(ctx context.Context, ask SlotRequest) (*Slot, error) {
	start := time.Now()
	remote := 0
	for _, addr := range c.Schedulers(ask.Service) {
		if addr == "" || remote >= maxRemote {
			break
		}
		if c.Suspects.Suspected(addr) {
			continue
		}
		remote++
		place, err := c.acquireFrom(ctx, addr, ask)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) || ctx.Err() != nil {
			return place, err
		}
		if !errors.Is(err, errNotReady) {
			c.Suspects.Suspect(addr, err)
		}
		spent := time.Since(start)
		start = time.Now()
		ask.Deadline -= spent
		ask.Finish -= spent
		ask.LateFinish -= spent
	}
	place, err := c.acquireFrom(ctx, "", ask)
	if errors.Is(err, errNotReady) {
		return nil, &RefusedError{Reason: err.Error(), RetryAfter: notReadyRetry}
	}
	return place, err
}

// errNotReady means that a VM doesn't know the endpoints yet.
var errNotReady = errors.New("endpoints not known yet")

// acquireFrom gets a place from one VM.
func (c *Client) acquireFrom(ctx context.Context, addr string, ask SlotRequest) (*Slot, error) {
	var a SlotResponse
	if err := c.call(ctx, addr, "Ask", ask, &a); err != nil {
		return nil, err
	}
	for a.State == Queued {
		err := c.call(ctx, addr, "Await", a.Ticket, &a)
		if err != nil {
			c.release(addr, SlotRelease{Ticket: a.Ticket, Result: Canceled})
			return nil, err
		}
	}
	if a.State == NotReady {
		return nil, errNotReady
	}
	if a.State == Refused {
		return nil, &RefusedError{Reason: a.Reason, RetryAfter: a.RetryAfter, QueueWait: a.Waited}
	}
	return &Slot{
		Endpoint: a.Endpoint, Address: a.Address, DC: a.DC, QueueWait: a.Waited, Scheduler: addr, ticket: a.Ticket, client: c,
	}, nil
}

// call calls a scheduler, this VM's own without a connection.
func (c *Client) call(ctx context.Context, addr, method string, args any, out *SlotResponse) error {
	if addr != "" {
		limit := answerLimit + c.Suspects.Lag.Allow()
		if method == "Await" {
			limit += holdTime
		}
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return c.Mesh.Call(ctx, addr, serviceName+"."+method, args, out)
	}
	switch v := args.(type) {
	case SlotRequest:
		*out = c.Local.Submit(v)
	case uint64:
		answer, err := c.Local.Await(ctx, v, holdTime)
		if err != nil {
			return err
		}
		*out = answer
	}
	return nil
}

// Release gives the place back.
func (p *Slot) Release(r SlotRelease) {
	r.Ticket = p.ticket
	p.client.release(p.Scheduler, r)
}

// release sends a release without waiting for it. Releases to one VM that come
// while another is under way are sent together.
func (c *Client) release(addr string, r SlotRelease) {
	if addr == "" {
		c.Local.Release(r)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = make(map[string][]SlotRelease)
		c.flushing = make(map[string]bool)
	}
	c.pending[addr] = append(c.pending[addr], r)
	if !c.flushing[addr] {
		c.flushing[addr] = true
		go c.flush(addr)
	}
}

func (c *Client) flush(addr string) {
	for {
		c.mu.Lock()
		list := c.pending[addr]
		delete(c.pending, addr)
		if len(list) == 0 {
			c.flushing[addr] = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), answerLimit+c.Suspects.Lag.Allow())
		var ok bool
		err := c.Mesh.Call(ctx, addr, serviceName+".Release", list, &ok)
		cancel()
		if err != nil {
			// The places come free there when their deadlines have passed.
			c.Suspects.Suspect(addr, err)
		}
	}
}
