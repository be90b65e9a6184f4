package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"ibisstall.example/ibisstall/internal/entity"
)

// loadOptions are the options of the load subcommand.
type loadOptions struct {
	measurement
	Rate     int  `long:"rate" default:"100" description:"calls a second"`
	Seconds  int  `long:"seconds" default:"10" description:"time to measure over"`
	Tokens   int  `long:"tokens" default:"16" description:"tokens of each answer"`
	Size     int  `long:"size" default:"400" description:"bytes of each message"`
	Programs int  `long:"programs" default:"500" description:"programs that the calls are spread over"`
	Whole    bool `long:"whole" description:"ask for the answers in one piece, not as a stream"`
}

func addLoad(parser *flags.Parser) error {
	o := &loadOptions{}
	o.run = o.measure
	_, err := parser.AddCommand("load", "cost of calls at a fixed rate",
		"Sends calls at a fixed rate to one VM, for programs that another VM owns, and measures the CPU time, I/O and memory of each VM of the data centre.", o)
	return err
}

// callErrors counts the errors of concurrent calls and keeps the first one.
type callErrors struct {
	mu    sync.Mutex
	count int
	first error
}

func (e *callErrors) add(err error) {
	if err == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count++
	if e.first == nil {
		e.first = err
	}
}

// roles are the VMs of the first data centre that handle the load: front receives the
// calls, owner owns the programs, queue schedules the calls of the first engine, and
// batcher writes to the platform for the data centre.
type roles struct{ front, owner, queue, batcher *process }

// chooseRoles determines the queue and batcher VMs, and chooses the front and the
// owner from the other VMs. If there are too few, the owner or both are nil.
func (f *fleet) chooseRoles() roles {
	r := roles{queue: f.queue("engine-0", f.dc(0)), batcher: f.batcher(f.dc(0))}
	for i := 0; i < len(f.vms); i += f.options.DCs {
		switch p := f.vms[i]; {
		case p == r.queue || p == r.batcher:
		case r.front == nil:
			r.front = p
		case r.owner == nil:
			r.owner = p
		}
	}
	return r
}

// roleNames returns the roles of a VM, separated by spaces, or "" if it has none.
func (r *roles) roleNames(p *process) string {
	out := ""
	for name, holder := range map[string]*process{"front": r.front, "owner": r.owner} {
		if p == holder {
			out = name
		}
	}
	if p == r.queue {
		out += " queue"
	}
	if p == r.batcher {
		out += " batcher"
	}
	return out
}

func (o *loadOptions) measure(ctx context.Context, f *fleet) error {
	r := f.chooseRoles()
	if r.front == nil || r.owner == nil {
		return fmt.Errorf("the first data centre needs more VMs: front and owner must be different VMs without the queue and batcher roles")
	}
	programs, err := f.createMany(o.Programs, func(int) *process { return r.front }, func(id entity.ProgramID) bool { return f.owner(id) == r.owner })
	if err != nil {
		return err
	}
	idleBefore, idleAfter, err := f.sampleAround(func() error { return pause(ctx, time.Duration(o.Seconds)*time.Second) })
	if err != nil {
		return err
	}
	errs := &callErrors{}
	before, after, err := f.sampleAround(func() error { return o.send(ctx, f, r.front, programs, errs) })
	if err != nil {
		return err
	}
	calls := float64(o.Rate * o.Seconds)
	loadSeconds := after.at.Sub(before.at).Seconds()
	idleSeconds := idleAfter.at.Sub(idleBefore.at).Seconds()
	fmt.Printf("calls %d, failed %d (%v), %.1f s, %d tokens each, stream %t\n", int(calls), errs.count, errs.first, loadSeconds, o.Tokens, !o.Whole)
	fmt.Println("| VM | role | CPU µs/call above rest | CPU % in all | TCP written B/call | write(2)/call | RSS MiB |")
	for _, p := range f.vms {
		if p.dc != f.dc(0) {
			continue
		}
		b, a := before.usage[p], after.usage[p]
		ib, ia := idleBefore.usage[p], idleAfter.usage[p]
		// perCall returns the growth of a value per call, less its growth at rest.
		perCall := func(b, a, ib, ia float64) float64 { return (a - b - (ia-ib)/idleSeconds*loadSeconds) / calls }
		fmt.Printf("| %s | %s | %.0f | %.1f | %.0f | %.1f | %.1f |\n", p.id, r.roleNames(p),
			perCall(float64(b.cpu), float64(a.cpu), float64(ib.cpu), float64(ia.cpu))/float64(time.Microsecond),
			(a.cpu-b.cpu).Seconds()/loadSeconds*100,
			perCall(float64(b.bytesWritten), float64(a.bytesWritten), float64(ib.bytesWritten), float64(ia.bytesWritten)),
			perCall(float64(b.writeCalls), float64(a.writeCalls), float64(ib.writeCalls), float64(ia.writeCalls)),
			float64(a.rss)/(1<<20))
	}
	reads := float64(after.reads-before.reads) - float64(idleAfter.reads-idleBefore.reads)/idleSeconds*loadSeconds
	writes := float64(after.writes-before.writes) - float64(idleAfter.writes-idleBefore.writes)/idleSeconds*loadSeconds
	fmt.Printf("platform above rest: %.3f reads/call, %.3f writes/call\n", reads/calls, writes/calls)
	return nil
}

// send starts calls at a fixed rate, whether or not earlier calls have ended, and waits
// for all. Failed calls are counted in errs.
func (o *loadOptions) send(ctx context.Context, f *fleet, front *process, programs []entity.ProgramID, errs *callErrors) error {
	body := chatBody(o.Tokens, o.Size, !o.Whole)
	interval := time.Second / time.Duration(o.Rate)
	began := time.Now()
	var all sync.WaitGroup
	for i := range o.Rate * o.Seconds {
		if err := pause(ctx, time.Until(began.Add(time.Duration(i)*interval))); err != nil {
			return err
		}
		all.Go(func() {
			_, err := f.chat(programURL(front, programs[i%len(programs)]), body)
			errs.add(err)
		})
	}
	all.Wait()
	return nil
}
