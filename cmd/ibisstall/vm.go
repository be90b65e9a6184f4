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
		name:     "vm",
		short:    "list and drain VMs",
		long:     "Lists the VMs and drains them before they are replaced.",
		examples: []string{"ibisstall vm list", "ibisstall vm drain amman-a-1f00c2"},
		sub: []command{
			{
				name: "list", short: "list the VMs", handler: &vmList{},
				long:     "Lists the VMs as seen by the queried VM, with the version of the table that each has in force.",
				examples: []string{"ibisstall vm list", "ibisstall vm list --json"},
			},
			{
				name: "drain", short: "make a VM hand over its programs and end", handler: &vmDrain{},
				long: "A draining VM accepts no new programs, hands over those that it owns, lets its calls in flight finish and then exits. " +
					"With --wait the command ends when the VM is gone; --server must then be the load balancer or another VM.",
				examples: []string{"ibisstall vm drain amman-a-1f00c2", "ibisstall vm drain --wait 2m amman-a-1f00c2"},
			},
		},
	})
}

type vmList struct{ remoteOptions }

// Execute implements flags.Commander.
func (c *vmList) Execute([]string) error {
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		list, err := api.VMs(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(list)
		}
		return printColumns("VM\tDC\tREGION\tSTATE\tMESH ADDRESS\tTABLE VERSION\tPLATFORM", func(w io.Writer) {
			for _, v := range list {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", v.ID, v.DC, orDash(v.Region), v.State, v.MeshAddr, v.ConfigVersion, platformReachability(&v))
			}
		})
	})
}

// platformReachability returns "reachable" or "unreachable": whether a VM can reach the
// platform. It returns "-" for a dead VM, whose connection to the platform is unknown.
func platformReachability(v *client.VM) string {
	switch {
	case v.State == entity.VMDead.String():
		return "-"
	case v.PlatformReachable:
		return "reachable"
	default:
		return "unreachable"
	}
}

type vmDrain struct {
	remoteOptions
	Wait time.Duration `long:"wait" value-name:"DURATION" description:"wait until the VM is gone, at most so long"`
	Args struct {
		ID string `positional-arg-name:"VM"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *vmDrain) Execute([]string) error {
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		if err := api.DrainVM(ctx, c.Args.ID); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%s: draining\n", c.Args.ID)
		if c.Wait <= 0 {
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, c.Wait)
		defer cancel()
		return c.waitUntilGone(ctx, api)
	})
}

// waitUntilGone polls the VM's state until it is dead, and prints each change.
func (c *vmDrain) waitUntilGone(ctx context.Context, api *client.Client) error {
	const pollInterval = time.Second
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last := ""
	for {
		state, err := c.fetchState(ctx, api)
		if err == nil && state != last {
			fmt.Fprintf(os.Stderr, "%s: %s\n", c.Args.ID, state)
			last = state
		}
		if err == nil && state == entity.VMDead.String() {
			return nil
		}
		select {
		case <-ctx.Done():
			return c.drainTimeoutError(last, err)
		case <-ticker.C:
		}
	}
}

// drainTimeoutError returns the error for a wait that ended before the VM was dead.
// err is the error of the last poll, or nil. Polling also fails if the queried VM is
// the drained one, which has exited.
func (c *vmDrain) drainTimeoutError(lastState string, err error) error {
	if err != nil {
		return fmt.Errorf("it is not known whether %s is gone (last state: %s); ask another VM with --server: %w", c.Args.ID, orDash(lastState), err)
	}
	return fmt.Errorf("%s is not gone after %v (last state: %s)", c.Args.ID, c.Wait, orDash(lastState))
}

// fetchState requests the VM's state. A VM that is no longer listed counts as dead.
func (c *vmDrain) fetchState(ctx context.Context, api *client.Client) (string, error) {
	list, err := api.VMs(ctx)
	if err != nil {
		return "", err
	}
	for _, v := range list {
		if v.ID == c.Args.ID {
			return v.State, nil
		}
	}
	return entity.VMDead.String(), nil
}
