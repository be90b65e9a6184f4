// Command ibisstall is the scheduler for agent programs. Each subcommand is
// defined in its own file, which registers it from an init function.
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
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is a subcommand. Its handler is a pointer to a struct that declares the
// options by go-flags tags and implements flags.Commander. A command without a handler
// only groups the subcommands in sub.
type command struct {
	name     string
	short    string
	long     string
	examples []string // command lines
	handler  any
	sub      []command
}

// commands are the registered top-level subcommands.
var commands []command

// register adds a top-level subcommand. It is called from init functions.
func register(c command) { commands = append(commands, c) }

// usageError reports an invalid command line; its exit code is exitUsage.
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
	executed := false
	parser, err := newParser(&global, &executed)
	if err != nil {
		fmt.Fprintln(stderr, "ibisstall:", err)
		return exitFailure
	}
	rest, err := parser.ParseArgs(args)
	if global.Version && err == nil {
		fmt.Fprintln(stdout, versionText())
		return exitOK
	}
	if parser.Active == nil && err == nil {
		err = subcommandError(rest)
	}
	var flagErr *flags.Error
	if err != nil && !executed && !errors.As(err, &flagErr) {
		err = &usageError{err.Error()} // an argument that can't be parsed
	}
	return reportError(err, stdout, stderr)
}

// newParser returns the command-line parser. The parser sets *executed before
// it executes a subcommand.
func newParser(global *globalOptions, executed *bool) (*flags.Parser, error) {
	parser := flags.NewNamedParser("ibisstall", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	parser.ShortDescription = "scheduler for agent programs"
	parser.CommandHandler = func(c flags.Commander, args []string) error {
		*executed = true
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
	if c.handler == nil {
		c.handler = &struct{}{}
	}
	added, err := parent.AddCommand(c.name, c.short, long, c.handler)
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

// execute runs a subcommand. Arguments left over after parsing are a usage
// error.
func execute(c flags.Commander, args []string) error {
	if c == nil {
		return nil
	}
	if len(args) > 0 {
		return &usageError{fmt.Sprintf("unexpected argument %q", args[0])}
	}
	return c.Execute(args)
}

func subcommandError(args []string) error {
	if len(args) > 0 {
		return &usageError{fmt.Sprintf("unknown subcommand %q", args[0])}
	}
	return &usageError{"no subcommand given"}
}

// reportError prints an error and returns the exit code for it.
func reportError(err error, stdout, stderr io.Writer) int {
	var flagErr *flags.Error
	var usage *usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, flagErr.Message)
		return exitOK
	case errors.As(err, &flagErr), errors.As(err, &usage):
		fmt.Fprintf(stderr, "ibisstall: %v\nTry `ibisstall --help` or `ibisstall SUBCOMMAND --help`.\n", err)
		return exitUsage
	default:
		fmt.Fprintln(stderr, "ibisstall:", err)
		return exitFailure
	}
}
