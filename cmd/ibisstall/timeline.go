package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"

	"ibisstall.example/ibisstall/internal/client"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/timeline"
)

func init() {
	register(command{
		name:  "timeline",
		short: "show what happened, over all VMs",
		long: "Merges the events of all VMs into one causal order and prints them as text, as JSON, or as one self-contained " +
			"HTML page with a lane for each VM. Each VM keeps only its latest events.",
		examples: []string{
			"ibisstall timeline --program amman-a.4k2m",
			"ibisstall timeline --html timeline.html",
			"ibisstall timeline --kind 'program adopted' --kind 'VM died'",
		},
		handler: &timelineCommand{},
	})
}

type timelineCommand struct {
	remoteOptions
	Program string   `long:"program" value-name:"ID" description:"only events of this program and its sub-agents"`
	Kinds   []string `long:"kind" value-name:"KIND" description:"only events of this kind; may be given several times"`
	Limit   int      `long:"limit" default:"10000" description:"most events to ask for, the latest ones"`
	HTML    string   `long:"html" value-name:"FILE" description:"write an HTML page to a file"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	program := entity.ProgramID(c.Program)
	if program != "" {
		if err := program.Validate(); err != nil {
			return &usageError{err.Error()}
		}
	}
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		events, err := api.Timeline(ctx, program, c.Limit)
		if err != nil {
			return err
		}
		return c.print(c.filterByKind(events))
	})
}

func (c *timelineCommand) filterByKind(events []timeline.Event) []timeline.Event {
	if len(c.Kinds) == 0 {
		return events
	}
	return slices.DeleteFunc(events, func(e timeline.Event) bool { return !slices.Contains(c.Kinds, string(e.Kind)) })
}

func (c *timelineCommand) print(events []timeline.Event) error {
	switch {
	case c.HTML != "":
		title := "Time line"
		if c.Program != "" {
			title += " of " + c.Program
		}
		err := writeFile(c.HTML, func(w io.Writer) error { return timeline.WriteHTML(w, title, events) })
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%s: %d events\n", c.HTML, len(events))
		return nil
	case c.JSON:
		return printJSON(events)
	default:
		return timeline.WriteText(os.Stdout, events)
	}
}
