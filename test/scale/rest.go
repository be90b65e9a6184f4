package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"
)

// restOptions are the options of the rest subcommand.
type restOptions struct {
	measurement
	Seconds int `long:"seconds" default:"20" description:"time to measure over"`
	Change  int `long:"change" default:"0" description:"time between two changes of one listed runner, in seconds; 0 for none"`
	Settle  int `long:"settle" default:"10" description:"time to wait after the start, in seconds"`
}

func addRest(parser *flags.Parser) error {
	o := &restOptions{}
	o.run = o.measure
	_, err := parser.AddCommand("rest", "cost of a VM at rest", "Measures what the VMs of a fleet without calls cost.", o)
	return err
}

// waitAtRest waits for the duration of the measurement. With --change it marks one more
// listed runner as leaving at the start of each interval.
func (o *restOptions) waitAtRest(ctx context.Context, f *fleet) error {
	if o.Change == 0 {
		return pause(ctx, time.Duration(o.Seconds)*time.Second)
	}
	for i := range o.Seconds / o.Change {
		f.listed[len(f.listed)-1-i].Leaving = true
		f.store.SetVMs(f.listed)
		if err := pause(ctx, time.Duration(o.Change)*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// meanMax accumulates the mean and the maximum of a value over the fleet.
type meanMax struct {
	sum, max float64
	n        int
}

func (a *meanMax) add(v float64) {
	a.sum += v
	a.max = max(a.max, v)
	a.n++
}

func (a *meanMax) mean() float64 { return a.sum / float64(a.n) }

func (o *restOptions) measure(ctx context.Context, f *fleet) error {
	if err := pause(ctx, time.Duration(o.Settle)*time.Second); err != nil {
		return err
	}
	before, after, err := f.sampleAround(func() error { return o.waitAtRest(ctx, f) })
	if err != nil {
		return err
	}
	span := after.at.Sub(before.at).Seconds()
	var cpu, rss, gossip, tcp, openSockets, wakeUps meanMax
	for _, p := range f.vms {
		b, a := before.usage[p], after.usage[p]
		cpu.add((a.cpu - b.cpu).Seconds() / span * 100)
		rss.add(float64(a.rss) / (1 << 20))
		const sent = "ibisstall_membership_bytes_sent_total"
		gossip.add((after.metrics[p][sent] - before.metrics[p][sent]) / span)
		tcp.add(float64(a.bytesWritten-b.bytesWritten) / span)
		wakeUps.add(float64(a.switches-b.switches) / span)
		openSockets.add(float64(sockets(p)))
	}
	fmt.Println("| VMs | CPU % of a core, mean (max) | RSS MiB, mean (max) | gossip B/s sent, mean (max) | TCP B/s written, mean (max) | sockets, mean (max) | thread wake-ups/s, mean | platform reads/s in all | platform writes/s in all |")
	fmt.Printf("| %d | %.2f (%.2f) | %.1f (%.1f) | %.0f (%.0f) | %.0f (%.0f) | %.1f (%.0f) | %.0f | %.1f | %.1f |\n", len(f.vms),
		cpu.mean(), cpu.max, rss.mean(), rss.max, gossip.mean(), gossip.max, tcp.mean(), tcp.max, openSockets.mean(), openSockets.max, wakeUps.mean(),
		float64(after.reads-before.reads)/span, float64(after.writes-before.writes)/span)
	return nil
}
