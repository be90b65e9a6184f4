// Package placement decides which endpoint a call goes to. It compares
// endpoints by the seconds until the call would be done there, estimated from
// measured rates. Decisions are pure functions over what the caller has
// gathered about the endpoints.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Call is what a decision needs to know about a call.
type Call struct {
	PromptTokens int64
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int64
	Avoid        []string
	// PrefixKey names the prefix that the call shares with others of its
	// workspace; calls with the same root meet at the same endpoints as long
	// as nobody knows who holds it.
	PrefixKey uint64
}

// rootBlocks is the number of prompt blocks that name the shared prefix.
const rootBlocks = 32

// PrefixKeyOf returns the name of the shared prefix of a prompt, given the hashes
// of its blocks.
func PrefixKeyOf(blocks []uint64) uint64 {
	if len(blocks) == 0 {
		return 0
	}
	return blocks[min(len(blocks), rootBlocks)-1]
}

// Candidate is an endpoint that serves the call's target.
type Candidate struct {
	Name string
	// CachedTokens is the longest prefix of the prompt that the endpoint is believed
	// to hold, in tokens.
	CachedTokens int64
	// Running and Waiting count the calls of the endpoint's queue; Permits
	// is the number that may run at a time.
	Running, Waiting, Permits int
	// CallTime is the mean time that a call holds a permit.
	CallTime time.Duration
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// TokenTime is the time between two tokens of one stream.
	TokenTime time.Duration
	// ImportRate is in tokens a second, 0 if KV cache can't be imported;
	// Importable is the longest prefix that another endpoint holds.
	ImportRate       float64
	ImportableTokens int64
	// Penalty multiplies the time at an endpoint that is slow or sick; 1 is
	// healthy.
	Penalty float64
	// Leaving and Unhealthy endpoints get nothing. A sick one is probed by one
	// call at a time, which ProbeDue allows.
	Leaving, Unhealthy, ProbeDue bool
}

// Choice is a decision.
type Choice struct {
	Index int // of the candidate
	// EstimatedSeconds is the estimated time until the call is done, Wait the part of
	// it that is spent in the queue.
	EstimatedSeconds float64
	Wait             time.Duration
	// ImportKV asks to import KV cache before the call.
	ImportKV bool
}

// Placer chooses among candidates. It reports false if none may be used.
type Placer interface {
	Place(c Call, candidates []Candidate) (Choice, bool)
}

// Kind names a placer.
type Kind string

// The placers.
const (
	KindLeastTime  Kind = "seconds" // least estimated time
	KindRoundRobin Kind = "round-robin"
)

// New returns a placer of a kind, the one by seconds for an unknown kind. A
// round-robin placer is not safe for concurrent use.
func New(kind Kind, cfg Config) Placer {
	if kind == KindRoundRobin {
		return &roundRobin{}
	}
	return &bySeconds{cfg: cfg}
}

// Config sets the placer by seconds.
type Config struct {
	// RecomputeCost multiplies the prefill time of a missing prefix: the
	// prefill also holds up the other streams of the batch.
	RecomputeCost float64
	// EvictionCost is the share of its prefill time that a prefix new to an
	// endpoint costs there later, by the cache entries it displaces.
	EvictionCost float64
	// TieSeconds is the difference in seconds below which two endpoints
	// count as equal, so that the root's preferred one is taken.
	TieSeconds float64
}

// DefaultConfig returns the settings in use.
func DefaultConfig() Config {
	return Config{RecomputeCost: 1, EvictionCost: 0.5, TieSeconds: 0.05}
}

// bySeconds takes the endpoint at which the call is done first: wait in the
// queue, then prefill or import of the missing prefix, then decode.
type bySeconds struct{ cfg Config }

// Place implements Placer.
func (p *bySeconds) Place(c Call, candidates []Candidate) (Choice, bool) {
	usable := usableOf(c, candidates)
	best := Choice{Index: -1}
	var bestPreference uint64
	for _, i := range usable {
		choice := p.estimate(c, &candidates[i])
		choice.Index = i
		preference := preferenceOf(c.PrefixKey, candidates[i].Name)
		if best.Index < 0 || p.better(choice, preference, best, bestPreference) {
			best, bestPreference = choice, preference
		}
	}
	if best.Index < 0 {
		return best, false
	}
	if i, ok := dueProbe(candidates, usable); ok && candidates[best.Index].CachedTokens == 0 {
		best = p.estimate(c, &candidates[i])
		best.Index = i
	}
	return best, true
}

// dueProbe finds a sick endpoint that is due for a probe. It gets the next call
// that gives up no prefix elsewhere: by its estimate alone it might never be
// the best one, and so never be taken back.
func dueProbe(candidates []Candidate, usable []int) (int, bool) {
	for _, i := range usable {
		if candidates[i].Unhealthy && candidates[i].ProbeDue {
			return i, true
		}
	}
	return 0, false
}

func (p *bySeconds) better(a Choice, preferenceA uint64, b Choice, preferenceB uint64) bool {
	difference := a.EstimatedSeconds - b.EstimatedSeconds
	if difference > -p.cfg.TieSeconds && difference < p.cfg.TieSeconds {
		return preferenceA > preferenceB
	}
	return difference < 0
}

// estimate returns the time of a call at a candidate.
func (p *bySeconds) estimate(c Call, e *Candidate) Choice {
	wait := EstimateWait(e)
	missing := max(0, c.PromptTokens-e.CachedTokens)
	prefill := secondsOf(missing, e.PrefillRate)
	cost := prefill * (p.cfg.RecomputeCost + p.cfg.EvictionCost)
	importing := false
	if e.ImportRate > 0 && e.ImportableTokens > e.CachedTokens {
		imported := e.ImportableTokens - e.CachedTokens
		moved := secondsOf(imported, e.ImportRate) + secondsOf(imported, e.PrefillRate)*p.cfg.EvictionCost +
			secondsOf(max(0, c.PromptTokens-e.ImportableTokens), e.PrefillRate)*(p.cfg.RecomputeCost+p.cfg.EvictionCost)
		if moved < cost {
			cost, importing = moved, true
		}
	}
	decode := float64(c.AnswerTokens) * e.TokenTime.Seconds()
	seconds := (wait.Seconds() + cost + decode) * max(1, e.Penalty)
	return Choice{EstimatedSeconds: seconds, Wait: wait, ImportKV: importing}
}

// EstimateWait estimates how long a call that joins a queue now waits for a permit:
// permits come back one call time apart for each.
func EstimateWait(e *Candidate) time.Duration {
	permits := max(1, e.Permits)
	ahead := e.Running + e.Waiting + 1 - permits
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(permits) * float64(e.CallTime))
}

func secondsOf(tokens int64, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return float64(tokens) / rate
}

// usableOf returns the indexes of the candidates that may be used: healthy
// ones, a sick one that is due for a probe, or, if all are sick, all of them.
// Endpoints to avoid are used only if no other is left.
func usableOf(c Call, candidates []Candidate) []int {
	var usable, avoided, sick []int
	for i := range candidates {
		e := &candidates[i]
		switch {
		case e.Leaving:
		case contains(c.Avoid, e.Name):
			avoided = append(avoided, i)
		case e.Unhealthy && !e.ProbeDue:
			sick = append(sick, i)
		default:
			usable = append(usable, i)
		}
	}
	switch {
	case len(usable) > 0:
		return usable
	case len(sick) > 0:
		return sick
	default:
		return avoided
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// preferenceOf orders the endpoints for a root by rendezvous hashing.
func preferenceOf(root uint64, name string) uint64 {
	d := xxhash.NewWithSeed(root)
	d.WriteString(name)
	return d.Sum64()
}

// roundRobin takes the endpoints in turn.
type roundRobin struct{ next int }

// Place implements Placer.
func (p *roundRobin) Place(c Call, candidates []Candidate) (Choice, bool) {
	usable := usableOf(c, candidates)
	if len(usable) == 0 {
		return Choice{Index: -1}, false
	}
	i := usable[p.next%len(usable)]
	p.next++
	return Choice{Index: i, Wait: EstimateWait(&candidates[i])}, true
}

// ShouldMove reports whether a call that waits at one endpoint is better moved
// to another: the wait left here, with the rest of the call, must cost more
// than margin times the whole call there.
func ShouldMove(here, there Choice, margin float64) bool {
	return there.EstimatedSeconds*margin < here.EstimatedSeconds
}
