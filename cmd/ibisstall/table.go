package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"ibisstall.example/ibisstall/internal/client"
	"ibisstall.example/ibisstall/internal/configcsv"
	"ibisstall.example/ibisstall/internal/entity"
)

func init() {
	register(command{
		name:  "table",
		short: "read and edit the table of weights and limits",
		long: "The table has a row for each workspace, endpoint, tool, service and model. It is edited as CSV, " +
			"for example in a spreadsheet: get it, change it, check the diff, apply it.",
		examples: []string{
			"ibisstall table get --output table.csv",
			"ibisstall table diff table.csv",
			"ibisstall table apply table.csv",
		},
		sub: []command{
			{
				name: "get", short: "write the table in force as CSV", handler: &tableGet{},
				long:     "Writes the table in force, or an earlier version, as CSV with its version.",
				examples: []string{"ibisstall table get --output table.csv", "ibisstall table get --version 41"},
			},
			{
				name: "diff", short: "compare a CSV file with the table in force", handler: &tableDiff{},
				long:     "Prints the rows and cells that differ between the table in force and a CSV file.",
				examples: []string{"ibisstall table diff table.csv"},
			},
			{
				name: "apply", short: "put a CSV file in force", handler: &tableApply{},
				long: "Puts a CSV file in force as the next version and prints the changes. The whole file is rejected if a cell " +
					"is invalid, or if the table has changed since the file was read.",
				examples: []string{"ibisstall table apply table.csv", "ibisstall table apply --author carla table.csv"},
			},
			{
				name: "history", short: "list the versions of the table", handler: &tableHistory{},
				long:     "Lists the retained versions with their authors and times.",
				examples: []string{"ibisstall table history", "ibisstall table history --json"},
			},
			{
				name: "revert", short: "put a former version in force again", handler: &tableRevert{},
				long:     "Puts the rows of an earlier version in force as the next version.",
				examples: []string{"ibisstall table revert 41"},
			},
		},
	})
}

type tableGet struct {
	remoteOptions
	Output  string  `long:"output" short:"o" value-name:"FILE" description:"write to a file instead of standard output"`
	Version *uint64 `long:"version" value-name:"N" description:"a former version instead of the one in force"`
}

// Execute implements flags.Commander.
func (c *tableGet) Execute([]string) error {
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		t, err := c.fetch(ctx, api)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(t)
		}
		if c.Output == "" {
			return configcsv.Write(os.Stdout, &t.Config)
		}
		return writeFile(c.Output, func(w io.Writer) error { return configcsv.Write(w, &t.Config) })
	})
}

func (c *tableGet) fetch(ctx context.Context, api *client.Client) (*client.Table, error) {
	if c.Version == nil {
		return api.Table(ctx)
	}
	versions, err := api.TableHistory(ctx)
	if err != nil {
		return nil, err
	}
	for _, t := range versions {
		if t.Version == *c.Version {
			return t, nil
		}
	}
	return nil, fmt.Errorf("version %d is not kept; see `ibisstall table history`", *c.Version)
}

// writeFile creates or truncates a file and writes to it. It also reports the
// error of closing it, which can mean lost data.
func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// csvArgument is the positional argument that names a CSV file.
type csvArgument struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"CSV file; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (a *csvArgument) read() (*entity.Config, error) {
	in := io.Reader(os.Stdin)
	if a.Args.File != "-" {
		f, err := os.Open(a.Args.File)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	t, err := configcsv.Read(in)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", a.Args.File, err)
	}
	return t, nil
}

type tableDiff struct {
	remoteOptions
	csvArgument
}

// Execute implements flags.Commander.
func (c *tableDiff) Execute([]string) error {
	edited, err := c.read()
	if err != nil {
		return err
	}
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		current, err := api.Table(ctx)
		if err != nil {
			return err
		}
		if edited.Version != current.Version {
			fmt.Fprintf(os.Stderr, "Note: the file was read at version %d, in force is version %d.\n", edited.Version, current.Version)
		}
		return c.printChanges(&current.Config, edited)
	})
}

// printChanges prints the differences between two tables.
func (o *remoteOptions) printChanges(before, after *entity.Config) error {
	changes := configcsv.Diff(before, after)
	if o.JSON {
		if changes == nil {
			changes = []configcsv.Change{}
		}
		return printJSON(changes)
	}
	if len(changes) == 0 {
		fmt.Println("No difference.")
		return nil
	}
	return configcsv.WriteChanges(os.Stdout, changes)
}

type tableApply struct {
	remoteOptions
	csvArgument
	Author string `long:"author" value-name:"NAME" description:"who makes the edit; the user of the operating system if absent"`
}

// Execute implements flags.Commander.
func (c *tableApply) Execute([]string) error {
	edited, err := c.read()
	if err != nil {
		return err
	}
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		current, err := api.Table(ctx)
		if err != nil {
			return err
		}
		if edited.Version != current.Version {
			return staleFileError(edited, current)
		}
		applied, err := api.PutTable(ctx, newEdit(c.Author, current.ETag), edited.Rows)
		if client.IsStaleEdit(err) {
			return fmt.Errorf("%w\nNothing was changed. Someone else edited the table at the same time: get it again and redo your edit", err)
		}
		if err != nil {
			return err
		}
		if err := c.printChanges(&current.Config, edited); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "Version %d is in force.\n", applied.Version)
		return nil
	})
}

// staleFileError returns the error for a file that is based on another version than
// the one in force.
func staleFileError(edited *entity.Config, current *client.Table) error {
	return fmt.Errorf("the table changed since the file was read: the file is based on version %d, in force is version %d, by %s at %s.\n"+
		"Nothing was changed. See `ibisstall table diff`, get the table again and redo your edit",
		edited.Version, current.Version, orDash(current.Author), current.At.UTC().Format(time.RFC3339))
}

// newEdit returns an edit that is based on the version with the given ETag. An empty
// author means the user of the operating system. The edit has a random id, so that
// it takes effect only once even if it is resent because its response was lost.
func newEdit(author, etag string) client.Edit {
	if author == "" {
		if u, err := user.Current(); err == nil {
			author = u.Username
		}
	}
	return client.Edit{ID: rand.Text(), Author: author, IfMatch: etag}
}

type tableHistory struct{ remoteOptions }

// Execute implements flags.Commander.
func (c *tableHistory) Execute([]string) error {
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		versions, err := api.TableHistory(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(versions)
		}
		return printColumns("VERSION\tAT (UTC)\tAUTHOR\tROWS", func(w io.Writer) {
			for _, t := range versions {
				fmt.Fprintf(w, "%d\t%s\t%s\t%d\n", t.Version, t.At.UTC().Format(time.DateTime), orDash(t.Author), len(t.Rows))
			}
		})
	})
}

type tableRevert struct {
	remoteOptions
	Author string `long:"author" value-name:"NAME" description:"who makes the edit; the user of the operating system if absent"`
	Args   struct {
		Version uint64 `positional-arg-name:"VERSION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *tableRevert) Execute([]string) error {
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		current, err := api.Table(ctx)
		if err != nil {
			return err
		}
		applied, err := api.RevertTable(ctx, newEdit(c.Author, current.ETag), c.Args.Version)
		if err != nil {
			return err
		}
		if err := c.printChanges(&current.Config, &applied.Config); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "Version %d is in force, with the rows of version %d.\n", applied.Version, c.Args.Version)
		return nil
	})
}
