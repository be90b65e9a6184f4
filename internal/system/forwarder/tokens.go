package forwarder

import "ibisstall.example/ibisstall/internal/system/tokenbudget"

const (
	// unlimitedTurnTokens is what a turn reserves whose caller sets no limit for its output.
	unlimitedTurnTokens = 256
	// maxTurnTokens is the largest limit of a turn's output; larger ones could overflow sums.
	maxTurnTokens = 1 << 40
)

// reserveTokens reserves tokens for a turn or, once those are used up, for its next events.
func (x *exchange) reserveTokens() error {
	perEvent := int64(max(1, x.service.TokensPerEvent))
	maxTokens := min(int64(x.request.MaxTokens), maxTurnTokens)
	if maxTokens <= 0 {
		maxTokens = min(unlimitedTurnTokens, x.request.Budget)
	}
	maxTokens = roundUp(maxTokens, perEvent)
	req := tokenbudget.ReserveRequest{
		Program: x.request.Program, Budget: x.request.Budget, Turn: maxTokens,
		Step: min(maxTokens, roundUp(maxTokens/reservationSteps, perEvent)),
	}
	req.Least = req.Step
	reserve := x.f.Budgets.Reserve
	if len(x.reservations) > 0 {
		reserve = x.f.Budgets.Extend
		req.Least = perEvent // a turn in progress continues with any amount
	}
	ctx := x.waitCtx()
	r, err := reserve(ctx, req)
	if err != nil {
		return endOf(ctx, err)
	}
	if r.Tokens() <= 0 {
		r.Settle(0)
		return tokenbudget.ErrSpent
	}
	x.reservations = append(x.reservations, r)
	x.reservedTokens += r.Tokens()
	x.reservedEvents = int(x.reservedTokens / perEvent)
	return nil
}

// roundUp rounds tokens up to whole events: the endpoint may end a turn with a part of one.
func roundUp(tokens, perEvent int64) int64 {
	return (tokens + perEvent - 1) / perEvent * perEvent
}

// settleReservations settles the turn's reservations with the tokens it generated.
func (x *exchange) settleReservations() {
	generated := int64(x.events) * int64(x.service.TokensPerEvent)
	for _, r := range x.reservations {
		used := min(generated, r.Tokens())
		generated -= used
		r.Settle(used)
	}
}

// reserveEvents ensures that the reserved tokens cover a number of further events.
// It does nothing if the request has no reservations.
func (x *exchange) reserveEvents(events int) error {
	for len(x.reservations) > 0 && x.events+events > x.reservedEvents {
		if err := x.reserveTokens(); err != nil {
			return err
		}
	}
	return nil
}
