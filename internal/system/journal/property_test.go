package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform/batch"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

// opKind is the kind of a random operation.
type opKind int

const (
	opAppend     opKind = iota
	opAppendMany        // enough turns for a compaction
	opIntent
	opAdopt
	opFlush
	opCompact
	opFault
	opMirrorFault
	opRestart
	opKinds
)

const vmCount = 2

// op is one operation. It starts after a pause and runs concurrently with later
// ones.
type op struct {
	kind   opKind
	vm     int           // index in simulation.vms
	pause  time.Duration // before the operation starts
	fault  platformsvc.Fault
	number int // opIntent: number of the request; opMirrorFault: flakyMirror.failure
}

func drawOp(t *rapid.T) op {
	return op{
		kind:  opKind(rapid.IntRange(0, int(opKinds)-1).Draw(t, "kind")),
		vm:    rapid.IntRange(0, vmCount-1).Draw(t, "vm"),
		pause: time.Duration(rapid.SampledFrom([]int{0, 1, 5, 40, 1000}).Draw(t, "pause")) * time.Millisecond,
		fault: platformsvc.Fault{
			Service:     rapid.SampledFrom([]platformsvc.Service{platformsvc.Table, platformsvc.Objects}).Draw(t, "service"),
			Down:        rapid.Bool().Draw(t, "down"),
			Hang:        rapid.IntRange(0, 5).Draw(t, "hang") == 0,
			LoseAnswers: rapid.IntRange(0, 4).Draw(t, "lose"),
			DelayMS:     int64(rapid.SampledFrom([]int{0, 1, 5, 20, 900, 1500, 4000}).Draw(t, "delay")),
			Late:        rapid.Bool().Draw(t, "late"),
		},
		number: rapid.IntRange(0, 2).Draw(t, "number"),
	}
}

// simulation runs two VMs that both try to own one family, and records the results
// that their callers get.
type simulation struct {
	env    *testEnv
	faults [vmCount]platformsvc.Fault
	vms    [vmCount]*simulatedVM
	starts int // VMs started so far; makes their names unique
	// unbatched makes the journals write without a batch.Committer, so that they
	// resolve lost responses themselves.
	unbatched bool
	wait      sync.WaitGroup

	mu       sync.Mutex
	requests int // requests made so far, not protected by mu; makes their ids unique
	// acknowledged maps the number of each turn to the request whose caller was
	// told that the turn is durable or buffered.
	acknowledged map[uint64]string
	allowedCalls [3]int // calls that were allowed for each intent, by op.number
	errs         []error
}

// simulatedVM is one VM of a simulation.
type simulatedVM struct {
	name      string
	journal   *Journal
	committer *batch.Committer
	mirror    *flakyMirror
}

// flakyMirror fails calls before or after they take effect.
type flakyMirror struct {
	Mirror
	mu      sync.Mutex
	failure int // 0: none, 1: before the call takes effect, 2: after it
}

func (m *flakyMirror) setFailure(failure int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failure = failure
}

func (m *flakyMirror) currentFailure() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failure
}

func (m *flakyMirror) Put(ctx context.Context, root entity.ProgramID, first uint64, records []Record) error {
	if m.currentFailure() == 1 {
		return errMirrorUnreachable
	}
	err := m.Mirror.Put(ctx, root, first, records)
	if m.currentFailure() == 2 {
		return errMirrorUnreachable
	}
	return err
}

func (m *flakyMirror) Drop(ctx context.Context, root entity.ProgramID, epoch, upTo uint64) {
	if m.currentFailure() == 0 {
		m.Mirror.Drop(ctx, root, epoch, upTo)
	}
}

func (r *simulation) start(i int) {
	r.starts++
	vm := &simulatedVM{name: fmt.Sprintf("vm-%d-%d", i, r.starts), mirror: &flakyMirror{Mirror: r.env.mirror}}
	direct := r.env.server.Client(fmt.Sprint(i))
	vm.committer = batch.New(direct, batch.Options{Timeout: time.Second})
	o := Options{Table: vm.committer, Objects: direct.Objects(), Mirror: vm.mirror, RequestTimeout: 3 * time.Second}
	if r.unbatched {
		o.Table = direct
	}
	vm.journal = New(o)
	r.vms[i] = vm
}

func (vm *simulatedVM) stop() {
	vm.journal.Close()
	vm.committer.Close()
}

func (r *simulation) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

// runOp starts one operation.
func (r *simulation) runOp(o op) {
	time.Sleep(o.pause) // on the fake clock
	vm := r.vms[o.vm]
	ctx := context.Background()
	switch o.kind {
	case opAppend:
		r.appendTurns(vm, 1)
	case opAppendMany:
		r.appendTurns(vm, RetainedRows)
	case opIntent:
		r.requests++
		attempt := r.requests
		r.wait.Go(func() { r.writeIntent(vm, o.number, attempt) })
	case opAdopt:
		r.wait.Go(func() { vm.journal.Adopt(ctx, []entity.ProgramID{testRoot}, vm.name) })
	case opFlush:
		r.wait.Go(func() { vm.journal.Flush(ctx) })
	case opCompact:
		r.wait.Go(func() { _, _ = vm.journal.Compact(ctx, testRoot) })
	case opFault:
		o.fault.DC = fmt.Sprint(o.vm)
		r.faults[o.vm] = o.fault
		r.setFaults(r.faults[:]...)
	case opMirrorFault:
		vm.mirror.setFailure(o.number)
	case opRestart:
		vm.stop()
		r.start(o.vm)
	}
}

func (r *simulation) setFaults(faults ...platformsvc.Fault) {
	if err := r.env.server.SetControl(platformsvc.Control{Faults: faults}); err != nil {
		r.fail(err)
	}
}

// appendTurns submits the next turns after the VM's latest state, as one change,
// and records the result.
func (r *simulation) appendTurns(vm *simulatedVM, count int) {
	f := vm.journal.family(testRoot)
	if f == nil {
		return
	}
	head := f.snapshot().RootProgram().Head
	var turns []*entity.Turn
	for i := range count {
		r.requests++
		turn := newTurn(testRoot, head+1+uint64(i))
		turn.RequestID = fmt.Sprintf("%s/%d", vm.name, r.requests)
		turns = append(turns, turn)
	}
	p, err := vm.journal.Submit(testRoot, Changes{Turns: turns})
	if err != nil {
		return
	}
	r.wait.Go(func() {
		if _, err := p.Wait(context.Background()); err != nil {
			return
		}
		for _, turn := range turns {
			r.acknowledge(turn.Number, turn.RequestID)
		}
	})
}

func (r *simulation) acknowledge(number uint64, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if other, exists := r.acknowledged[number]; exists {
		r.errs = append(r.errs, fmt.Errorf("turn %d acknowledged to %s and %s", number, other, request))
	}
	r.acknowledged[number] = request
}

func (r *simulation) writeIntent(vm *simulatedVM, number, attempt int) {
	ctx := context.Background()
	intent := &entity.Intent{
		Program:   testRoot,
		RequestID: fmt.Sprint(number),
		AttemptID: fmt.Sprintf("%s/%d", vm.name, attempt),
	}
	_, _ = vm.journal.LookupIntent(ctx, testRoot, intent.RequestID) // may find an intent that the new attempt may overwrite
	err := vm.journal.WriteIntent(ctx, intent)
	switch {
	case err == nil && attempt%2 == 0: // the VM does not send the call
		intent.State = entity.IntentNotSent
		_, _ = vm.journal.RecordOutcome(ctx, intent)
	case err == nil:
		r.mu.Lock()
		r.allowedCalls[number]++
		r.mu.Unlock()
	}
}

// verifyResults lets a newly started VM adopt the family and compares the history
// and the intents that it reads with the recorded results.
func (r *simulation) verifyResults() error {
	r.wait.Wait()
	r.setFaults()           // no faults
	time.Sleep(time.Minute) // until hanging requests have timed out
	r.vms[1].stop()
	r.start(1)
	last := r.vms[1]
	defer last.stop()
	defer r.vms[0].stop()
	ctx := context.Background()
	if a := last.journal.Adopt(ctx, []entity.ProgramID{testRoot}, last.name)[0]; a.Err != nil {
		return fmt.Errorf("last adoption: %w", a.Err)
	}
	r.vms[0].journal.Flush(ctx)
	history, err := last.journal.History(ctx, testRoot, 1)
	if err != nil {
		return err
	}
	for number, request := range r.acknowledged {
		if number > uint64(len(history)) || history[number-1].RequestID != request {
			return fmt.Errorf("acknowledged turn %d of %s is lost; the history has %d turns", number, request, len(history))
		}
	}
	for number, n := range r.allowedCalls {
		if n > 1 {
			return fmt.Errorf("intent %d allowed %d calls", number, n)
		}
		_, err := last.journal.LookupIntent(ctx, testRoot, fmt.Sprint(number))
		if n == 1 && err != nil {
			return fmt.Errorf("intent %d of a sent call: %w", number, err)
		}
	}
	return errors.Join(r.errs...)
}

func simulate(ops []op, unbatched bool) error {
	r := &simulation{unbatched: unbatched, env: newTestEnv(), acknowledged: make(map[uint64]string)}
	for i := range vmCount {
		r.start(i)
		r.faults[i] = platformsvc.Fault{Service: platformsvc.Table, DC: fmt.Sprint(i)}
	}
	_, err := r.vms[0].journal.Create(context.Background(), newProgram(testRoot), r.vms[0].name)
	if err != nil {
		return err
	}
	for _, o := range ops {
		r.runOp(o)
	}
	return r.verifyResults()
}

// Two VMs append, adopt, compact, flush, write intents and restart in random
// order, while responses are lost, the platform is unavailable or hangs for
// either VM, and calls of the mirror fail. The history must never fork, no
// acknowledged turn may be lost or reordered, and an intent may allow at most one
// call.
func TestJournal_PropertyHistoryNeverForksOrLosesTurns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ops := rapid.SliceOfN(rapid.Custom(drawOp), 5, 60).Draw(rt, "ops")
		unbatched := rapid.Bool().Draw(rt, "unbatched")
		var err error
		synctest.Test(t, func(*testing.T) { err = simulate(ops, unbatched) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}
