package platformsvc

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Service is the name of a service into which faults are injected.
type Service string

// The services.
const (
	Table   Service = "table"
	Objects Service = "objects"
	VMs     Service = "vms"
)

// Fault describes a fault of one service for the clients of one data centre, or
// of all data centres if DC is empty.
type Fault struct {
	Service Service `json:"service"`
	DC      string  `json:"dc,omitempty"`
	// Down rejects requests with status 503 without executing them.
	Down bool `json:"down,omitempty"`
	// DelayMS is the delay before a request is executed, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Late executes a request after the delay even if the client has
	// disconnected by then.
	Late bool `json:"late,omitempty"`
	// LoseAnswers is the number of writes, from now on, that are executed
	// without a response.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Hang accepts requests but neither executes them nor responds.
	Hang bool `json:"hang,omitempty"`
}

// Control is the request body of PUT /_control. It replaces all settings. A rate
// of zero means no limit.
type Control struct {
	Faults          []Fault `json:"faults,omitempty"`
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	// ListLagMS is the delay before a change of the VM list is visible, in
	// milliseconds.
	ListLagMS int64 `json:"list_lag_ms,omitempty"`
}

// Counters is the response body of GET /_control. The counts begin when the Server
// is created. Reads and Writes count the requests that weren't refused or hung,
// regardless of their number of rows. Refused counts the requests that a Down
// fault or a rate limit rejected.
type Counters struct {
	Reads        int64 `json:"reads"`
	Writes       int64 `json:"writes"`
	Transactions int64 `json:"transactions"`
	RowsWritten  int64 `json:"rows_written"`
	Refused      int64 `json:"refused"`
}

// faultDecision is the combined effect of the faults and rate limits on one request.
type faultDecision struct {
	down, rateLimited, hang, loseResponse, late bool
	delay                                       time.Duration
}

// faults decides how each request is treated, and counts requests.
type faults struct {
	mu       sync.Mutex
	control  Control
	reads    *rate.Limiter
	writes   *rate.Limiter
	counters Counters
}

func newFaults() *faults {
	f := &faults{}
	f.reads = newLimiter(0)
	f.writes = newLimiter(0)
	return f
}

// newLimiter returns a rate limiter whose burst is a tenth of a second's requests,
// but at least 1. It doesn't limit if perSecond is 0.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// validate returns an error if a fault names an unknown service.
func (c *Control) validate() error {
	for _, f := range c.Faults {
		if f.Service != Table && f.Service != Objects && f.Service != VMs {
			return fmt.Errorf("%w: service must be table, objects or vms", ErrInvalid)
		}
	}
	return nil
}

func (f *faults) set(c Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Faults = slices.Clone(c.Faults)
	f.control = c
	f.reads = newLimiter(c.ReadsPerSecond)
	f.writes = newLimiter(c.WritesPerSecond)
}

// decide returns the decision for a request from a data centre to a service. It
// counts the request, also towards the rate limit and LoseAnswers.
func (f *faults) decide(service Service, dc string, write bool) faultDecision {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := faultDecision{}
	for i := range f.control.Faults {
		fault := &f.control.Faults[i]
		if fault.Service != service || fault.DC != "" && fault.DC != dc {
			continue
		}
		d.down = d.down || fault.Down
		d.hang = d.hang || fault.Hang
		d.late = d.late || fault.Late
		d.delay += time.Duration(fault.DelayMS) * time.Millisecond
		if write && fault.LoseAnswers > 0 && !d.down && !d.hang {
			fault.LoseAnswers--
			d.loseResponse = true
		}
	}
	if !d.down && !d.hang {
		d.rateLimited = !f.allow(write)
	}
	f.count(d, write)
	return d
}

func (f *faults) allow(write bool) bool {
	if write {
		return f.writes.Allow()
	}
	return f.reads.Allow()
}

func (f *faults) count(d faultDecision, write bool) {
	switch {
	case d.down || d.rateLimited:
		f.counters.Refused++
	case d.hang:
	case write:
		f.counters.Writes++
	default:
		f.counters.Reads++
	}
}

// countTransaction counts a committed transaction and its rows.
func (f *faults) countTransaction(rows int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counters.Transactions++
	f.counters.RowsWritten += int64(rows)
}

func (f *faults) snapshot() Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counters
}
