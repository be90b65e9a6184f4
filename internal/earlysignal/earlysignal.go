// Package earlysignal receives the signals of a VM's process from before main on: a
// signal that comes while the other packages are initialised must not end the
// process. It imports little, so that it is initialised early.
package earlysignal

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// vmCommand is the subcommand whose process receives its signals before main, unless it has
// checkFlag. All others keep the default actions until they ask for signals.
const (
	vmCommand = "forward"
	checkFlag = "--check"
)

// Signal is a received signal.
type Signal struct {
	os.Signal
	At time.Time // when it was received
}

var (
	received = make(chan os.Signal, 1)
	stop     = make(chan Signal, 1)
	reload   = make(chan os.Signal, 1)
)

func init() {
	if len(os.Args) > 1 && os.Args[1] == vmCommand && !slices.Contains(os.Args, checkFlag) {
		signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
		signal.Notify(reload, syscall.SIGHUP)
	}
	go func() { stop <- Signal{Signal: <-received, At: time.Now()} }()
}

// Stop returns the channel that receives the first SIGTERM or SIGINT, from the first call on.
func Stop() <-chan Signal {
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	return stop
}

// Reload returns the channel that receives SIGHUP, from the first call on.
func Reload() <-chan os.Signal {
	signal.Notify(reload, syscall.SIGHUP)
	return reload
}
