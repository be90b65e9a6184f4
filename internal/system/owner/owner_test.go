package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
	"ibisstall.example/ibisstall/internal/system/journal"
)

func TestOwner_RepeatedRequestGetsTheSameAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, wide)
	first := w.call(a, chatCall("r1", "hello"))
	is.Equal(first.Fault.Code, mesh.CodeNone)
	is.Equal(first.Durability, journal.Durable)
	again := w.call(a, chatCall("r1", "hello"))
	is.Equal(string(again.Answer), string(first.Answer))

	for i := range 40 { // many turns come in between
		w.call(a, toolCall(fmt.Sprintf("t%d", i), "lookup", "{}"))
	}
	b := w.vm("b") // the request id is known to the next owner, too
	w.moveTo("b", "a", false)
	adopted := w.call(b, chatCall("r1", "hello"))
	is.Equal(string(adopted.Answer), string(first.Answer))
	is.Equal(len(w.runners.prompts), 1)

	_, err := runCall(b, chatCall("r1", "another body"))
	is.True(mesh.HasCode(err, mesh.CodeUnprocessable))
}

func TestOwner_HistoryReachesTheEngineWholeAfterAdoption(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, wide)
	for i := range 5 {
		w.call(a, chatCall(fmt.Sprintf("r%d", i), fmt.Sprintf("question %d", i)))
	}
	b := w.vm("b")
	w.moveTo("b", "a", false)
	w.call(b, chatCall("r5", "question 5"))
	last := w.runners.prompts[5]
	is.Equal(len(last), 11) // five turns of two messages and the new one
	is.Equal(string(last[0].Content), `"question 0"`)
	is.Equal(string(last[9].Content), `"answer 5"`)
}

func TestOwner_ResentConversationIsRecognisedByItsPrefix(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, wide)
	w.call(a, chatCall("r1", "one"))
	whole := chatCall("r2", "one")
	whole.Chat.Messages = append(whole.Chat.Messages,
		entity.Message{Role: "assistant", Content: []byte(`"answer 1"`)},
		entity.Message{Role: "user", Content: []byte(`"two"`)})
	w.call(a, whole)
	is.Equal(len(w.runners.prompts[1]), 3)

	other := chatCall("r3", "one")
	other.Chat.Messages = append(other.Chat.Messages,
		entity.Message{Role: "assistant", Content: []byte(`"never said"`)},
		entity.Message{Role: "user", Content: []byte(`"three"`)})
	is.Equal(w.call(a, other).Fault.Code, mesh.CodeConflict)
}

func TestOwner_CallsRunInTheOrderThatTheyName(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, wide)
	const calls = 8
	var wg sync.WaitGroup
	for i := calls - 1; i >= 0; i-- { // the last one arrives first
		args := chatCall(fmt.Sprintf("r%d", i), fmt.Sprintf("question %d", i))
		after := uint64(i)
		args.After = &after
		_, err := a.Start(context.Background(), args)
		is.NoErr(err)
		wg.Go(func() { _, _ = runCall(a, args) })
	}
	wg.Wait()
	turns, err := a.History(context.Background(), HistoryArgs{ProgramArgs: ProgramArgs{ID: testProgram}})
	is.NoErr(err)
	is.Equal(len(turns), calls)
	for i, turn := range turns {
		is.Equal(turn.RequestID, fmt.Sprintf("r%d", i))
	}
	late := chatCall("late", "late")
	zero := uint64(0)
	late.After = &zero
	is.Equal(w.call(a, late).Fault.Code, mesh.CodeConflict)
}

func TestOwner_FamilyBudgetHoldsOverConcurrentSubAgents(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, entity.Budget{Tokens: 73, Turns: 100, Seconds: 3600})
	var wg sync.WaitGroup
	for i := range 12 {
		reply, err := a.Create(context.Background(), CreateArgs{Workspace: "press", Parent: testProgram, RequestID: fmt.Sprint(i)})
		is.NoErr(err)
		wg.Go(func() {
			args := chatCall("r", "work")
			args.Program = reply.Program.ID
			args.Chat.MaxTokens = 10
			_, _ = runCall(a, args)
		})
	}
	wg.Wait()
	reply, err := a.Show(context.Background(), ProgramArgs{ID: testProgram})
	is.NoErr(err)
	is.True(reply.Root.Used.Tokens <= 73)

	rest := chatCall("rest", "use up what is left")
	w.call(a, rest)
	reply, err = a.Show(context.Background(), ProgramArgs{ID: testProgram})
	is.NoErr(err)
	is.Equal(reply.Root.Used.Tokens, int64(73))
	res := w.call(a, chatCall("over", "one more"))
	is.Equal(res.Fault.Code, mesh.CodeBudget)
	is.Equal(res.Fault.Param, "tokens")
}

func TestOwner_TurnBudgetEndsALoop(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, entity.Budget{Tokens: 10_000, Turns: 3, Seconds: 3600})
	for i := range 3 {
		is.Equal(w.call(a, toolCall(fmt.Sprint(i), "lookup", "{}")).Fault.Code, mesh.CodeNone)
	}
	res := w.call(a, toolCall("3", "lookup", "{}"))
	is.Equal(res.Fault.Code, mesh.CodeBudget)
	is.Equal(res.Fault.Param, "turns")
	is.Equal(w.runners.ran(), 3)
}

func TestOwner_StreamOfADeadOwnerIsResumed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, entity.Budget{Tokens: 100, Turns: 10, Seconds: 3600})
	w.runners.set(func(r *runners) { r.hold = make(chan struct{}) })
	args := chatCall("r1", "hello")
	_, err := a.Start(context.Background(), args)
	is.NoErr(err)
	<-w.runners.holding // the engine generates for the first owner

	w.runners.set(func(r *runners) { r.hold = nil })
	b := w.vm("b")
	w.moveTo("b", "a", false)
	args.Hint = Hint{Endpoint: "e1"}
	res := w.call(b, args)
	is.Equal(res.Fault.Code, mesh.CodeNone)
	is.Equal(len(w.runners.prompts), 1) // generated once
	reply, err := b.Show(context.Background(), ProgramArgs{ID: testProgram})
	is.NoErr(err)
	is.Equal(reply.Root.Used.Tokens, int64(10))
	is.Equal(len(reply.Root.Flights), 0)
}

func TestOwner_FormerOwnerCanNotRecordATurn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, wide)
	hold := make(chan struct{})
	w.runners.set(func(r *runners) { r.hold = hold })
	args := chatCall("r1", "hello")
	_, err := a.Start(context.Background(), args)
	is.NoErr(err)
	<-w.runners.holding

	w.runners.set(func(r *runners) { r.hold = nil })
	b := w.vm("b")
	w.moveTo("b", "a", false) // b takes a for dead
	w.call(b, chatCall("r2", "from b"))
	close(hold) // a wakes up with its answer
	reply := a.Read(context.Background(), ReadArgs{Program: testProgram, RequestID: "r1", Wait: 5 * time.Second})
	if reply.Done {
		is.Equal(reply.Result.Fault.Code, mesh.CodeNotOwner)
	}
	turns, err := b.History(context.Background(), HistoryArgs{ProgramArgs: ProgramArgs{ID: testProgram}})
	is.NoErr(err)
	is.Equal(len(turns), 1)
	is.Equal(turns[0].RequestID, "r2")
}

func TestOwner_ProgramOfAnotherWorkspaceIsNotFound(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, wide)
	args := chatCall("r1", "hello")
	args.Workspace = "couples"
	_, err := runCall(a, args)
	is.True(mesh.HasCode(err, mesh.CodeNotFound))
	_, err = a.Cancel(context.Background(), ProgramArgs{ID: testProgram, Workspace: "couples"})
	is.True(mesh.HasCode(err, mesh.CodeNotFound))
}

func TestOwner_CancelEndsTheFamilyAndItsCalls(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, wide)
	child, err := a.Create(context.Background(), CreateArgs{Workspace: "press", Parent: testProgram, RequestID: "c"})
	is.NoErr(err)
	w.runners.set(func(r *runners) { r.hold = make(chan struct{}) })
	args := chatCall("r1", "hello")
	args.Program = child.Program.ID
	_, err = a.Start(context.Background(), args)
	is.NoErr(err)
	<-w.runners.holding
	_, err = a.Cancel(context.Background(), ProgramArgs{ID: testProgram, Workspace: "press"})
	is.NoErr(err)
	reply := a.Read(context.Background(), ReadArgs{Program: args.Program, RequestID: "r1", Wait: 5 * time.Second})
	if reply.Fault.Code == mesh.CodeNone {
		is.True(reply.Done)
		is.True(reply.Result.Fault.Code != mesh.CodeNone)
	}
	is.Equal(w.call(a, chatCall("r2", "again")).Fault.Code, mesh.CodeConflict)
}

func TestOwner_ExpiredProgramRefusesCalls(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	now := time.Now()
	var mu sync.Mutex
	a := w.vm("a", func(o *Options) {
		o.Now = func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	})
	w.create(a, entity.Budget{Tokens: 100, Turns: 10, Seconds: 60})
	mu.Lock()
	now = now.Add(time.Minute)
	mu.Unlock()
	res := w.call(a, chatCall("r1", "hello"))
	is.Equal(res.Fault.Code, mesh.CodeBudget)
	is.Equal(res.Fault.Param, "seconds")
	a.Tick(context.Background())
	reply, err := a.Show(context.Background(), ProgramArgs{ID: testProgram})
	is.NoErr(err)
	is.Equal(reply.Program.State, entity.ProgramExpired)
}

func TestOwner_BusyFamilyStaysUntilItsCallsEnd(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, wide)
	hold := make(chan struct{})
	w.runners.set(func(r *runners) { r.hold = hold })
	args := chatCall("r1", "hello")
	_, err := a.Start(context.Background(), args)
	is.NoErr(err)
	<-w.runners.holding

	b := w.vm("b")
	w.moveTo("b", "a", true)
	hint, err := b.Start(context.Background(), chatCall("r2", "next"))
	is.True(mesh.HasCode(err, mesh.CodeNotOwner))
	is.Equal(hint, "a")
	close(hold)
	is.Equal(w.call(a, args).Fault.Code, mesh.CodeNone)
	w.runners.set(func(r *runners) { r.hold = nil })
	deadline := time.Now().Add(5 * time.Second)
	for {
		if _, err = runCall(b, chatCall("r2", "next")); err == nil || time.Now().After(deadline) {
			break
		}
	}
	is.NoErr(err)
}

func TestOwner_PlatformDownRefusesNonIdempotentCallsAsNotRun(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, wide)
	is.NoErr(w.platform.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{{Service: platformsvc.Table, Down: true}}}))
	res := w.call(a, toolCall("d1", "deposit", "{}"))
	is.Equal(res.Fault.Code, mesh.CodeNotRun)
	is.Equal(w.runners.ran(), 0)
	is.NoErr(w.platform.SetControl(platformsvc.Control{}))
	is.Equal(w.call(a, toolCall("d1", "deposit", "{}")).Fault.Code, mesh.CodeNone)
	is.Equal(w.runners.ran(), 1)
}

func TestOwner_NonIdempotentCall(t *testing.T) {
	cases := []struct {
		name    string
		errs    []error
		lookup  bool
		want    mesh.Code
		wantRan int
	}{
		{"a call that is answered runs once", nil, true, mesh.CodeNone, 1},
		{"an answer that was lost is read back", []error{endpoint.ErrUnanswered}, true, mesh.CodeNone, 1},
		{"an answer that can't be read back leaves the outcome unknown", []error{endpoint.ErrUnanswered}, false, mesh.CodeOutcomeUnknown, 1},
		{"a call that was not sent is sent elsewhere", []error{endpoint.ErrNotSent}, true, mesh.CodeNone, 1},
		{"a refusal before the run is tried elsewhere", []error{&endpoint.StatusError{Status: 503}}, true, mesh.CodeNone, 1},
		{"a failure of the tool is its answer", []error{&endpoint.StatusError{Status: 500, Ran: true}}, true, mesh.CodeNone, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			a := w.vm("a")
			w.create(a, wide)
			w.runners.set(func(r *runners) { r.callErr = c.errs; r.noLookup = !c.lookup })
			res := w.call(a, toolCall("d1", "deposit", "{}"))
			is.Equal(res.Fault.Code, c.want)
			is.Equal(w.runners.ran(), c.wantRan)

			b := w.vm("b")
			w.moveTo("b", "a", false)
			again := w.call(b, toolCall("d1", "deposit", "{}"))
			is.Equal(again.Fault.Code, c.want)
			is.Equal(string(again.Answer), string(res.Answer))
			is.Equal(w.runners.ran(), c.wantRan)
		})
	}
}

func TestOwner_TwoOwnersNeverBothSendANonIdempotentCall(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, wide)
	hold := make(chan struct{})
	w.runners.set(func(r *runners) { r.hold = hold; r.noLookup = true })
	_, err := a.Start(context.Background(), toolCall("d1", "deposit", "{}"))
	is.NoErr(err)
	<-w.runners.holding // a has its intent and is about to send, and pauses

	b := w.vm("b")
	w.moveTo("b", "a", false)
	res := w.call(b, toolCall("d1", "deposit", "{}"))
	is.Equal(res.Fault.Code, mesh.CodeOutcomeUnknown)
	is.Equal(w.runners.ran(), 0)
	close(hold)
	a.Read(context.Background(), ReadArgs{Program: testProgram, RequestID: "d1", Wait: 5 * time.Second})
	is.Equal(w.runners.ran(), 1)
	again := w.call(b, toolCall("d1", "deposit", "{}"))
	is.Equal(again.Fault.Code, mesh.CodeOutcomeUnknown)
	is.Equal(w.runners.ran(), 1)
}

func TestOwner_PausedOwnerWithALapsedLeaseSendsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	lapsed := errors.New("lease lapsed")
	a := w.vm("a", func(o *Options) { o.CheckLease = func() error { return lapsed } })
	w.create(a, wide)
	res := w.call(a, toolCall("d1", "deposit", "{}"))
	is.Equal(res.Fault.Code, mesh.CodeNotRun)
	is.Equal(w.runners.ran(), 0)
	b := w.vm("b") // the refusal was true: the next owner may send it
	w.moveTo("b", "a", false)
	is.Equal(w.call(b, toolCall("d1", "deposit", "{}")).Fault.Code, mesh.CodeNone)
	is.Equal(w.runners.ran(), 1)
}

func TestOwner_CachedHistoriesStayWithinTheirBoundAndAreReadAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a", func(o *Options) { o.MaxCacheBytes = 100 })
	w.create(a, wide)
	w.call(a, chatCall("r1", "a question that takes more than the bound in the cache, with its answer"))
	a.Tick(context.Background())
	for _, f := range a.snapshot() {
		is.Equal(f.cacheUse().bytes, int64(0))
	}
	w.call(a, chatCall("r2", "two"))
	is.Equal(len(w.runners.prompts[1]), 3)
	is.Equal(string(w.call(a, chatCall("r2", "two")).Answer), string(w.call(a, chatCall("r2", "two")).Answer))
	is.Equal(len(w.runners.prompts), 2)
}

func TestOwner_LostStreamCountsAllThatItMayHaveGenerated(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, entity.Budget{Tokens: 100, Turns: 10, Seconds: 3600})
	w.runners.set(func(r *runners) { r.hold = make(chan struct{}) })
	args := chatCall("r1", "hello")
	args.Chat.MaxTokens = 30
	_, err := a.Start(context.Background(), args)
	is.NoErr(err)
	<-w.runners.holding
	w.runners.set(func(r *runners) { r.hold = nil; clear(r.streams) }) // the engine is gone

	b := w.vm("b")
	w.moveTo("b", "a", false)
	is.Equal(w.call(b, args).Fault.Code, mesh.CodeNone)
	reply, err := b.Show(context.Background(), ProgramArgs{ID: testProgram})
	is.NoErr(err)
	is.Equal(reply.Root.Used.Tokens, int64(30+10)) // the lost stream's bound and the new answer
}

func TestOwner_CallsOfOneProgramNeverOverlap(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, wide)
	hold := make(chan struct{})
	w.runners.set(func(r *runners) { r.hold = hold })
	for i := range 4 {
		_, err := a.Start(context.Background(), toolCall(fmt.Sprint(i), "lookup", "{}"))
		is.NoErr(err)
	}
	<-w.runners.holding
	child, err := a.Create(context.Background(), CreateArgs{Workspace: "press", Parent: testProgram, RequestID: "c"})
	is.NoErr(err)
	args := toolCall("of the child", "lookup", "{}")
	args.Program = child.Program.ID
	_, err = a.Start(context.Background(), args)
	is.NoErr(err)
	<-w.runners.holding // the sub-agent runs beside its parent
	select {
	case <-w.runners.holding:
		t.Fatal("two calls of one program ran at once")
	default:
	}
	close(hold)
	for i := range 4 {
		is.Equal(w.call(a, toolCall(fmt.Sprint(i), "lookup", "{}")).Fault.Code, mesh.CodeNone)
	}
}
