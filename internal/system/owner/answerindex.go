package owner

import (
	"context"
	"fmt"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/journal"
)

// answerIndex indexes all turns of a program by request id. A request may
// arrive long after it was answered, for instance from the socket buffer of a
// VM that was paused. It must not run again, however many turns have been
// recorded since.
type answerIndex struct {
	latestTurn uint64 // number of the latest turn in the index
	byRequest  map[string]answeredRequest
}

// answeredRequest identifies the turn that answered a request.
type answeredRequest struct {
	bodyHash uint64
	turn     uint64
}

func newAnswerIndex(turns []*entity.Turn) *answerIndex {
	a := &answerIndex{byRequest: make(map[string]answeredRequest, len(turns))}
	for _, t := range turns {
		a.add(t)
	}
	return a
}

func (a *answerIndex) add(t *entity.Turn) {
	a.byRequest[t.RequestID] = answeredRequest{bodyHash: t.BodyHash, turn: t.Number}
	a.latestTurn = t.Number
}

// findAnswered returns the turn that answered a request, and false if there is
// none. It reads the history if the index is outdated. Only the program's running
// call may use it.
func (f *family) findAnswered(ctx context.Context, p *entity.Program, requestID string) (answeredRequest, bool, error) {
	f.mu.Lock()
	index := f.answerIndexes[p.ID]
	f.mu.Unlock()
	if index == nil || index.latestTurn != p.Head {
		if err := f.loadHistory(ctx, p); err != nil {
			return answeredRequest{}, false, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.answerIndexes[p.ID].byRequest[requestID]
	return a, ok, nil
}

// loadHistory fills the caches of a program from its recorded turns.
func (f *family) loadHistory(ctx context.Context, p *entity.Program) error {
	conv := &conversation{latestTurn: p.Head}
	var turns []*entity.Turn
	if p.Head > 0 {
		var err error
		if turns, err = f.owner.options.Journal.History(ctx, p.ID, 1); err != nil {
			return fmt.Errorf("read history of %s: %w", p.ID, err)
		}
	}
	for _, t := range turns {
		conv.messages = append(conv.messages, t.Messages...)
	}
	conv.bytes = conv.estimatedBytes()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conversations[p.ID] = conv
	f.answerIndexes[p.ID] = newAnswerIndex(turns)
	return nil
}

// cacheTurn appends a recorded turn to the caches of its program.
func (f *family) cacheTurn(t *entity.Turn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if index := f.answerIndexes[t.Program]; index != nil && index.latestTurn+1 == t.Number {
		index.add(t)
	}
	if conv := f.conversations[t.Program]; conv != nil && conv.latestTurn+1 == t.Number {
		f.conversations[t.Program] = conv.withTurn(t)
	}
}

// resultFromHistory returns the result of a repeated request from its recorded
// turn.
func (f *family) resultFromHistory(ctx context.Context, id entity.ProgramID, args CallArgs, a answeredRequest) (Result, error) {
	if a.bodyHash != args.BodyHash {
		return Result{}, bodyMismatch()
	}
	turns, err := f.owner.options.Journal.History(ctx, id, a.turn)
	if err != nil {
		return Result{}, mesh.NewFault(mesh.CodeOutcomeUnknown, "the call has run; its answer can't be read now: %v", err)
	}
	if len(turns) == 0 || turns[0].Number != a.turn {
		return Result{}, mesh.NewFault(mesh.CodeInternal, "turn %d is missing", a.turn)
	}
	return resultOfTurn(turns[0], journal.Durable), nil
}

// answerFromHistory answers a repeated request from its recorded turn, without
// waiting for the program's other calls. It returns false if the index does not
// contain the request. The caller holds mu.
func (f *family) answerFromHistory(args CallArgs) (bool, error) {
	index := f.answerIndexes[args.Program]
	if index == nil {
		return false, nil
	}
	a, ok := index.byRequest[args.RequestID]
	if !ok {
		return false, nil
	}
	if a.bodyHash != args.BodyHash {
		return false, bodyMismatch()
	}
	c := newCall(args, func() {})
	f.calls[c.key()] = c
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), f.owner.options.SaveTimeout)
		defer cancel()
		res, err := f.resultFromHistory(ctx, args.Program, args, a)
		if err != nil {
			res = Result{Fault: faultFor(err)}
		}
		c.finish(res, f.owner.options.Now())
	}()
	return true, nil
}
