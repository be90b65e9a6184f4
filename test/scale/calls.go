package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jessevdk/go-flags"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/httpclient"
)

// callOptions are the options of the calls subcommand.
type callOptions struct {
	measurement
	Calls  int `long:"calls" default:"300" description:"calls of each kind"`
	Tokens int `long:"tokens" default:"16" description:"tokens of each answer"`
	Think  int `long:"think" default:"60" description:"longest pause before each call, in ms"`
}

func addCalls(parser *flags.Parser) error {
	o := &callOptions{}
	o.run = o.measure
	_, err := parser.AddCommand("calls", "time added to a call",
		"Makes calls one after the other, directly to an engine, through the owner VM and through another VM, in turn.", o)
	return err
}

// route is one way to send calls to an engine, with the durations of these calls.
type route struct {
	name         string
	url          func(i int) string // base URL for the i-th call
	first, total []time.Duration    // until the first token and until the end of the answer
}

func (o *callOptions) measure(ctx context.Context, f *fleet) error {
	front, ownerVM := f.vms[0], f.vms[f.options.DCs]
	programs, err := f.createMany(16, func(i int) *process { return front }, func(id entity.ProgramID) bool { return f.owner(id) == ownerVM })
	if err != nil {
		return err
	}
	writes, err := o.timeWrites(ctx, f)
	if err != nil {
		return err
	}
	fmt.Printf("one durable write, directly: p50 %.2f ms, p99 %.2f ms\n", ms(quantile(writes, 0.5)), ms(quantile(writes, 0.99)))
	program := func(i int) entity.ProgramID { return programs[i%len(programs)] }
	fmt.Println("| platform ms | stream | path | first token p50 ms | p99 | whole answer p50 ms | p99 | added p50 ms | added p99 |")
	for _, stream := range []bool{true, false} {
		routes := []*route{
			{name: "direct", url: func(int) string { return f.engines[0].URL + "/v1" }},
			{name: "owner", url: func(i int) string { return programURL(ownerVM, program(i)) }},
			{name: "other VM", url: func(i int) string { return programURL(front, program(i)) }},
		}
		body := chatBody(o.Tokens, 100, stream)
		for i := range o.Calls {
			for _, r := range routes {
				if err := pause(ctx, rand.N(time.Duration(1+o.Think)*time.Millisecond)); err != nil {
					return err
				}
				t, err := f.chat(r.url(i), body)
				if err != nil {
					return fmt.Errorf("call %d by route %s: %w", i, r.name, err)
				}
				r.first = append(r.first, t.first)
				r.total = append(r.total, t.total)
			}
		}
		for _, r := range routes {
			fmt.Printf("| %d | %t | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n", f.options.PlatformDelayMS, stream, r.name,
				ms(quantile(r.first, 0.5)), ms(quantile(r.first, 0.99)), ms(quantile(r.total, 0.5)), ms(quantile(r.total, 0.99)),
				ms(quantile(r.total, 0.5)-quantile(routes[0].total, 0.5)), ms(quantile(r.total, 0.99)-quantile(routes[0].total, 0.99)))
		}
	}
	return nil
}

// timeWrites makes writes directly to the platform and returns the duration of each.
func (o *callOptions) timeWrites(ctx context.Context, f *fleet) ([]time.Duration, error) {
	client := httpclient.New(httpclient.Options{BaseURL: f.platformURL, ObjectsURL: f.platformURL, VMListURL: f.platformURL, DC: f.dc(0)})
	defer client.Close()
	var took []time.Duration
	for i := range o.Calls {
		if err := pause(ctx, rand.N(time.Duration(1+o.Think)*time.Millisecond)); err != nil {
			return nil, err
		}
		write := platform.Write{Key: platform.Key{Table: "scale", ID: fmt.Sprint(i)}, Value: make([]byte, 1000)}
		began := time.Now()
		if err := client.Commit(ctx, []platform.Write{write}); err != nil {
			return nil, err
		}
		took = append(took, time.Since(began))
	}
	return took, nil
}
