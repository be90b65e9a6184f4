package platformsvc

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Service names one of the services that can be told to fail.
type Service string

// The services.
const (
	Table   Service = "table"
	Objects Service = "objects"
	VMs     Service = "vms"
)

// Fault is what goes wrong at one service for the clients of one data centre,
// or of all data centres if DC is empty.
type Fault struct {
	Service Service `json:"service"`
	DC      string  `json:"dc,omitempty"`
	// Down refuses requests with 503 before acting.
	Down bool `json:"down,omitempty"`
	// DelayMS is waited before acting, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Late acts after the delay although the client has gone by then.
	Late bool `json:"late,omitempty"`
	// LoseAnswers is how many writes take effect without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Hang takes requests and never answers, without acting.
	Hang bool `json:"hang,omitempty"`
}

// Control is the body of PUT /_control. It replaces all settings. A zero rate
// means no limit.
type Control struct {
	Faults          []Fault `json:"faults,omitempty"`
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	ListLagMS       int64   `json:"list_lag_ms,omitempty"`
}

// Counters is the body of GET /_control: what was acted on since the start. A
// read or write is one request, whatever the number of its rows.
type Counters struct {
	Reads        int64 `json:"reads"`
	Writes       int64 `json:"writes"`
	Transactions int64 `json:"transactions"`
	RowsWritten  int64 `json:"rows_written"`
	Refused      int64 `json:"refused"`
}

// verdict is what becomes of one request.
type verdict struct {
	down, limited, hang, loseAnswer, late bool
	delay                                 time.Duration
}

// faults decides what becomes of each request and counts them.
type faults struct {
	mu       sync.Mutex
	control  Control
	reads    *rate.Limiter
	writes   *rate.Limiter
	counters Counters
}

func newFaults() *faults {
	f := &faults{}
	f.reads = limiter(0)
	f.writes = limiter(0)
	return f
}

// limiter returns a limiter that admits bursts of a tenth of a second.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// validate reports a fault at an unknown service.
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
	f.reads = limiter(c.ReadsPerSecond)
	f.writes = limiter(c.WritesPerSecond)
}

// judge decides on a request of a data centre to a service.
func (f *faults) judge(service Service, dc string, write bool) verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := verdict{}
	for i := range f.control.Faults {
		fault := &f.control.Faults[i]
		if fault.Service != service || fault.DC != "" && fault.DC != dc {
			continue
		}
		v.down = v.down || fault.Down
		v.hang = v.hang || fault.Hang
		v.late = v.late || fault.Late
		v.delay += time.Duration(fault.DelayMS) * time.Millisecond
		if write && fault.LoseAnswers > 0 && !v.down && !v.hang {
			fault.LoseAnswers--
			v.loseAnswer = true
		}
	}
	if !v.down && !v.hang {
		v.limited = !f.allow(write)
	}
	f.count(v, write)
	return v
}

func (f *faults) allow(write bool) bool {
	if write {
		return f.writes.Allow()
	}
	return f.reads.Allow()
}

func (f *faults) count(v verdict, write bool) {
	switch {
	case v.down || v.limited:
		f.counters.Refused++
	case v.hang:
	case write:
		f.counters.Writes++
	default:
		f.counters.Reads++
	}
}

// countTransaction counts a transaction that took effect.
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
