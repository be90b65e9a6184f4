package runner

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
)

// FaultMode is a way to fail.
type FaultMode string

// The ways to fail. Those marked "ran" fail after the call has run.
const (
	FaultDown    FaultMode = "down"    // cuts the connection, nothing runs
	FaultSlow    FaultMode = "slow"    // waits DelayMS, then goes on as usual
	FaultHang    FaultMode = "hang"    // never answers, nothing runs
	FaultStatus  FaultMode = "status"  // answers Status, nothing runs
	FaultLost    FaultMode = "lost"    // ran; cuts the connection instead of answering
	FaultSilent  FaultMode = "silent"  // ran; never answers
	FaultCut     FaultMode = "cut"     // ran; cuts the answer in the middle
	FaultStall   FaultMode = "stall"   // ran; goes silent in the middle of the answer
	FaultCrossed FaultMode = "crossed" // ran; answers with another request's id and body
	FaultLength  FaultMode = "length"  // ran; declares more bytes than it sends
	FaultShort   FaultMode = "short"   // ran; declares fewer bytes than the answer has
)

// Fault tells a stand-in to fail.
type Fault struct {
	Mode    FaultMode `json:"mode"`
	DelayMS int       `json:"delay_ms,omitempty"` // milliseconds
	Status  int       `json:"status,omitempty"`
	// NotRun makes a status fault say that the request did not run.
	NotRun bool `json:"not_run,omitempty"`
	// After is the number of stream events before a fault in a stream.
	After int `json:"after,omitempty"`
	// Count is the number of requests to fail; 0 fails all until cleared.
	Count int `json:"count,omitempty"`
	// Path is the prefix of the paths to fail; empty fails all paths.
	Path string `json:"path,omitempty"`
}

// faults is the set of faults in force.
type faults struct {
	mu     sync.Mutex
	active []Fault
	clear  chan struct{} // closed when the set is replaced
}

func (f *faults) set(list []Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append([]Fault(nil), list...)
	if f.clear != nil {
		close(f.clear)
	}
	f.clear = make(chan struct{})
}

// take returns the fault for a request and uses up one of its count.
func (f *faults) take(path string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.active {
		c := f.active[i]
		if !strings.HasPrefix(path, c.Path) {
			continue
		}
		if c.Count > 0 {
			f.active[i].Count--
			if f.active[i].Count == 0 {
				f.active = append(f.active[:i], f.active[i+1:]...)
			}
		}
		return c
	}
	return Fault{}
}

// cleared is closed when the set of faults is next replaced.
func (f *faults) cleared() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clear == nil {
		f.clear = make(chan struct{})
	}
	return f.clear
}

// before carries out the faults that come before the call runs. It reports
// whether the call goes on.
func (f *faults) before(w http.ResponseWriter, r *http.Request, c Fault) bool {
	switch c.Mode {
	case FaultDown:
		panic(http.ErrAbortHandler)
	case FaultHang:
		f.hang(r)
	case FaultSlow:
		sleep(r, time.Duration(c.DelayMS)*time.Millisecond)
	case FaultStatus:
		if c.NotRun {
			w.Header().Set(endpoint.HeaderNotRun, "true")
		}
		writeError(w, c.Status, "injected_fault", "fault control")
		return false
	}
	return true
}

// hang keeps the connection silent until the client leaves or the faults are
// replaced, then cuts it. The server notices that the client has left only
// once the request's body is read.
func (f *faults) hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-f.cleared():
	}
	panic(http.ErrAbortHandler)
}

func sleep(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}
