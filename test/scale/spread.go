package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"
)

// spreadOptions are the options of the spread subcommand.
type spreadOptions struct {
	measurement
	Edits int `long:"edits" default:"25" description:"number of edits"`
}

func addSpread(parser *flags.Parser) error {
	o := &spreadOptions{}
	o.run = o.measure
	_, err := parser.AddCommand("spread", "spread of a configuration version",
		"Measures the time from the acceptance of an edit until it is in force on each VM.", o)
	return err
}

// spreadTimeout limits the wait until one version is in force on all VMs.
const spreadTimeout = 10 * time.Second

func (o *spreadOptions) measure(ctx context.Context, f *fleet) error {
	var all, last []time.Duration
	for i := range o.Edits {
		if err := f.editTable(f.vms[rand.N(len(f.vms))], float64(2+i%7)); err != nil {
			return err
		}
		accepted := time.Now()
		var mu sync.Mutex
		slowest := time.Duration(0)
		missing := 0
		f.forEachVM(func(p *process) {
			err := f.await(ctx, spreadTimeout, "the version is in force", func() bool {
				return uint64(f.metrics(p)["ibisstall_config_version"]) >= f.tableVersion
			})
			took := time.Since(accepted)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing++
			}
			all = append(all, took)
			slowest = max(slowest, took)
		})
		if missing > 0 {
			return fmt.Errorf("version %d is not in force on %d VMs after %v", f.tableVersion, missing, spreadTimeout)
		}
		last = append(last, slowest)
		// A random pause, so that the edits hit different phases of the polling
		// interval.
		if err := pause(ctx, rand.N(500*time.Millisecond)); err != nil {
			return err
		}
	}
	fmt.Println("| VMs | edits | one VM p50 ms | p99 ms | last VM p50 ms | last VM max ms |")
	fmt.Printf("| %d | %d | %.0f | %.0f | %.0f | %.0f |\n", len(f.vms), o.Edits,
		ms(quantile(all, 0.5)), ms(quantile(all, 0.99)), ms(quantile(last, 0.5)), ms(slices.Max(last)))
	return nil
}

// quantile returns the value below which a fraction q of the values lies, or 0 if
// there are none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
