package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"ibisstall.example/ibisstall/internal/client"
	"ibisstall.example/ibisstall/internal/entity"
)

func init() {
	register(command{
		name:     "program",
		short:    "list, show and cancel programs",
		long:     "Lists, shows and cancels programs of all workspaces.",
		examples: []string{"ibisstall program list", "ibisstall program show amman-a.4k2m", "ibisstall program cancel amman-a.4k2m"},
		sub: []command{
			{
				name: "list", short: "list programs", data: &programList{},
				long:     "Lists the programs of all workspaces, sorted by id.",
				examples: []string{"ibisstall program list", "ibisstall program list --workspace couples --state active --json"},
			},
			{
				name: "show", short: "show a program", data: &programShow{},
				long:     "Shows a program and, with --history, its durable turns without their text.",
				examples: []string{"ibisstall program show amman-a.4k2m", "ibisstall program show --history amman-a.4k2m"},
			},
			{
				name: "cancel", short: "cancel programs and their sub-agents", data: &programCancel{},
				long:     "Cancels programs and their sub-agents. A call in flight is not undone.",
				examples: []string{"ibisstall program cancel amman-a.4k2m amman-a.77bd"},
			},
		},
	})
}

type programList struct {
	remoteOptions
	Workspace string `long:"workspace" value-name:"NAME" description:"only programs of this workspace"`
	State     string `long:"state" choice:"active" choice:"cancelled" choice:"expired" choice:"finished" description:"only programs in this state"`
	Limit     int    `long:"limit" default:"1000" description:"most programs to list"`
}

// Execute implements flags.Commander.
func (c *programList) Execute([]string) error {
	if c.Limit < 1 {
		return &usageError{"--limit must be above 0"}
	}
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		list, err := c.fetchMatching(ctx, api)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(list)
		}
		return printColumns("PROGRAM\tWORKSPACE\tSTATE\tCREATED (UTC)\tTURNS\tTOKENS\tOWNER", func(w io.Writer) {
			for _, p := range list {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", p.ID, p.Workspace, p.State, p.Created.UTC().Format(time.DateTime),
					formatTurns(&p), formatTokens(&p), orDash(p.Owner))
			}
		})
	})
}

// fetchMatching reads pages until Limit programs match or a page is empty. A
// page that is shorter than MaxPageSize need not be the last one.
func (c *programList) fetchMatching(ctx context.Context, api *client.Client) ([]client.Program, error) {
	list := []client.Program{}
	after := entity.ProgramID("")
	for {
		page, err := api.Programs(ctx, after, client.MaxPageSize)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return list, nil
		}
		for _, p := range page {
			if c.matches(&p) {
				list = append(list, p)
			}
		}
		if len(list) >= c.Limit {
			return list[:c.Limit], nil
		}
		after = page[len(page)-1].ID
	}
}

func (c *programList) matches(p *client.Program) bool {
	if c.Workspace != "" && p.Workspace != c.Workspace {
		return false
	}
	return c.State == "" || string(p.State) == c.State
}

// formatTurns returns the number of a program's turns or, for a root program,
// the turns used by its family and the budget, as "used/budget".
func formatTurns(p *client.Program) string {
	if p.Budget == nil || p.Used == nil {
		return fmt.Sprint(p.Turns)
	}
	return fmt.Sprintf("%d/%d", p.Used.Turns, p.Budget.Turns)
}

func formatTokens(p *client.Program) string {
	if p.Budget == nil || p.Used == nil {
		return "-"
	}
	return fmt.Sprintf("%d/%d", p.Used.Tokens, p.Budget.Tokens)
}

type programShow struct {
	remoteOptions
	History bool `long:"history" description:"show the durable turns too; with --json also their text"`
	Args    struct {
		ID string `positional-arg-name:"PROGRAM"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *programShow) Execute([]string) error {
	id := entity.ProgramID(c.Args.ID)
	if err := id.Validate(); err != nil {
		return &usageError{err.Error()}
	}
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		p, err := api.Program(ctx, id)
		if err != nil {
			return err
		}
		var turns []client.Turn
		if c.History {
			if turns, err = fetchHistory(ctx, api, id); err != nil {
				return err
			}
		}
		if c.JSON {
			return printJSON(struct {
				*client.Program
				History []client.Turn `json:"history,omitempty"`
			}{p, turns})
		}
		return c.print(p, turns)
	})
}

// fetchHistory reads all turns of a program, page by page.
func fetchHistory(ctx context.Context, api *client.Client, id entity.ProgramID) ([]client.Turn, error) {
	var turns []client.Turn
	next := uint64(1)
	for {
		page, err := api.History(ctx, id, next)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 || page[len(page)-1].Number < next {
			return turns, nil
		}
		turns = append(turns, page...)
		next = page[len(page)-1].Number + 1
	}
}

func (c *programShow) print(p *client.Program, turns []client.Turn) error {
	err := printColumns("PROGRAM\t"+string(p.ID), func(w io.Writer) {
		fmt.Fprintf(w, "workspace\t%s\nparent\t%s\nstate\t%s\ncreated\t%s\n", p.Workspace, orDash(string(p.Parent)), p.State, p.Created.UTC().Format(time.RFC3339))
		fmt.Fprintf(w, "turns\t%s\ntokens\t%s\n", formatTurns(p), formatTokens(p))
		if p.Budget != nil {
			fmt.Fprintf(w, "ends by\t%s\n", p.Created.Add(time.Duration(p.Budget.Seconds)*time.Second).UTC().Format(time.RFC3339))
		}
		fmt.Fprintf(w, "owner\t%s\nepoch\t%d\n", orDash(p.Owner), p.Epoch)
	})
	if err != nil || !c.History {
		return err
	}
	fmt.Println()
	return printColumns("TURN\tAT (UTC)\tKIND\tTARGET\tREQUEST\tOUTCOME\tTOKENS", func(w io.Writer) {
		for _, t := range turns {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%d\n", t.Number, t.At.UTC().Format(time.DateTime), t.Kind, t.Target, orDash(t.RequestID), t.Outcome, t.Tokens)
		}
	})
}

type programCancel struct {
	remoteOptions
	Args struct {
		IDs []string `positional-arg-name:"PROGRAM" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *programCancel) Execute([]string) error {
	for _, id := range c.Args.IDs {
		if err := entity.ProgramID(id).Validate(); err != nil {
			return &usageError{fmt.Sprintf("%q: %v", id, err)}
		}
	}
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		done := []*client.Program{}
		for i, id := range c.Args.IDs {
			p, err := api.CancelProgram(ctx, entity.ProgramID(id))
			if err != nil {
				return fmt.Errorf("%s: %w; %d of %d cancelled", id, err, i, len(c.Args.IDs))
			}
			done = append(done, p)
			fmt.Fprintf(os.Stderr, "%s: %s (%d of %d)\n", p.ID, p.State, i+1, len(c.Args.IDs))
		}
		if c.JSON {
			return printJSON(done)
		}
		return nil
	})
}
