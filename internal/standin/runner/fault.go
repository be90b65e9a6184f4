package runner

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
)

// FaultMode is a kind of failure.
type FaultMode string

// The kinds of failure. Those marked "executed" fail after the call has been
// executed.
const (
	FaultDown    FaultMode = "down"    // closes the connection without executing the call
	FaultSlow    FaultMode = "slow"    // delays the call by DelayMS
	FaultHang    FaultMode = "hang"    // never responds and doesn't execute the call
	FaultStatus  FaultMode = "status"  // responds with Status without executing the call
	FaultLost    FaultMode = "lost"    // executed; closes the connection instead of responding
	FaultSilent  FaultMode = "silent"  // executed; never responds
	FaultCut     FaultMode = "cut"     // executed; closes the connection in the middle of the response
	FaultStall   FaultMode = "stall"   // executed; stops sending in the middle of the response
	FaultCrossed FaultMode = "crossed" // executed; responds with another request's id and body
	FaultLength  FaultMode = "length"  // executed; declares a longer response than it sends
	FaultShort   FaultMode = "short"   // executed; declares and sends a truncated response
)

// Fault describes a failure to inject.
type Fault struct {
	Mode    FaultMode `json:"mode"`
	DelayMS int       `json:"delay_ms,omitempty"` // milliseconds
	Status  int       `json:"status,omitempty"`
	// NotRun makes a status fault declare that the request was not executed.
	NotRun bool `json:"not_run,omitempty"`
	// After is the number of stream events sent before a fault in a stream.
	After int `json:"after,omitempty"`
	// Count is the number of requests to fail; 0 fails all until the faults are
	// replaced.
	Count int `json:"count,omitempty"`
	// Path is the prefix of the request paths to fail; empty fails all paths.
	Path string `json:"path,omitempty"`
}

// faults is the set of active faults.
type faults struct {
	mu       sync.Mutex
	active   []Fault
	replaced chan struct{} // closed when the set is replaced
}

func (f *faults) set(list []Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append([]Fault(nil), list...)
	if f.replaced != nil {
		close(f.replaced)
	}
	f.replaced = make(chan struct{})
}

// consume returns the fault that applies to a request path, if any, and
// decrements its count.
func (f *faults) consume(requestPath string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.active {
		fault := f.active[i]
		if !strings.HasPrefix(requestPath, fault.Path) {
			continue
		}
		if fault.Count > 0 {
			f.active[i].Count--
			if f.active[i].Count == 0 {
				f.active = append(f.active[:i], f.active[i+1:]...)
			}
		}
		return fault
	}
	return Fault{}
}

// nextReplacement returns a channel that is closed when the set of faults is next
// replaced.
func (f *faults) nextReplacement() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replaced == nil {
		f.replaced = make(chan struct{})
	}
	return f.replaced
}

// applyBeforeRun applies a fault that takes effect before the call is
// executed. It reports whether to execute the call.
func (f *faults) applyBeforeRun(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	switch fault.Mode {
	case FaultDown:
		panic(http.ErrAbortHandler)
	case FaultHang:
		f.hang(r)
	case FaultSlow:
		sleep(r, time.Duration(fault.DelayMS)*time.Millisecond)
	case FaultStatus:
		if fault.NotRun {
			w.Header().Set(endpoint.HeaderNotRun, "true")
		}
		writeError(w, fault.Status, "injected_fault", "fault control")
		return false
	}
	return true
}

// hang sends nothing until the client disconnects or the faults are replaced,
// then closes the connection. The request's body is read first, because the
// server detects a disconnected client only after that.
func (f *faults) hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-f.nextReplacement():
	}
	panic(http.ErrAbortHandler)
}

// sleep waits for a duration or until the client disconnects.
func sleep(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}
