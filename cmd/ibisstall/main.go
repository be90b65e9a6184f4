// Command ibisstall is the scheduler for agent programs. Each subcommand
// stands in a file of its own and registers itself.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitWrongUse = 2
)

// command is one subcommand. Its data is a struct with go-flags tags, which
// either implements flags.Commander or has further subcommands.
type command struct {
	name     string
	short    string
	long     string
	examples []string // command lines
	data     any
	sub      []command
}

// commands are the registered subcommands.
var commands []command

// register adds a subcommand; each file calls it from its init function.
func register(c command) { commands = append(commands, c) }

// usageError is an error of the user's command line, not of the work.
type usageError struct{ reason string }

// Error implements error.
func (e *usageError) Error() string { return e.reason }

type globalOptions struct {
	Version bool `long:"version" description:"print the version and the commit, and exit"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	var global globalOptions
	started := false
	parser, err := newParser(&global, &started)
	if err != nil {
		fmt.Fprintln(stderr, "ibisstall:", err)
		return exitFailed
	}
	rest, err := parser.ParseArgs(args)
	if global.Version && err == nil {
		fmt.Fprintln(stdout, versionText())
		return exitDone
	}
	if parser.Active == nil && err == nil {
		err = noSubcommand(rest)
	}
	var flagErr *flags.Error
	if err != nil && !started && !errors.As(err, &flagErr) {
		err = &usageError{err.Error()} // an argument that can't be parsed
	}
	return report(err, stdout, stderr)
}

// newParser returns the parser of the command line. It sets started when it
// hands over to a subcommand.
func newParser(global *globalOptions, started *bool) (*flags.Parser, error) {
	parser := flags.NewNamedParser("ibisstall", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	parser.ShortDescription = "scheduler for agent programs"
	parser.CommandHandler = func(c flags.Commander, args []string) error {
		*started = true
		return execute(c, args)
	}
	if _, err := parser.AddGroup("Options", "", global); err != nil {
		return nil, err
	}
	for _, c := range commands {
		if err := addCommand(parser.Command, c); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

func addCommand(parent *flags.Command, c command) error {
	long := c.long
	if len(c.examples) > 0 {
		long += "\n\nExamples:\n$ " + strings.Join(c.examples, "\n$ ")
	}
	if c.data == nil {
		c.data = &struct{}{}
	}
	added, err := parent.AddCommand(c.name, c.short, long, c.data)
	if err != nil {
		return fmt.Errorf("subcommand %s: %w", c.name, err)
	}
	for _, sub := range c.sub {
		if err := addCommand(added, sub); err != nil {
			return err
		}
	}
	return nil
}

// execute runs a subcommand; arguments that none of its options took are wrong
// use.
func execute(c flags.Commander, args []string) error {
	if c == nil {
		return nil
	}
	if len(args) > 0 {
		return &usageError{fmt.Sprintf("unexpected argument %q", args[0])}
	}
	return c.Execute(args)
}

func noSubcommand(args []string) error {
	if len(args) > 0 {
		return &usageError{fmt.Sprintf("unknown subcommand %q", args[0])}
	}
	return &usageError{"no subcommand given"}
}

// report prints an error and returns the exit code for it.
func report(err error, stdout, stderr io.Writer) int {
	var flagErr *flags.Error
	var usage *usageError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, flagErr.Message)
		return exitDone
	case errors.As(err, &flagErr), errors.As(err, &usage):
		fmt.Fprintf(stderr, "ibisstall: %v\nTry `ibisstall --help` or `ibisstall SUBCOMMAND --help`.\n", err)
		return exitWrongUse
	default:
		fmt.Fprintln(stderr, "ibisstall:", err)
		return exitFailed
	}
}
