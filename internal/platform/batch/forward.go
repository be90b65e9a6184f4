package batch

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"ibisstall.example/ibisstall/internal/platform"
)

// Forwarder sends groups to the batching VM, which batches the writes of the
// whole data centre. That VM passes them to CommitGroups of a Committer without
// a Forwarder.
type Forwarder interface {
	// Forward returns one result for each group. Its error wraps
	// platform.ErrUnavailable if the groups were not sent, for instance
	// because this VM is the batching VM, and platform.ErrOutcomeUnknown if the
	// response was lost.
	Forward(ctx context.Context, groups [][]platform.Write) ([]Result, error)
}

// Status is the status of a Result.
type Status uint8

// The statuses of results. VMs send each other the numbers, which must not change.
const (
	StatusCommitted   Status = iota // took effect
	StatusConflict                  // a condition failed, no effect
	StatusUnavailable               // no effect
	StatusUnknown                   // may have taken effect
	StatusRefused                   // rejected as malformed, no effect
)

// Result is the outcome of one group in a form that can be encoded.
type Result struct {
	Status    Status
	Conflicts []int  // indexes, within the group, of the writes whose condition failed
	Message   string // error text; empty for StatusCommitted and StatusConflict
}

// ResultOf converts the error of a Commit into a Result.
func ResultOf(err error) Result {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return Result{Status: StatusCommitted}
	case errors.As(err, &conflict):
		return Result{Status: StatusConflict, Conflicts: conflict.Indexes}
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return Result{Status: StatusUnknown, Message: err.Error()}
	case errors.Is(err, platform.ErrUnavailable):
		return Result{Status: StatusUnavailable, Message: err.Error()}
	default:
		return Result{Status: StatusRefused, Message: err.Error()}
	}
}

// Err converts a Result back into an error.
func (r Result) Err() error {
	switch r.Status {
	case StatusCommitted:
		return nil
	case StatusConflict:
		return &platform.ConflictError{Indexes: r.Conflicts}
	case StatusUnavailable:
		return fmt.Errorf("%w: %s", platform.ErrUnavailable, r.Message)
	case StatusRefused:
		return fmt.Errorf("group refused: %s", r.Message)
	default:
		return fmt.Errorf("%w: %s", platform.ErrOutcomeUnknown, r.Message)
	}
}

// CommitGroups commits groups that another VM forwarded and returns one result
// for each, in the order of the groups.
func (c *Committer) CommitGroups(ctx context.Context, groups [][]platform.Write) []Result {
	results := make([]Result, len(groups))
	var wait sync.WaitGroup
	for i, writes := range groups {
		wait.Go(func() { results[i] = ResultOf(c.Commit(ctx, writes)) })
	}
	wait.Wait()
	return results
}

// forward sends a batch to the batching VM, if there is a Forwarder. It returns
// the groups that this VM has to commit directly.
func (c *Committer) forward(batch []*group) (own []*group) {
	if c.options.Forwarder == nil {
		return batch
	}
	ctx, cancel := context.WithTimeout(c.closing, c.options.Timeout)
	defer cancel()
	groups := make([][]platform.Write, len(batch))
	for i, g := range batch {
		groups[i] = g.writes
	}
	results, err := c.options.Forwarder.Forward(ctx, groups)
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		return batch
	case err != nil || len(results) != len(batch):
		return c.handleLostResponse(batch)
	}
	var unknown []*group
	for i, g := range batch {
		switch results[i].Status {
		case StatusUnavailable:
			own = append(own, g)
		case StatusUnknown:
			unknown = append(unknown, g)
		default:
			g.done <- results[i].Err()
		}
	}
	if len(unknown) > 0 {
		own = append(own, c.handleLostResponse(unknown)...)
	}
	return own
}
