package batch

import (
	"context"
	"errors"
	"fmt"

	"ibisstall.example/ibisstall/internal/platform"
)

// maxLostResponses is the number of lost responses after which a batch is not
// resent.
const maxLostResponses = 3

// flush sends a batch until every group of it has its result.
func (c *Committer) flush(batch []*group) {
	batch = c.forward(batch)
	for lost := 0; len(batch) > 0; {
		err := c.commit(batch)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			finish(batch, nil)
			return
		case errors.As(err, &conflict):
			batch = c.handleConflict(batch, conflict)
		case errors.Is(err, platform.ErrOutcomeUnknown):
			lost++
			batch = c.handleLostResponse(batch)
			if lost == maxLostResponses {
				finish(batch, err)
				return
			}
		case errors.Is(err, platform.ErrUnavailable):
			finish(batch, err)
			return
		case len(batch) > 1:
			c.flushIndividually(batch)
			return
		default:
			finish(batch, err)
			return
		}
	}
}

// flushIndividually commits each group in its own transaction, so that a
// malformed group does not fail the others.
func (c *Committer) flushIndividually(batch []*group) {
	for _, g := range batch {
		c.flush([]*group{g})
	}
}

// commit sends the groups as one transaction.
func (c *Committer) commit(batch []*group) error {
	ctx, cancel := context.WithTimeout(c.closing, c.options.Timeout)
	defer cancel()
	var writes []platform.Write
	for _, g := range batch {
		writes = append(writes, g.writes...)
	}
	return c.table.Commit(ctx, writes)
}

// finish reports a result to the groups. A group that may have taken effect is
// never reported as having had none.
func finish(batch []*group, err error) {
	for _, g := range batch {
		if g.maybeApplied && errors.Is(err, platform.ErrUnavailable) {
			g.done <- fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
			continue
		}
		g.done <- err
	}
}

// handleConflict finishes the groups whose conditions failed and returns the
// rest, to be resent.
func (c *Committer) handleConflict(batch []*group, conflict *platform.ConflictError) (rest []*group) {
	failed := conflictsByGroup(batch, conflict)
	if len(failed) == 0 {
		finish(batch, fmt.Errorf("%w: %w outside the transaction", platform.ErrOutcomeUnknown, conflict))
		return nil
	}
	for _, g := range batch {
		own, isFailed := failed[g]
		switch {
		case !isFailed:
			rest = append(rest, g)
		case g.maybeApplied:
			c.resolveConflict(g, own)
		default:
			g.done <- own
		}
	}
	return rest
}

// resolveConflict finishes a group whose conditions failed after an earlier
// response was lost. It reads the rows to find out whether the conditions failed
// because the group itself had taken effect.
func (c *Committer) resolveConflict(g *group, conflict error) {
	effects, err := c.resolve([]*group{g})
	switch {
	case err != nil:
		g.done <- fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	case effects[0] == Applied:
		g.done <- nil
	case effects[0] == Undetermined:
		g.done <- fmt.Errorf("%w: its rows have changed since", platform.ErrOutcomeUnknown)
	default:
		g.done <- conflict
	}
}

// conflictsByGroup converts the failed indexes of a transaction into one conflict
// for each group concerned, with indexes relative to the group.
func conflictsByGroup(batch []*group, conflict *platform.ConflictError) map[*group]*platform.ConflictError {
	failed := make(map[*group]*platform.ConflictError)
	for _, index := range conflict.Indexes {
		for _, g := range batch {
			if index < 0 {
				break
			}
			if index >= len(g.writes) {
				index -= len(g.writes)
				continue
			}
			if failed[g] == nil {
				failed[g] = &platform.ConflictError{}
			}
			failed[g].Indexes = append(failed[g].Indexes, index)
			break
		}
	}
	return failed
}

// handleLostResponse reads the rows of a batch whose response was lost. It
// finishes the groups that took effect, those whose effect can't be determined
// and those that can't safely be resent. It returns the rest, which have had no
// effect so far, to be resent.
func (c *Committer) handleLostResponse(batch []*group) (rest []*group) {
	for _, g := range batch {
		g.maybeApplied = true
	}
	effects, err := c.resolve(batch)
	if err != nil {
		finish(batch, fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err))
		return nil
	}
	for i, g := range batch {
		switch {
		case effects[i] == Applied:
			g.done <- nil
		case effects[i] == NotApplied && !g.unconditional():
			rest = append(rest, g)
		default:
			g.done <- fmt.Errorf("%w: its rows do not tell", platform.ErrOutcomeUnknown)
		}
	}
	return rest
}

func (c *Committer) resolve(batch []*group) ([]Effect, error) {
	ctx, cancel := context.WithTimeout(c.closing, c.options.Timeout)
	defer cancel()
	groups := make([][]platform.Write, len(batch))
	for i, g := range batch {
		groups[i] = g.writes
	}
	return Resolve(ctx, c.table, groups)
}
