// Command scale measures what a fleet of ibisstall VMs costs. It builds the
// command, starts real VM processes before stand-ins in its own process, and
// prints one table for each measurement. Processor time and I/O of a VM come
// from /proc, so that other work on the machine matters little. Run it as
//
//	go run ./test/scale rest --vms 24
//
// with --help for the other measurements. docs/CAPACITY.md is worked out from
// its figures.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// fleetOptions describe the fleet that is measured.
type fleetOptions struct {
	VMs       int    `long:"vms" default:"3" description:"number of VMs in all"`
	DCs       int    `long:"dcs" default:"3" description:"number of data centres that they are spread over"`
	Engines   int    `long:"engines" default:"3" description:"number of engines in each data centre"`
	Listed    int    `long:"listed" default:"0" description:"further runners in the VM list, in a data centre without VMs"`
	DelayMS   int64  `long:"platform-delay" default:"0" description:"time the platform waits before it acts, in ms"`
	Settings  string `long:"settings" description:"further lines of each INI file, separated by ;"`
	Binary    string `long:"binary" description:"the built command; built anew if empty"`
	DecodeUS  int64  `long:"decode" default:"0" description:"time for one token, in µs"`
	KeepTrace bool   `long:"logs" description:"print the ends of the VMs' logs at the end"`
}

// measurement is one subcommand.
type measurement struct {
	fleetOptions
	run func(ctx context.Context, f *fleet) error
}

// Execute implements flags.Commander.
func (m *measurement) Execute([]string) (err error) {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	f, err := startFleet(ctx, m.fleetOptions)
	if err != nil {
		return err
	}
	defer func() {
		if m.KeepTrace {
			f.printLogs()
		}
		f.close()
	}()
	return m.run(ctx, f)
}

func main() {
	parser := flags.NewNamedParser("scale", flags.Default)
	for _, add := range []func(*flags.Parser) error{addRest, addSpread, addFailures, addAdopt, addCalls, addLoad, addMemory} {
		if err := add(parser); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}
