package owner

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/timeline"
)

// orphanKeep is how long an adopted flight waits for its request to be
// repeated before its tokens are counted as used.
const orphanKeep = time.Minute

// maxAskedEngines bounds the engines that are asked for one stream.
const maxAskedEngines = 32

// takeOver resumes the stream that a former owner of the family had open for
// the same request, so that nothing is generated twice and the caller's stream
// goes on where it was.
func (r *chatRun) takeOver(ctx context.Context) (endpoint.ChatResponse, string, bool) {
	flight, ok := r.family.orphan(r.call.key())
	if !ok {
		return endpoint.ChatResponse{}, "", false
	}
	r.family.mu.Lock()
	_, err := r.family.grant(r.family.programs[r.family.root], r.call, 0, r.family.owner.o.Now())
	r.family.mu.Unlock()
	if err != nil {
		return endpoint.ChatResponse{}, "", false
	}
	for _, ep := range r.candidates() {
		answer, err := r.resume(ctx, ep, flight)
		if err == nil {
			return answer, flight.CallID, true
		}
		r.call.restart()
	}
	// The stream is gone; what it generated is not known.
	r.family.settleLater(flight.CallID, flight.Tokens)
	return endpoint.ChatResponse{}, "", false
}

// resume reads a stream from its first token.
func (r *chatRun) resume(ctx context.Context, ep entity.Endpoint, flight entity.Flight) (endpoint.ChatResponse, error) {
	resumed := false
	onChunk := func(chunk endpoint.Chunk) error {
		if !resumed {
			resumed = true
			r.call.placed(Hint{Endpoint: ep.Name, CallID: flight.CallID})
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
	return r.family.owner.o.EngineClient(ep).Resume(ctx, r.request(flight.CallID, flight.Tokens), onChunk)
}

// candidates returns the engines that may have the stream, the one that the
// caller's VM knows of first.
func (r *chatRun) candidates() []entity.Endpoint {
	var out []entity.Endpoint
	hint := r.call.args.Hint.Endpoint
	for _, ep := range r.family.owner.o.Endpoints() {
		switch {
		case ep.Kind != entity.KindEngine || !serves(ep, r.call.args.Target):
		case ep.Name == hint:
			out = append([]entity.Endpoint{ep}, out...)
		default:
			out = append(out, ep)
		}
	}
	return out[:min(len(out), maxAskedEngines)]
}

func serves(ep entity.Endpoint, model string) bool {
	for _, m := range ep.Models {
		if m == model {
			return true
		}
	}
	return false
}

// orphan takes the adopted flight of a request; each is taken once.
func (f *family) orphan(key callKey) (entity.Flight, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	flight, ok := f.orphans[key]
	delete(f.orphans, key)
	return flight, ok
}

// settleOrphans counts the adopted flights whose requests were not repeated in
// time as used in full, since their tokens may have been generated.
func (f *family) settleOrphans(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.orphans) == 0 || now.Sub(f.adopted) < orphanKeep {
		return
	}
	for key, flight := range f.orphans {
		f.settled[flight.CallID] = flight.Tokens
		delete(f.orphans, key)
	}
}
