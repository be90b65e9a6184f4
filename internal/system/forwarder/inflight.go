package forwarder

import (
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
)

// maxLoggedRequests is the number of requests in flight that LogInFlight logs one by one.
const maxLoggedRequests = 50

// inFlight holds the exchanges that have not ended.
type inFlight struct {
	mu        sync.Mutex
	exchanges map[*exchange]struct{} // guarded by mu
}

func (l *inFlight) add(x *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.exchanges == nil {
		l.exchanges = make(map[*exchange]struct{})
	}
	l.exchanges[x] = struct{}{}
}

func (l *inFlight) remove(x *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.exchanges, x)
}

// InFlight returns the number of requests in flight.
func (f *Forwarder) InFlight() int {
	f.inFlight.mu.Lock()
	defer f.inFlight.mu.Unlock()
	return len(f.inFlight.exchanges)
}

// LogInFlight logs each request in flight, since the VM ends without its response.
func (f *Forwarder) LogInFlight() {
	f.inFlight.mu.Lock()
	defer f.inFlight.mu.Unlock()
	logged := 0
	for x := range f.inFlight.exchanges {
		if logged++; logged > maxLoggedRequests {
			return
		}
		f.Log.Warn("request in flight at the end of the grace period", tag.Request(x.request.ID),
			tag.Age(time.Since(x.request.Arrived)), tag.DeadlineIn(time.Until(x.request.Deadline)))
	}
}
