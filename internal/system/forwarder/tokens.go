package forwarder

import "ibisstall.example/ibisstall/internal/system/tokenbudget"

// reserve sets aside tokens for a turn or, where it has used up what it has, for
// its next events.
func (x *exchange) reserve() error {
	most := int64(x.req.MaxTokens)
	perEvent := int64(max(1, x.service.TokensPerEvent))
	ask := tokenbudget.ReserveRequest{
		Program: x.req.Program, Budget: x.req.Budget, Turn: most,
		Step: min(most, (most/reserveShare+perEvent-1)/perEvent*perEvent),
	}
	ask.Least = ask.Step
	reserve := x.f.Budgets.Reserve
	if len(x.reservations) > 0 {
		reserve = x.f.Budgets.Extend
		ask.Least = perEvent // a turn under way goes on as far as it can
	}
	r, err := reserve(x.ctx, ask)
	if err != nil {
		return err
	}
	x.reservations = append(x.reservations, r)
	x.reserved += r.Tokens()
	x.maxEvents = int(x.reserved / perEvent)
	return nil
}

// settle gives back what the turn did not generate.
func (x *exchange) settle() {
	generated := int64(x.events) * int64(x.service.TokensPerEvent)
	for _, r := range x.reservations {
		used := min(generated, r.Tokens())
		generated -= used
		r.Settle(used)
	}
}

// mayPass makes sure that the budget holds a number of further events.
func (x *exchange) mayPass(events int) error {
	for len(x.reservations) > 0 && x.events+events > x.maxEvents {
		if err := x.reserve(); err != nil {
			return err
		}
	}
	return nil
}
