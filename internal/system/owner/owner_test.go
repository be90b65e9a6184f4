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
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, ampleBudget)
	first := f.call(a, chatCall("r1", "hello"))
	is.Equal(first.Fault.Code, mesh.CodeNone)
	is.Equal(first.Durability, journal.Durable)
	repeated := f.call(a, chatCall("r1", "hello"))
	is.Equal(string(repeated.Answer), string(first.Answer))

	for i := range 40 { // many turns are recorded in between
		f.call(a, toolCall(fmt.Sprintf("t%d", i), "lookup", "{}"))
	}
	b := f.startOwner("b") // the adopting owner finds the request id, too
	f.reassign("b", "a", false)
	adopted := f.call(b, chatCall("r1", "hello"))
	is.Equal(string(adopted.Answer), string(first.Answer))
	is.Equal(len(f.runners.prompts), 1)

	_, err := runCall(b, chatCall("r1", "another body"))
	is.True(mesh.HasCode(err, mesh.CodeUnprocessable))
}

func TestOwner_AdoptingOwnerSendsTheWholeHistoryToTheEngine(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, ampleBudget)
	for i := range 5 {
		f.call(a, chatCall(fmt.Sprintf("r%d", i), fmt.Sprintf("question %d", i)))
	}
	b := f.startOwner("b")
	f.reassign("b", "a", false)
	f.call(b, chatCall("r5", "question 5"))
	last := f.runners.prompts[5]
	is.Equal(len(last), 11) // five turns of two messages, and the new message
	is.Equal(string(last[0].Content), `"question 0"`)
	is.Equal(string(last[9].Content), `"answer 5"`)
}

func TestOwner_ResentConversationIsRecognisedByItsPrefix(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, ampleBudget)
	f.call(a, chatCall("r1", "one"))
	whole := chatCall("r2", "one")
	whole.Chat.Messages = append(whole.Chat.Messages,
		entity.Message{Role: "assistant", Content: []byte(`"answer 1"`)},
		entity.Message{Role: "user", Content: []byte(`"two"`)})
	f.call(a, whole)
	is.Equal(len(f.runners.prompts[1]), 3)

	other := chatCall("r3", "one")
	other.Chat.Messages = append(other.Chat.Messages,
		entity.Message{Role: "assistant", Content: []byte(`"never said"`)},
		entity.Message{Role: "user", Content: []byte(`"three"`)})
	is.Equal(f.call(a, other).Fault.Code, mesh.CodeConflict)
}

func TestOwner_CallsRunInTheOrderOfTheTurnsThatTheyFollow(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, ampleBudget)
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
	is.Equal(f.call(a, late).Fault.Code, mesh.CodeConflict)
}

func TestOwner_FamilyBudgetHoldsOverConcurrentSubAgents(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, entity.Budget{Tokens: 73, Turns: 100, Seconds: 3600})
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
	f.call(a, rest)
	reply, err = a.Show(context.Background(), ProgramArgs{ID: testProgram})
	is.NoErr(err)
	is.Equal(reply.Root.Used.Tokens, int64(73))
	res := f.call(a, chatCall("over", "one more"))
	is.Equal(res.Fault.Code, mesh.CodeBudget)
	is.Equal(res.Fault.Param, "tokens")
}

func TestOwner_TurnBudgetLimitsTheNumberOfCalls(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, entity.Budget{Tokens: 10_000, Turns: 3, Seconds: 3600})
	for i := range 3 {
		is.Equal(f.call(a, toolCall(fmt.Sprint(i), "lookup", "{}")).Fault.Code, mesh.CodeNone)
	}
	res := f.call(a, toolCall("3", "lookup", "{}"))
	is.Equal(res.Fault.Code, mesh.CodeBudget)
	is.Equal(res.Fault.Param, "turns")
	is.Equal(f.runners.toolRunCount(), 3)
}

func TestOwner_StreamOfADeadOwnerIsResumed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, entity.Budget{Tokens: 100, Turns: 10, Seconds: 3600})
	f.runners.update(func(r *fakeRunners) { r.gate = make(chan struct{}) })
	args := chatCall("r1", "hello")
	_, err := a.Start(context.Background(), args)
	is.NoErr(err)
	<-f.runners.blocked // the engine generates for the first owner now

	f.runners.update(func(r *fakeRunners) { r.gate = nil })
	b := f.startOwner("b")
	f.reassign("b", "a", false)
	args.Hint = Hint{Endpoint: "e1"}
	res := f.call(b, args)
	is.Equal(res.Fault.Code, mesh.CodeNone)
	is.Equal(len(f.runners.prompts), 1) // generated only once
	reply, err := b.Show(context.Background(), ProgramArgs{ID: testProgram})
	is.NoErr(err)
	is.Equal(reply.Root.Used.Tokens, int64(10))
	is.Equal(len(reply.Root.Flights), 0)
}

func TestOwner_FormerOwnerCanNotRecordATurn(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, ampleBudget)
	gate := make(chan struct{})
	f.runners.update(func(r *fakeRunners) { r.gate = gate })
	args := chatCall("r1", "hello")
	_, err := a.Start(context.Background(), args)
	is.NoErr(err)
	<-f.runners.blocked

	f.runners.update(func(r *fakeRunners) { r.gate = nil })
	b := f.startOwner("b")
	f.reassign("b", "a", false) // b considers a dead
	f.call(b, chatCall("r2", "from b"))
	close(gate) // a receives its answer only now
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
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, ampleBudget)
	args := chatCall("r1", "hello")
	args.Workspace = "couples"
	_, err := runCall(a, args)
	is.True(mesh.HasCode(err, mesh.CodeNotFound))
	_, err = a.Cancel(context.Background(), ProgramArgs{ID: testProgram, Workspace: "couples"})
	is.True(mesh.HasCode(err, mesh.CodeNotFound))
}

func TestOwner_CancelEndsTheFamilyAndItsCalls(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, ampleBudget)
	child, err := a.Create(context.Background(), CreateArgs{Workspace: "press", Parent: testProgram, RequestID: "c"})
	is.NoErr(err)
	f.runners.update(func(r *fakeRunners) { r.gate = make(chan struct{}) })
	args := chatCall("r1", "hello")
	args.Program = child.Program.ID
	_, err = a.Start(context.Background(), args)
	is.NoErr(err)
	<-f.runners.blocked
	_, err = a.Cancel(context.Background(), ProgramArgs{ID: testProgram, Workspace: "press"})
	is.NoErr(err)
	reply := a.Read(context.Background(), ReadArgs{Program: args.Program, RequestID: "r1", Wait: 5 * time.Second})
	if reply.Fault.Code == mesh.CodeNone {
		is.True(reply.Done)
		is.True(reply.Result.Fault.Code != mesh.CodeNone)
	}
	is.Equal(f.call(a, chatCall("r2", "again")).Fault.Code, mesh.CodeConflict)
}

func TestOwner_ExpiredProgramRefusesCalls(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	now := time.Now()
	var mu sync.Mutex
	a := f.startOwner("a", func(o *Options) {
		o.Now = func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	})
	f.create(a, entity.Budget{Tokens: 100, Turns: 10, Seconds: 60})
	mu.Lock()
	now = now.Add(time.Minute)
	mu.Unlock()
	res := f.call(a, chatCall("r1", "hello"))
	is.Equal(res.Fault.Code, mesh.CodeBudget)
	is.Equal(res.Fault.Param, "seconds")
	a.Tick(context.Background())
	reply, err := a.Show(context.Background(), ProgramArgs{ID: testProgram})
	is.NoErr(err)
	is.Equal(reply.Program.State, entity.ProgramExpired)
}

func TestOwner_FamilyWithCallsInFlightIsNotHandedOver(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, ampleBudget)
	gate := make(chan struct{})
	f.runners.update(func(r *fakeRunners) { r.gate = gate })
	args := chatCall("r1", "hello")
	_, err := a.Start(context.Background(), args)
	is.NoErr(err)
	<-f.runners.blocked

	b := f.startOwner("b")
	f.reassign("b", "a", true)
	hint, err := b.Start(context.Background(), chatCall("r2", "next"))
	is.True(mesh.HasCode(err, mesh.CodeNotOwner))
	is.Equal(hint, "a")
	close(gate)
	is.Equal(f.call(a, args).Fault.Code, mesh.CodeNone)
	f.runners.update(func(r *fakeRunners) { r.gate = nil })
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
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, ampleBudget)
	is.NoErr(f.platform.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{{Service: platformsvc.Table, Down: true}}}))
	res := f.call(a, toolCall("d1", "deposit", "{}"))
	is.Equal(res.Fault.Code, mesh.CodeNotRun)
	is.Equal(f.runners.toolRunCount(), 0)
	is.NoErr(f.platform.SetControl(platformsvc.Control{}))
	is.Equal(f.call(a, toolCall("d1", "deposit", "{}")).Fault.Code, mesh.CodeNone)
	is.Equal(f.runners.toolRunCount(), 1)
}

func TestOwner_NonIdempotentCall(t *testing.T) {
	cases := []struct {
		name      string
		errs      []error
		canLookUp bool
		want      mesh.Code
		wantRuns  int
	}{
		{"a call that is answered runs once", nil, true, mesh.CodeNone, 1},
		{"a lost answer is looked up", []error{endpoint.ErrUnanswered}, true, mesh.CodeNone, 1},
		{"a lost answer that can't be looked up leaves the outcome unknown", []error{endpoint.ErrUnanswered}, false, mesh.CodeOutcomeUnknown, 1},
		{"a call that was not sent is sent elsewhere", []error{endpoint.ErrNotSent}, true, mesh.CodeNone, 1},
		{"a call rejected before it ran is sent elsewhere", []error{&endpoint.StatusError{Status: 503}}, true, mesh.CodeNone, 1},
		// The fake tool does not count a run for which it returns an error status.
		{"an error of the tool is its answer", []error{&endpoint.StatusError{Status: 500, Ran: true}}, true, mesh.CodeNone, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			a := f.startOwner("a")
			f.create(a, ampleBudget)
			f.runners.update(func(r *fakeRunners) { r.callErrs = c.errs; r.noLookup = !c.canLookUp })
			res := f.call(a, toolCall("d1", "deposit", "{}"))
			is.Equal(res.Fault.Code, c.want)
			is.Equal(f.runners.toolRunCount(), c.wantRuns)

			b := f.startOwner("b")
			f.reassign("b", "a", false)
			repeated := f.call(b, toolCall("d1", "deposit", "{}"))
			is.Equal(repeated.Fault.Code, c.want)
			is.Equal(string(repeated.Answer), string(res.Answer))
			is.Equal(f.runners.toolRunCount(), c.wantRuns)
		})
	}
}

func TestOwner_TwoOwnersNeverBothSendANonIdempotentCall(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, ampleBudget)
	gate := make(chan struct{})
	f.runners.update(func(r *fakeRunners) { r.gate = gate; r.noLookup = true })
	_, err := a.Start(context.Background(), toolCall("d1", "deposit", "{}"))
	is.NoErr(err)
	<-f.runners.blocked // a has written its intent and pauses before the call runs

	b := f.startOwner("b")
	f.reassign("b", "a", false)
	res := f.call(b, toolCall("d1", "deposit", "{}"))
	is.Equal(res.Fault.Code, mesh.CodeOutcomeUnknown)
	is.Equal(f.runners.toolRunCount(), 0)
	close(gate)
	a.Read(context.Background(), ReadArgs{Program: testProgram, RequestID: "d1", Wait: 5 * time.Second})
	is.Equal(f.runners.toolRunCount(), 1)
	repeated := f.call(b, toolCall("d1", "deposit", "{}"))
	is.Equal(repeated.Fault.Code, mesh.CodeOutcomeUnknown)
	is.Equal(f.runners.toolRunCount(), 1)
}

func TestOwner_OwnerWithAnExpiredLeaseSendsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	expired := errors.New("lease expired")
	a := f.startOwner("a", func(o *Options) { o.CheckLease = func() error { return expired } })
	f.create(a, ampleBudget)
	res := f.call(a, toolCall("d1", "deposit", "{}"))
	is.Equal(res.Fault.Code, mesh.CodeNotRun)
	is.Equal(f.runners.toolRunCount(), 0)
	b := f.startOwner("b") // the call certainly did not run, so the next owner may send it
	f.reassign("b", "a", false)
	is.Equal(f.call(b, toolCall("d1", "deposit", "{}")).Fault.Code, mesh.CodeNone)
	is.Equal(f.runners.toolRunCount(), 1)
}

func TestOwner_CachedHistoriesStayWithinTheLimitAndAreReloaded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a", func(o *Options) { o.MaxCacheBytes = 100 })
	f.create(a, ampleBudget)
	f.call(a, chatCall("r1", "a question that takes more than the bound in the cache, with its answer"))
	a.Tick(context.Background())
	for _, loaded := range a.loadedFamilies() {
		is.Equal(loaded.cacheUsage().bytes, int64(0))
	}
	f.call(a, chatCall("r2", "two"))
	is.Equal(len(f.runners.prompts[1]), 3)
	is.Equal(string(f.call(a, chatCall("r2", "two")).Answer), string(f.call(a, chatCall("r2", "two")).Answer))
	is.Equal(len(f.runners.prompts), 2)
}

func TestOwner_LostStreamCountsAllTokensThatItMayHaveGenerated(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, entity.Budget{Tokens: 100, Turns: 10, Seconds: 3600})
	f.runners.update(func(r *fakeRunners) { r.gate = make(chan struct{}) })
	args := chatCall("r1", "hello")
	args.Chat.MaxTokens = 30
	_, err := a.Start(context.Background(), args)
	is.NoErr(err)
	<-f.runners.blocked
	f.runners.update(func(r *fakeRunners) { r.gate = nil; clear(r.streams) }) // the engine has lost the stream

	b := f.startOwner("b")
	f.reassign("b", "a", false)
	is.Equal(f.call(b, args).Fault.Code, mesh.CodeNone)
	reply, err := b.Show(context.Background(), ProgramArgs{ID: testProgram})
	is.NoErr(err)
	is.Equal(reply.Root.Used.Tokens, int64(30+10)) // the lost stream's reservation and the new answer
}

func TestOwner_CallsOfOneProgramNeverOverlap(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, ampleBudget)
	gate := make(chan struct{})
	f.runners.update(func(r *fakeRunners) { r.gate = gate })
	for i := range 4 {
		_, err := a.Start(context.Background(), toolCall(fmt.Sprint(i), "lookup", "{}"))
		is.NoErr(err)
	}
	<-f.runners.blocked
	child, err := a.Create(context.Background(), CreateArgs{Workspace: "press", Parent: testProgram, RequestID: "c"})
	is.NoErr(err)
	args := toolCall("of the child", "lookup", "{}")
	args.Program = child.Program.ID
	_, err = a.Start(context.Background(), args)
	is.NoErr(err)
	<-f.runners.blocked // the sub-agent runs concurrently with its parent
	select {
	case <-f.runners.blocked:
		t.Fatal("two calls of one program ran concurrently")
	default:
	}
	close(gate)
	for i := range 4 {
		is.Equal(f.call(a, toolCall(fmt.Sprint(i), "lookup", "{}")).Fault.Code, mesh.CodeNone)
	}
}

// A call that crashed engine after engine was sent on by each of its attempts, and by each program that made it again.
func TestOwner_CallThatCrashesEnginesReachesNoFourthOne(t *testing.T) {
	const crashesAllowed = 3
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, ampleBudget)
	ended := fmt.Errorf("%w: %w", endpoint.ErrUnanswered, endpoint.ErrEnded)
	f.runners.update(func(r *fakeRunners) {
		for range 100 {
			r.chatErrs = append(r.chatErrs, ended)
		}
	})
	is.Equal(f.call(a, chatCall("r1", "deadly")).Fault.Code, mesh.CodeOutcomeUnknown)
	for i := range 5 {
		again := f.call(a, chatCall(fmt.Sprint("again-", i), "deadly"))
		is.Equal(again.Fault.Code, mesh.CodeNotRun)
		is.True(again.Fault.RetryAfter > 0)
	}
	f.runners.update(func(r *fakeRunners) { r.chatErrs = nil })
	is.Equal(len(f.runners.prompts), crashesAllowed)
	is.Equal(f.call(a, chatCall("r2", "harmless")).Fault.Code, mesh.CodeNone)
}
