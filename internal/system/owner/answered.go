package owner

import (
	"context"
	"fmt"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/journal"
)

// answerIndex indexes all turns of a program by their request id. A request may
// reach its owner long after it was answered, for instance out of the socket
// of a VM that was paused: it must not run again, however many turns came
// since.
type answerIndex struct {
	head  uint64 // latest turn that it covers
	turns map[string]answeredRequest
}

// answeredRequest is the turn that answered a request.
type answeredRequest struct {
	bodyHash uint64
	turn     uint64
}

func newAnswerIndex(turns []*entity.Turn) *answerIndex {
	a := &answerIndex{turns: make(map[string]answeredRequest, len(turns))}
	for _, t := range turns {
		a.add(t)
	}
	return a
}

func (a *answerIndex) add(t *entity.Turn) {
	a.turns[t.RequestID] = answeredRequest{bodyHash: t.BodyHash, turn: t.Number}
	a.head = t.Number
}

// answeredTurn returns the turn that answered a request, if there is one. It is
// called by the call whose turn it is.
func (f *family) answeredTurn(ctx context.Context, p *entity.Program, requestID string) (answeredRequest, bool, error) {
	f.mu.Lock()
	index := f.answers[p.ID]
	f.mu.Unlock()
	if index == nil || index.head != p.Head {
		if err := f.readHistory(ctx, p); err != nil {
			return answeredRequest{}, false, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.answers[p.ID].turns[requestID]
	return a, ok, nil
}

// readHistory fills the caches of a program from its history.
func (f *family) readHistory(ctx context.Context, p *entity.Program) error {
	talk := &conversation{head: p.Head}
	var turns []*entity.Turn
	if p.Head > 0 {
		var err error
		if turns, err = f.owner.o.Journal.History(ctx, p.ID, 1); err != nil {
			return fmt.Errorf("read history of %s: %w", p.ID, err)
		}
	}
	for _, t := range turns {
		talk.messages = append(talk.messages, t.Messages...)
	}
	talk.bytes = talk.size()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.talks[p.ID] = talk
	f.answers[p.ID] = newAnswerIndex(turns)
	return nil
}

// noteTurn extends the caches of a program by a turn that was recorded.
func (f *family) noteTurn(t *entity.Turn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if index := f.answers[t.Program]; index != nil && index.head+1 == t.Number {
		index.add(t)
	}
	if talk := f.talks[t.Program]; talk != nil && talk.head+1 == t.Number {
		f.talks[t.Program] = talk.extended(t)
	}
}

// replayTurn answers a request from the history.
func (f *family) replayTurn(ctx context.Context, id entity.ProgramID, args CallArgs, a answeredRequest) (Result, error) {
	if a.bodyHash != args.BodyHash {
		return Result{}, bodyDiffers()
	}
	turns, err := f.owner.o.Journal.History(ctx, id, a.turn)
	if err != nil {
		return Result{}, mesh.NewFault(mesh.CodeOutcomeUnknown, "the call has run; its answer can't be read now: %v", err)
	}
	if len(turns) == 0 || turns[0].Number != a.turn {
		return Result{}, mesh.NewFault(mesh.CodeInternal, "turn %d is missing", a.turn)
	}
	return resultOf(turns[0], journal.Durable), nil
}

// replay answers a repeated request at once if the index has it, without
// waiting for the program's other calls. The caller holds mu.
func (f *family) replay(args CallArgs) (bool, error) {
	index := f.answers[args.Program]
	if index == nil {
		return false, nil
	}
	a, ok := index.turns[args.RequestID]
	if !ok {
		return false, nil
	}
	if a.bodyHash != args.BodyHash {
		return false, bodyDiffers()
	}
	c := newCall(args, func() {})
	f.calls[c.key()] = c
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), f.owner.o.SaveTimeout)
		defer cancel()
		res, err := f.replayTurn(ctx, args.Program, args, a)
		if err != nil {
			res = Result{Fault: resultFault(err)}
		}
		c.finish(res, f.owner.o.Now())
	}()
	return true, nil
}
