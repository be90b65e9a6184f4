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
		"Ends one VM and measures the time until all its programs have new owners and a call of one of them is answered.", o)
	return err
}

// ownedPrograms returns the total number of programs that the VMs own.
func (f *fleet) ownedPrograms() int {
	n := 0
	for _, p := range f.vms {
		n += int(f.metrics(p)["ibisstall_programs_owned_count"])
	}
	return n
}

func (o *adoptOptions) measure(ctx context.Context, f *fleet) error {
	victim := f.vms[len(f.vms)-1]
	sameDC := slices.DeleteFunc(slices.Clone(f.vms), func(p *process) bool { return p.dc != victim.dc })
	programs, err := f.createMany(o.Programs, func(i int) *process { return sameDC[i%len(sameDC)] },
		func(id entity.ProgramID) bool { return f.owner(id) == victim })
	if err != nil {
		return err
	}
	body := chatBody(1, 100, false)
	if _, err := f.chat(programURL(sameDC[0], programs[0]), body); err != nil {
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
		err := f.await(ctx, failureTimeout, "a call is answered", func() bool {
			_, err := f.chat(programURL(f.vms[0], programs[len(programs)/2]), body)
			return err == nil
		})
		if err != nil {
			answered <- -time.Millisecond // printed as -1
			return
		}
		answered <- time.Since(began)
	}()
	suspected, err := f.awaitDetection(ctx, began)
	if err != nil {
		return err
	}
	declaredDead := time.Duration(0)
	if !o.Drain {
		if err := f.await(ctx, failureTimeout, "a VM has declared the killed VM dead", f.anyDead); err != nil {
			return err
		}
		declaredDead = time.Since(began)
	}
	if err := f.await(ctx, failureTimeout, "all programs have owners", func() bool { return f.ownedPrograms() >= total }); err != nil {
		fmt.Printf("%d of %d programs have owners\n", f.ownedPrograms(), total)
		return err
	}
	allOwned := time.Since(began)
	nextAnswered := <-answered
	untilExit := time.Duration(0)
	if o.Drain {
		<-victim.exited
		untilExit = time.Since(began)
	}
	counters := f.platform.Counters()
	fmt.Println("| VMs | programs | signal | first VM suspects ms | first VM takes it for dead ms | all owned ms | of these after the death ms | next turn answered ms | exit ms | reads | writes |")
	fmt.Printf("| %d | %d | %v | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %d | %d |\n", len(f.vms)+1, o.Programs, signal,
		ms(slices.Min(suspected)), ms(declaredDead), ms(allOwned), ms(allOwned-declaredDead), ms(nextAnswered), ms(untilExit), counters.Reads-reads, counters.Writes-writes)
	return nil
}
