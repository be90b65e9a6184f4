package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/logging"
	"ibisstall.example/ibisstall/internal/settings"
	"ibisstall.example/ibisstall/internal/vm"
)

func init() {
	register(command{
		name:     "serve",
		short:    "run one VM",
		long:     "Runs one VM until SIGTERM or SIGINT, then drains it: lets its calls in flight finish, hands over its programs and exits. The log goes to standard error as JSON lines.",
		examples: []string{"ibisstall serve --config /etc/ibisstall.ini"},
		handler:  &serveCommand{},
	})
}

type serveCommand struct {
	Config string `long:"config" required:"true" value-name:"FILE" description:"settings of the VM"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	if s.VM.ID == "" {
		s.VM.ID = settings.GenerateVMID(s.VM.DC)
	}
	log, err := logging.New(os.Stderr, s.Log.Level, s.VM.ID, s.VM.DC)
	if err != nil {
		return err
	}
	defer log.Sync() // fails if standard error is a terminal or a pipe
	// The HTTP server and net/rpc write to the standard library's log.
	restore, err := zap.RedirectStdLogAt(log, zap.WarnLevel)
	if err != nil {
		return err
	}
	defer restore()
	v, err := vm.New(s, log)
	if err != nil {
		return err
	}
	return v.Run(ctx)
}
