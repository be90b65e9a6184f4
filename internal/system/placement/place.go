package placement

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/estimate"
	"ibisstall.example/ibisstall/internal/policy/placement"
)

// Place chooses the endpoint for a call. It returns ErrNoEndpoint if none may be
// used.
func (b *Balancer) Place(c Call, now time.Time) (Decision, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	serving := b.servingEndpoints(c)
	candidates := b.candidates(serving, c, now)
	choice, found := b.placer.Place(b.policyCall(c, serving), candidates)
	if !found {
		return Decision{}, ErrNoEndpoint
	}
	d := b.decision(c, serving[choice.Index], candidates[choice.Index], choice)
	for i := range candidates {
		if e := &candidates[i]; !e.Leaving && !e.Unhealthy {
			d.ShortestWait = min(d.ShortestWait, placement.EstimateWait(e))
		}
	}
	return d, nil
}

// Evaluate returns the decision for a call at a given endpoint. It reports false
// if the endpoint is unknown or leaving, or doesn't serve the call's target.
func (b *Balancer) Evaluate(name string, c Call, now time.Time) (Decision, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.states[name]
	if st == nil || !serves(st, c) || st.leaving() {
		return Decision{}, false
	}
	one := []*endpointState{st}
	candidates := b.candidates(one, c, now)
	choice, found := b.placer.Place(b.policyCall(c, one), candidates)
	if !found {
		return Decision{}, false
	}
	return b.decision(c, st, candidates[0], choice), true
}

func (b *Balancer) decision(c Call, st *endpointState, candidate placement.Candidate, choice placement.Choice) Decision {
	d := Decision{
		Endpoint:         st.endpoint,
		EstimatedSeconds: choice.EstimatedSeconds,
		Wait:             choice.QueueWait,
		CachedTokens:     candidate.CachedTokens,
		CostTokens:       max(1, c.PromptTokens-candidate.CachedTokens) + expectedAnswerTokens(c, st),
		Load:             estimate.Load{Running: candidate.Running, Waiting: candidate.Waiting, Permits: candidate.Permits},
		ShortestWait:     choice.QueueWait,
		Probe:            candidate.Unhealthy && candidate.ProbeDue,
	}
	d.Run = max(0, time.Duration(choice.EstimatedSeconds*float64(time.Second))-choice.QueueWait)
	if choice.ImportKV {
		d.ImportFrom = b.lastEndpoints[c.Program]
	}
	return d
}

// servingEndpoints returns the endpoints that serve the target of a call, sorted
// by name.
func (b *Balancer) servingEndpoints(c Call) []*endpointState {
	var list []*endpointState
	for _, st := range b.states {
		if serves(st, c) {
			list = append(list, st)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].endpoint.Name < list[j].endpoint.Name })
	return list
}

func serves(st *endpointState, c Call) bool {
	switch c.Kind {
	case entity.CallModel:
		return st.endpoint.Kind == entity.KindEngine && slices.Contains(st.endpoint.Models, c.Target)
	case entity.CallTool:
		return st.endpoint.Kind == entity.KindTool && st.endpoint.Target == c.Target
	default:
		return st.endpoint.Kind == entity.KindService && st.endpoint.Target == c.Target
	}
}

func (st *endpointState) leaving() bool { return st.endpoint.Leaving || st.drained }

// policyCall converts a call for the placer. AnswerTokens is the longest answer
// expected at any of the serving endpoints.
func (b *Balancer) policyCall(c Call, serving []*endpointState) placement.Call {
	var expected int64
	for _, st := range serving {
		expected = max(expected, expectedAnswerTokens(c, st))
	}
	return placement.Call{
		PromptTokens: c.PromptTokens,
		AnswerTokens: expected,
		Avoid:        c.Avoid,
		PrefixKey:    prefixKey(c),
	}
}

// prefixKey returns a key that is equal for calls with a common prefix. Prompts
// shorter than a block have no prefix blocks; their key is the program's, so that
// they are spread by program.
func prefixKey(c Call) uint64 {
	if len(c.Prompt) == 0 {
		return xxhash.Sum64String(string(c.Program))
	}
	return placement.PrefixKeyOf(c.Prompt)
}

// expectedAnswerTokens returns the expected length of the answer in tokens, 0 for
// calls that aren't model calls.
func expectedAnswerTokens(c Call, st *endpointState) int64 {
	if c.Kind != entity.CallModel {
		return 0
	}
	expected := int64(st.rates.AnswerTokens)
	if c.MaxTokens > 0 {
		expected = min(expected, c.MaxTokens)
	}
	return expected
}

func (b *Balancer) candidates(serving []*endpointState, c Call, now time.Time) []placement.Candidate {
	rates := make([]estimate.Rates, len(serving))
	for i, st := range serving {
		rates[i] = st.rates
	}
	median := estimate.MedianTokenTime(rates)
	importable := b.importableTokens(c)
	list := make([]placement.Candidate, len(serving))
	for i, st := range serving {
		load := b.loadOf(st)
		list[i] = placement.Candidate{
			Name:             st.endpoint.Name,
			CachedTokens:     cachedTokens(st, c),
			Running:          load.Running,
			Waiting:          load.Waiting,
			Permits:          load.Permits,
			CallTime:         st.rates.CallTime,
			PrefillRate:      st.rates.PrefillRate,
			TokenTime:        st.rates.TokenTime,
			ImportRate:       b.opts.ImportRate,
			ImportableTokens: importable,
			Penalty:          estimate.Penalty(b.opts.Health, st.rates, median),
			Leaving:          st.leaving(),
			Unhealthy:        st.health.Unhealthy(),
			ProbeDue:         st.health.ProbeDue(now),
		}
	}
	return list
}

func cachedTokens(st *endpointState, c Call) int64 {
	cached := int64(st.prefixes.CachedBlocks(c.Prompt)) * blockTokens
	return min(cached, c.PromptTokens)
}

// importableTokens returns the length in tokens of the prefix whose KV cache can be
// imported from the program's last endpoint.
func (b *Balancer) importableTokens(c Call) int64 {
	if b.opts.ImportRate <= 0 || c.Kind != entity.CallModel {
		return 0
	}
	last := b.states[b.lastEndpoints[c.Program]]
	if last == nil {
		return 0
	}
	return cachedTokens(last, c)
}
