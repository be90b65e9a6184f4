package batch

import (
	"context"
	"errors"
	"fmt"

	"ibisstall.example/ibisstall/internal/platform"
)

// maxLostAnswers bounds how often a batch is sent again after a lost answer.
const maxLostAnswers = 3

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
			batch = c.settleConflict(batch, conflict)
		case errors.Is(err, platform.ErrUnknown):
			lost++
			batch = c.settleLost(batch)
			if lost == maxLostAnswers {
				finish(batch, err)
				return
			}
		case errors.Is(err, platform.ErrUnavailable):
			finish(batch, err)
			return
		case len(batch) > 1:
			c.flushSingly(batch)
			return
		default:
			finish(batch, err)
			return
		}
	}
}

// flushSingly gives each group a transaction of its own, so that a malformed
// group spoils no other.
func (c *Committer) flushSingly(batch []*group) {
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

// finish gives groups their result. A group that may have taken effect is
// never reported as without effect.
func finish(batch []*group, err error) {
	for _, g := range batch {
		if g.maybeApplied && errors.Is(err, platform.ErrUnavailable) {
			g.done <- fmt.Errorf("%w: %w", platform.ErrUnknown, err)
			continue
		}
		g.done <- err
	}
}

// settleConflict finishes the groups whose writes failed and returns the rest,
// to be sent again.
func (c *Committer) settleConflict(batch []*group, conflict *platform.ConflictError) (rest []*group) {
	failed := rebase(batch, conflict)
	if len(failed) == 0 {
		finish(batch, fmt.Errorf("%w: %w outside the transaction", platform.ErrUnknown, conflict))
		return nil
	}
	for _, g := range batch {
		own, isFailed := failed[g]
		switch {
		case !isFailed:
			rest = append(rest, g)
		case g.maybeApplied:
			c.settleOwnConflict(g, own)
		default:
			g.done <- own
		}
	}
	return rest
}

// settleOwnConflict finishes a group that failed its conditions after an
// earlier lost answer: the rows tell whether it failed them because it had
// taken effect itself.
func (c *Committer) settleOwnConflict(g *group, conflict error) {
	effects, err := c.resolve([]*group{g})
	switch {
	case err != nil:
		g.done <- fmt.Errorf("%w: %w", platform.ErrUnknown, err)
	case effects[0] == Applied:
		g.done <- nil
	case effects[0] == Undetermined:
		g.done <- fmt.Errorf("%w: its rows have changed since", platform.ErrUnknown)
	default:
		g.done <- conflict
	}
}

// rebase maps the failed indexes of a transaction to the groups they belong
// to, with indexes counted within the group.
func rebase(batch []*group, conflict *platform.ConflictError) map[*group]*platform.ConflictError {
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

// settleLost reads back what became of a batch whose answer was lost. It
// finishes the groups whose fate is known or can't be known, and returns those
// without effect so far, to be sent again.
func (c *Committer) settleLost(batch []*group) (rest []*group) {
	for _, g := range batch {
		g.maybeApplied = true
	}
	effects, err := c.resolve(batch)
	if err != nil {
		finish(batch, fmt.Errorf("%w: %w", platform.ErrUnknown, err))
		return nil
	}
	for i, g := range batch {
		switch {
		case effects[i] == Applied:
			g.done <- nil
		case effects[i] == NotApplied && !g.unconditional():
			rest = append(rest, g)
		default:
			g.done <- fmt.Errorf("%w: its rows do not tell", platform.ErrUnknown)
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
