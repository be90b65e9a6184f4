// Command scale measures the cost of a fleet of ibisstall VMs. It builds the
// ibisstall command, starts real VM processes that use simulated engines and a
// simulated platform in its own process, and prints one table for each
// measurement. The CPU time and I/O of a VM are read from /proc, so that other
// work on the machine has little influence on the results. Run it as
//
//	go run ./test/scale rest --vms 24
//
// and see --help for the other measurements. docs/CAPACITY.md is based on its
// results.
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

// fleetOptions are the options of the fleet that all subcommands share.
type fleetOptions struct {
	VMs              int    `long:"vms" default:"3" description:"number of VMs in all"`
	DCs              int    `long:"dcs" default:"3" description:"number of data centres that they are spread over"`
	Engines          int    `long:"engines" default:"3" description:"number of engines in each data centre"`
	ListedRunners    int    `long:"listed" default:"0" description:"further runners in the VM list, in a data centre without VMs"`
	PlatformDelayMS  int64  `long:"platform-delay" default:"0" description:"time the platform waits before it acts, in ms"`
	Settings         string `long:"settings" description:"further lines of each INI file, separated by ;"`
	Binary           string `long:"binary" description:"the built command; built anew if empty"`
	DecodePerTokenUS int64  `long:"decode" default:"0" description:"time for one token, in µs"`
	PrintLogs        bool   `long:"logs" description:"print the ends of the VMs' logs at the end"`
}

// measurement is one subcommand: it starts a fleet and runs a function with it.
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
		if m.PrintLogs {
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
