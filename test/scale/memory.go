package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"ibisstall.example/ibisstall/internal/entity"
)

// memoryOptions are the options of the memory subcommand.
type memoryOptions struct {
	measurement
	Programs int `long:"programs" default:"5000" description:"programs to create on one VM"`
	Open     int `long:"open" default:"500" description:"calls to hold open"`
	Tokens   int `long:"tokens" default:"300" description:"tokens of the open calls; set --decode so that they last"`
}

func addMemory(parser *flags.Parser) error {
	o := &memoryOptions{}
	o.run = o.measure
	_, err := parser.AddCommand("memory", "memory of programs and open calls",
		"Measures the memory that owned programs and open calls add to their VMs.", o)
	return err
}

// memorySettle is the wait before memory is sampled, so that the garbage collector
// of the VMs can run. It is also the time over which idle CPU usage is measured.
const memorySettle = 5 * time.Second

func (o *memoryOptions) measure(ctx context.Context, f *fleet) error {
	r := f.chooseRoles()
	if r.front == nil || r.owner == nil {
		return fmt.Errorf("the first data centre needs more VMs: front and owner must be different VMs without the queue and batcher roles")
	}
	empty, err := o.settledSample(ctx, f)
	if err != nil {
		return err
	}
	owned := f.metrics(r.owner)["ibisstall_programs_owned_count"]
	programs, err := f.createMany(o.Programs, func(int) *process { return r.front }, func(id entity.ProgramID) bool { return f.owner(id) == r.owner })
	if err != nil {
		return err
	}
	full, err := o.settledSample(ctx, f)
	if err != nil {
		return err
	}
	owned = f.metrics(r.owner)["ibisstall_programs_owned_count"] - owned
	growth := float64(full.usage[r.owner].rss - empty.usage[r.owner].rss)
	fmt.Printf("programs: RSS of the owner %.1f -> %.1f MiB for %.0f programs: %.0f B each; CPU at rest %.2f -> %.2f %%\n",
		mib(empty.usage[r.owner].rss), mib(full.usage[r.owner].rss), owned, growth/owned, o.idleCPU(ctx, f, f.vms[0]), o.idleCPU(ctx, f, r.owner))
	return o.measureOpenCalls(ctx, f, r, programs, full)
}

// settledSample waits for memorySettle and returns a sample.
func (o *memoryOptions) settledSample(ctx context.Context, f *fleet) (sample, error) {
	if err := pause(ctx, memorySettle); err != nil {
		return sample{}, err
	}
	return f.sample()
}

// idleCPU returns the CPU usage of an idle VM over memorySettle, in percent of a core, or
// -1 on an error.
func (o *memoryOptions) idleCPU(ctx context.Context, f *fleet, p *process) float64 {
	before, after, err := f.sampleAround(func() error { return pause(ctx, memorySettle) })
	if err != nil {
		return -1
	}
	return (after.usage[p].cpu - before.usage[p].cpu).Seconds() / after.at.Sub(before.at).Seconds() * 100
}

// measureOpenCalls starts concurrent calls, spread over the programs, and prints the
// memory that they add to the VMs while in flight, compared with the sample before.
func (o *memoryOptions) measureOpenCalls(ctx context.Context, f *fleet, r roles, programs []entity.ProgramID, before sample) error {
	errs := &callErrors{}
	var all sync.WaitGroup
	body := chatBody(o.Tokens, 400, true)
	for i := range o.Open {
		all.Go(func() {
			_, err := f.chat(programURL(r.front, programs[i%len(programs)]), body)
			errs.add(err)
		})
	}
	during, err := o.settledSample(ctx, f)
	if err != nil {
		return err
	}
	all.Wait()
	for _, p := range []*process{r.front, r.owner} {
		fmt.Printf("open calls: %s RSS %.1f -> %.1f MiB for %d calls, %d failed: %.1f KiB each; sockets %d\n", r.roleNames(p),
			mib(before.usage[p].rss), mib(during.usage[p].rss), o.Open, errs.count,
			float64(during.usage[p].rss-before.usage[p].rss)/float64(o.Open)/1024, sockets(p))
	}
	if errs.first != nil {
		fmt.Println("first error:", errs.first)
	}
	return nil
}

func mib(bytes int64) float64 { return float64(bytes) / (1 << 20) }
