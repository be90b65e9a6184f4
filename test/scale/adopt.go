package main

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"ibisstall.example/ibisstall/internal/entity"
)

// adoptOptions are the options of the adopt subcommand.
type adoptOptions struct {
	measurement
	Programs int  `long:"programs" default:"1000" description:"programs on the VM that ends"`
	Drain    bool `long:"drain" description:"end the VM by SIGTERM instead of kill -9"`
}

func addAdopt(parser *flags.Parser) error {
	o := &adoptOptions{}
	o.run = o.measure
	_, err := parser.AddCommand("adopt", "adoption of the programs of a VM",
		"Ends one VM and measures the time until its programs have new owners and answer.", o)
	return err
}

// ownedPrograms returns the number of programs that all VMs own.
func (f *fleet) ownedPrograms() int {
	n := 0
	for _, p := range f.vms {
		n += int(f.metrics(p)["ibisstall_programs_owned_count"])
	}
	return n
}

func (o *adoptOptions) measure(ctx context.Context, f *fleet) error {
	victim := f.vms[len(f.vms)-1]
	inDC := slices.DeleteFunc(slices.Clone(f.vms), func(p *process) bool { return p.dc != victim.dc })
	made, err := f.createMany(o.Programs, func(i int) *process { return inDC[i%len(inDC)] },
		func(id entity.ProgramID) bool { return f.owner(id) == victim })
	if err != nil {
		return err
	}
	body := chatBody(1, 100, false)
	if _, err := f.chat(programURL(inDC[0], made[0]), body); err != nil {
		return err
	}
	total := f.ownedPrograms()
	reads, writes := f.platform.Counters().Reads, f.platform.Counters().Writes
	signal := syscall.SIGKILL
	if o.Drain {
		signal = syscall.SIGTERM
	}
	began, err := f.endVM(victim, signal)
	if err != nil {
		return err
	}
	if o.Drain {
		f.vms = slices.DeleteFunc(f.vms, func(p *process) bool { return p == victim })
	}
	answered := make(chan time.Duration, 1)
	go func() {
		err := f.await(ctx, failureTimeout, "a turn is answered", func() bool {
			_, err := f.chat(programURL(f.vms[0], made[len(made)/2]), body)
			return err == nil
		})
		if err != nil {
			answered <- -time.Millisecond
			return
		}
		answered <- time.Since(began)
	}()
	seen, err := f.awaitDetection(ctx, began)
	if err != nil {
		return err
	}
	dead := time.Duration(0)
	if !o.Drain {
		if err := f.await(ctx, failureTimeout, "the VM is dead", f.anyDead); err != nil {
			return err
		}
		dead = time.Since(began)
	}
	if err := f.await(ctx, failureTimeout, "all programs have owners", func() bool { return f.ownedPrograms() >= total }); err != nil {
		fmt.Printf("owned %d of %d\n", f.ownedPrograms(), total)
		return err
	}
	all := time.Since(began)
	next := <-answered
	exit := time.Duration(0)
	if o.Drain {
		<-victim.exited
		exit = time.Since(began)
	}
	c := f.platform.Counters()
	fmt.Println("| VMs | programs | signal | first VM suspects ms | first VM takes it for dead ms | all owned ms | of these after the death ms | next turn answered ms | exit ms | reads | writes |")
	fmt.Printf("| %d | %d | %v | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %d | %d |\n", len(f.vms)+1, o.Programs, signal,
		ms(slices.Min(seen)), ms(dead), ms(all), ms(all-dead), ms(next), ms(exit), c.Reads-reads, c.Writes-writes)
	return nil
}
