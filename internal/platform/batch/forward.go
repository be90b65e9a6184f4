package batch

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"ibisstall.example/ibisstall/internal/platform"
)

// Forwarder carries groups to the VM that batches for the data centre, which
// passes them to CommitGroups of a Committer without a Forwarder.
type Forwarder interface {
	// Forward returns a result for each group. Its error is
	// platform.ErrUnavailable if the groups were not sent, for instance
	// since this VM batches itself, and platform.ErrUnknown if the answer
	// was lost.
	Forward(ctx context.Context, groups [][]platform.Write) ([]Result, error)
}

// Status is the kind of a Result.
type Status uint8

// The kinds of results.
const (
	StatusCommitted   Status = iota // took effect
	StatusConflict                  // a condition failed, no effect
	StatusUnavailable               // no effect
	StatusUnknown                   // may have taken effect
	StatusRefused                   // malformed, no effect
)

// Result is the outcome of one group, in a form that codecs can carry.
type Result struct {
	Status    Status
	Conflicts []int  // indexes within the group
	Message   string // of StatusUnavailable, StatusUnknown and StatusRefused
}

// ResultOf turns the error of a Commit into a Result.
func ResultOf(err error) Result {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return Result{Status: StatusCommitted}
	case errors.As(err, &conflict):
		return Result{Status: StatusConflict, Conflicts: conflict.Indexes}
	case errors.Is(err, platform.ErrUnknown):
		return Result{Status: StatusUnknown, Message: err.Error()}
	case errors.Is(err, platform.ErrUnavailable):
		return Result{Status: StatusUnavailable, Message: err.Error()}
	default:
		return Result{Status: StatusRefused, Message: err.Error()}
	}
}

// Err turns a Result back into an error.
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
		return fmt.Errorf("%w: %s", platform.ErrUnknown, r.Message)
	}
}

// CommitGroups commits groups that another VM forwarded and returns a result
// for each, in order.
func (c *Committer) CommitGroups(ctx context.Context, groups [][]platform.Write) []Result {
	results := make([]Result, len(groups))
	var wait sync.WaitGroup
	for i, writes := range groups {
		wait.Go(func() { results[i] = ResultOf(c.Commit(ctx, writes)) })
	}
	wait.Wait()
	return results
}

// forward tries to have a batch committed by the batching VM. It returns the
// groups that this VM has to write itself.
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
		return c.settleLost(batch)
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
		own = append(own, c.settleLost(unknown)...)
	}
	return own
}
