package dispatch

import (
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
)

// recordLoss records that a request lost its endpoint, and reports whether the endpoint is
// thereby known to have ended. Silence counts only if connectTimeoutVMs notice it: a single
// VM may be cut off.
func (e *endpoint) recordLoss(r *request, loss EndpointLoss, now time.Duration) bool {
	known := e.ended
	switch loss {
	case Ended:
		e.ended = true
	case Silent:
		e.ended = e.ended || e.recordConnectTimeout(r.args.VM, now)
	}
	return e.ended && !known
}

// maxLoggedRequests bounds the requests that a log line names.
const maxLoggedRequests = 32

// observeEnd logs the end of an endpoint and the requests that had a slot there.
func (s *Scheduler) observeEnd(e *endpoint) {
	var ids []string
	for _, r := range s.requests {
		if r.endpoint == e && len(ids) < maxLoggedRequests {
			ids = append(ids, r.args.Request)
		}
	}
	if s.Log != nil {
		s.Log.Info("endpoint ended", tag.Endpoint(e.ID), tag.Requests(ids))
	}
}
