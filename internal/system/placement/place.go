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

// Place decides where a call goes, or returns ErrNoEndpoint.
func (s *System) Place(c Call, now time.Time) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serving := s.serving(c)
	candidates := s.candidates(serving, c, now)
	choice, found := s.placer.Place(s.policyCall(c, serving), candidates)
	if !found {
		return Decision{}, ErrNoEndpoint
	}
	d := s.decision(c, serving[choice.Index], candidates[choice.Index], choice)
	for i := range candidates {
		if e := &candidates[i]; !e.Leaving && !e.Unhealthy {
			d.Shortest = min(d.Shortest, placement.EstimateWait(e))
		}
	}
	return d, nil
}

// Look returns the decision for a call as if it went to a named endpoint. It
// reports false if the call can't go there.
func (s *System) Look(name string, c Call, now time.Time) (Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.states[name]
	if st == nil || !serves(st, c) || st.leaving() {
		return Decision{}, false
	}
	one := []*state{st}
	candidates := s.candidates(one, c, now)
	choice, found := s.placer.Place(s.policyCall(c, one), candidates)
	if !found {
		return Decision{}, false
	}
	return s.decision(c, st, candidates[0], choice), true
}

func (s *System) decision(c Call, st *state, candidate placement.Candidate, choice placement.Choice) Decision {
	d := Decision{
		Endpoint: st.endpoint,
		Seconds:  choice.EstimatedSeconds,
		Wait:     choice.QueueWait,
		Held:     candidate.CachedTokens,
		Cost:     max(1, c.PromptTokens-candidate.CachedTokens) + answerTokens(c, st),
		Load:     estimate.Load{Running: candidate.Running, Waiting: candidate.Waiting, Permits: candidate.Permits},
		Shortest: choice.QueueWait,
		Probe:    candidate.Unhealthy && candidate.ProbeDue,
	}
	d.Run = max(0, time.Duration(choice.EstimatedSeconds*float64(time.Second))-choice.QueueWait)
	if choice.ImportKV {
		d.ImportFrom = s.homes[c.Program]
	}
	return d
}

// serving returns the endpoints for the target of a call, by name.
func (s *System) serving(c Call) []*state {
	var list []*state
	for _, st := range s.states {
		if serves(st, c) {
			list = append(list, st)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].endpoint.Name < list[j].endpoint.Name })
	return list
}

func serves(st *state, c Call) bool {
	switch c.Kind {
	case entity.CallModel:
		return st.endpoint.Kind == entity.KindEngine && slices.Contains(st.endpoint.Models, c.Target)
	case entity.CallTool:
		return st.endpoint.Kind == entity.KindTool && st.endpoint.Target == c.Target
	default:
		return st.endpoint.Kind == entity.KindService && st.endpoint.Target == c.Target
	}
}

func (st *state) leaving() bool { return st.endpoint.Leaving || st.drained }

func (s *System) policyCall(c Call, serving []*state) placement.Call {
	var answer int64
	for _, st := range serving {
		answer = max(answer, answerTokens(c, st))
	}
	return placement.Call{
		PromptTokens: c.PromptTokens,
		AnswerTokens: answer,
		Avoid:        c.Avoid,
		PrefixKey:    rootOf(c),
	}
}

// rootOf returns what calls with a common prefix share. Prompts of less than a
// block share nothing, so that they are spread by their programs.
func rootOf(c Call) uint64 {
	if len(c.Prompt) == 0 {
		return xxhash.Sum64String(string(c.Program))
	}
	return placement.PrefixKeyOf(c.Prompt)
}

// answerTokens is the expected length of the answer.
func answerTokens(c Call, st *state) int64 {
	if c.Kind != entity.CallModel {
		return 0
	}
	expected := int64(st.rates.AnswerTokens)
	if c.MaxTokens > 0 {
		expected = min(expected, c.MaxTokens)
	}
	return expected
}

func (s *System) candidates(serving []*state, c Call, now time.Time) []placement.Candidate {
	rates := make([]estimate.Rates, len(serving))
	for i, st := range serving {
		rates[i] = st.rates
	}
	median := estimate.MedianTokenTime(rates)
	importable := s.importable(c)
	list := make([]placement.Candidate, len(serving))
	for i, st := range serving {
		load := s.loadOf(st)
		list[i] = placement.Candidate{
			Name:             st.endpoint.Name,
			CachedTokens:     heldTokens(st, c),
			Running:          load.Running,
			Waiting:          load.Waiting,
			Permits:          load.Permits,
			CallTime:         st.rates.CallTime,
			PrefillRate:      st.rates.PrefillRate,
			TokenTime:        st.rates.TokenTime,
			ImportRate:       s.opts.ImportRate,
			ImportableTokens: importable,
			Penalty:          estimate.Penalty(s.opts.Health, st.rates, median),
			Leaving:          st.leaving(),
			Unhealthy:        st.health.Unhealthy(),
			ProbeDue:         st.health.ProbeDue(now),
		}
	}
	return list
}

func heldTokens(st *state, c Call) int64 {
	held := int64(st.prefixes.CachedBlocks(c.Prompt)) * blockTokens
	return min(held, c.PromptTokens)
}

// importable is the prefix that the program's last endpoint could export.
func (s *System) importable(c Call) int64 {
	if s.opts.ImportRate <= 0 || c.Kind != entity.CallModel {
		return 0
	}
	home := s.states[s.homes[c.Program]]
	if home == nil {
		return 0
	}
	return heldTokens(home, c)
}
