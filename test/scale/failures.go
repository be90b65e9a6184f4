package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

// failureOptions are the options of the detect subcommand.
type failureOptions struct {
	measurement
	Kills int `long:"kills" default:"3" description:"number of VMs to kill, one after the other"`
}

func addFailures(parser *flags.Parser) error {
	o := &failureOptions{}
	o.run = o.measure
	_, err := parser.AddCommand("detect", "detection of killed VMs",
		"Measures the time from kill -9 of a VM until the other VMs declare it dead.", o)
	return err
}

// failureTimeout limits the wait for each consequence of a failure.
const failureTimeout = 30 * time.Second

func (o *failureOptions) measure(ctx context.Context, f *fleet) error {
	var all, suspect, first, last []time.Duration
	for i := range o.Kills {
		victim := f.vms[rand.N(len(f.vms))]
		began, err := f.endVM(victim, syscall.SIGKILL)
		if err != nil {
			return err
		}
		suspected, err := f.awaitDetection(ctx, began)
		if err != nil {
			return err
		}
		suspect = append(suspect, suspected...)
		took, err := f.awaitDeaths(ctx, began, i+1)
		if err != nil {
			return err
		}
		all = append(all, took...)
		first = append(first, slices.Min(took))
		last = append(last, slices.Max(took))
	}
	fmt.Println("| VMs at first | kills | suspected by one VM p50 ms | dead: first VM p50 ms | one VM p50 ms | p99 ms | last VM max ms |")
	fmt.Printf("| %d | %d | %.0f | %.0f | %.0f | %.0f | %.0f |\n", len(f.vms)+o.Kills, o.Kills, ms(quantile(suspect, 0.5)),
		ms(quantile(first, 0.5)), ms(quantile(all, 0.5)), ms(quantile(all, 0.99)), ms(slices.Max(last)))
	return nil
}

// endVM sends a signal to a VM and returns the time just before the signal. After
// SIGKILL it waits until the VM has exited and removes it from the fleet.
func (f *fleet) endVM(victim *process, signal syscall.Signal) (began time.Time, err error) {
	began = time.Now()
	if err := victim.cmd.Process.Signal(signal); err != nil {
		return began, err
	}
	if signal == syscall.SIGKILL {
		f.remove(victim)
	}
	return began, nil
}

// anyDead reports whether any VM has declared another one dead.
func (f *fleet) anyDead() bool {
	for _, p := range f.vms {
		if f.metrics(p)[deadGauge] > 0 {
			return true
		}
	}
	return false
}

// deadGauge is the metric for the number of VMs that a VM has declared dead.
const deadGauge = `ibisstall_membership_vms_count{state="dead"}`

// awaitDetection waits until each VM reports no more VMs alive than the fleet has, so
// no longer counts the ended VM, and returns the time since began for each.
func (f *fleet) awaitDetection(ctx context.Context, began time.Time) ([]time.Duration, error) {
	return f.timeEach(ctx, began, func(m map[string]float64) bool {
		n := m["ibisstall_vms_alive_count"]
		return n > 0 && int(n) <= len(f.vms)
	})
}

// awaitDeaths waits until each VM has declared n others dead, and returns the time
// since began for each.
func (f *fleet) awaitDeaths(ctx context.Context, began time.Time, n int) ([]time.Duration, error) {
	return f.timeEach(ctx, began, func(m map[string]float64) bool { return int(m[deadGauge]) >= n })
}

// timeEach waits until the metrics of each VM satisfy a condition, and returns the
// time since began for each.
func (f *fleet) timeEach(ctx context.Context, began time.Time, condition func(map[string]float64) bool) ([]time.Duration, error) {
	var mu sync.Mutex
	var took []time.Duration
	f.forEachVM(func(p *process) {
		err := f.await(ctx, failureTimeout, p.id+" detects the failure", func() bool { return condition(f.metrics(p)) })
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		took = append(took, time.Since(began))
	})
	if len(took) < len(f.vms) {
		return nil, fmt.Errorf("%d of %d VMs detected the failure: %w", len(took), len(f.vms), errTimedOut)
	}
	return took, nil
}
