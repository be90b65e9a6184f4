package owner

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/timeline"
)

// inheritedFlightTimeout is how long an inherited flight waits for its request
// to be repeated before its tokens are counted as used.
const inheritedFlightTimeout = time.Minute

// maxResumeEngines bounds the engines that are asked for one stream.
const maxResumeEngines = 32

// resumeInherited resumes the stream that a former owner of the family had
// open for the same request, so that nothing is generated twice and the
// caller's stream continues where it was. It returns the answer and the call
// id of the stream, and whether a stream was resumed.
func (r *chatRun) resumeInherited(ctx context.Context) (endpoint.ChatResponse, string, bool) {
	flight, ok := r.family.takeInheritedFlight(r.call.key())
	if !ok {
		return endpoint.ChatResponse{}, "", false
	}
	r.family.mu.Lock()
	_, err := r.family.reserve(r.family.programs[r.family.root], r.call, 0, r.family.owner.options.Now())
	r.family.mu.Unlock()
	if err != nil {
		return endpoint.ChatResponse{}, "", false
	}
	for _, ep := range r.resumeCandidates() {
		answer, err := r.resume(ctx, ep, flight)
		if err == nil {
			return answer, flight.CallID, true
		}
		r.call.restart()
	}
	// The stream is lost and the number of tokens that it generated is unknown:
	// all that it may have generated count.
	r.family.deferSettlement(flight.CallID, flight.Tokens)
	return endpoint.ChatResponse{}, "", false
}

// resume reads a stream from its first token.
func (r *chatRun) resume(ctx context.Context, ep entity.Endpoint, flight entity.InFlightCall) (endpoint.ChatResponse, error) {
	resumed := false
	onChunk := func(chunk endpoint.Chunk) error {
		if !resumed {
			resumed = true
			r.call.setHint(Hint{Endpoint: ep.Name, CallID: flight.CallID})
			r.family.owner.record(timeline.Event{
				Kind:     timeline.StreamResumed,
				Program:  r.call.args.Program,
				Request:  r.call.args.RequestID,
				Endpoint: ep.Name,
			})
		}
		if len(chunk.Delta) > 0 {
			r.call.addDelta(chunk.Delta)
		}
		return nil
	}
	return r.family.owner.options.EngineClient(ep).Resume(ctx, r.request(flight.CallID, flight.Tokens), onChunk)
}

// resumeCandidates returns the engines that may have the stream, the one in
// the caller's hint first.
func (r *chatRun) resumeCandidates() []entity.Endpoint {
	var out []entity.Endpoint
	hint := r.call.args.Hint.Endpoint
	for _, ep := range r.family.owner.options.Endpoints() {
		switch {
		case ep.Kind != entity.KindEngine || !servesModel(ep, r.call.args.Target):
		case ep.Name == hint:
			out = append([]entity.Endpoint{ep}, out...)
		default:
			out = append(out, ep)
		}
	}
	return out[:min(len(out), maxResumeEngines)]
}

func servesModel(ep entity.Endpoint, model string) bool {
	for _, m := range ep.Models {
		if m == model {
			return true
		}
	}
	return false
}

// takeInheritedFlight removes and returns the inherited flight of a request.
func (f *family) takeInheritedFlight(key callKey) (entity.InFlightCall, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	flight, ok := f.inheritedFlights[key]
	delete(f.inheritedFlights, key)
	return flight, ok
}

// settleInheritedFlights counts inherited flights whose requests were not
// repeated within inheritedFlightTimeout as used in full, since their tokens
// may have been generated.
func (f *family) settleInheritedFlights(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.inheritedFlights) == 0 || now.Sub(f.loadedAt) < inheritedFlightTimeout {
		return
	}
	for key, flight := range f.inheritedFlights {
		f.pendingSettlements[flight.CallID] = flight.Tokens
		delete(f.inheritedFlights, key)
	}
}
