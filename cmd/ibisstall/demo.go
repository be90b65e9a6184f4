package main

import (
	"context"
	"os"
	"time"

	"ibisstall.example/ibisstall/internal/demo"
)

func init() {
	register(command{
		name:     "demo",
		short:    "show two conversations on a fleet in one process",
		long:     "Starts stand-ins and nine VMs in three data centres in one process, runs a tasting conversation and a paper round on them, kills the VM that owns each program between two turns, and checks that nothing was lost or duplicated.",
		examples: []string{"ibisstall demo"},
		handler:  &demoCommand{},
	})
}

type demoCommand struct{}

const demoTimeout = 2 * time.Minute

// Execute implements flags.Commander.
func (*demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	return demo.Run(ctx, os.Stdout)
}
