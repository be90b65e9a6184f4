// Package placement decides which endpoint runs a call. It compares endpoints by
// the estimated time until the call would end there, computed from measured
// rates. It performs no I/O: the caller passes the state of the endpoints.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Call describes the call to place.
type Call struct {
	PromptTokens int64
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int64
	// Avoid lists endpoints to use only if there is no other.
	Avoid []string
	// PrefixKey identifies the prompt prefix that the call shares with others of
	// its workspace. While no endpoint is known to have cached the prefix, calls
	// with the same key prefer the same endpoints.
	PrefixKey uint64
}

// prefixKeyBlocks is the number of prompt blocks that form the shared prefix.
const prefixKeyBlocks = 32

// PrefixKeyOf returns the PrefixKey of a prompt. blocks are the chained hashes
// of its blocks, each covering the prompt up to that block.
func PrefixKeyOf(blocks []uint64) uint64 {
	if len(blocks) == 0 {
		return 0
	}
	return blocks[min(len(blocks), prefixKeyBlocks)-1]
}

// Candidate is an endpoint that serves the call's target.
type Candidate struct {
	Name string
	// CachedTokens is the estimated length of the longest prefix of the prompt
	// in the endpoint's cache.
	CachedTokens int64
	// Running and Waiting count the calls of the endpoint's queue; Permits is
	// the number of calls that may run at once.
	Running, Waiting, Permits int
	// CallTime is the mean time that a call holds a permit.
	CallTime time.Duration
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// TokenTime is the mean time between two tokens of one stream.
	TokenTime time.Duration
	// ImportRate is the rate at which the endpoint can import KV cache from
	// another one, in tokens per second; 0 if it can't. ImportableTokens is the
	// length of the longest prefix of the prompt in the cache of another endpoint.
	ImportRate       float64
	ImportableTokens int64
	// Penalty multiplies the estimated time at a slow or unhealthy endpoint; it
	// is 1 for others.
	Penalty float64
	// Leaving and Unhealthy endpoints get no calls, but an unhealthy one for
	// which ProbeDue is set gets one call as a probe.
	Leaving, Unhealthy, ProbeDue bool
}

// Choice is the endpoint that was chosen for a call.
type Choice struct {
	Index int // among the candidates
	// EstimatedSeconds is the estimated time until the call ends, QueueWait the queue
	// wait that it includes.
	EstimatedSeconds float64
	QueueWait        time.Duration
	// ImportKV means that the endpoint should import KV cache before the call.
	ImportKV bool
}

// Placer chooses one of the candidates for a call. It reports false if none may be
// used.
type Placer interface {
	Place(c Call, candidates []Candidate) (Choice, bool)
}

// Kind is the kind of a placer.
type Kind string

// The kinds.
const (
	KindLeastTime  Kind = "seconds" // least estimated time until the end of the call
	KindRoundRobin Kind = "round-robin"
)

// New returns a placer of a kind; an unknown kind counts as KindLeastTime. A
// round-robin placer is not safe for concurrent use.
func New(kind Kind, cfg Config) Placer {
	if kind == KindRoundRobin {
		return &roundRobin{}
	}
	return &leastTime{cfg: cfg}
}

// Config configures KindLeastTime.
type Config struct {
	// RecomputeCost multiplies the prefill time of tokens that are not cached:
	// their prefill also delays the other streams of the batch.
	RecomputeCost float64
	// EvictionCost is the cost of adding tokens to an endpoint's cache, as a share
	// of their prefill time: the cache entries that the tokens evict may have to
	// be prefilled again later.
	EvictionCost float64
	// TieSeconds is the difference in estimated seconds below which two
	// endpoints count as equal, so that the prefix key decides between them.
	TieSeconds float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{RecomputeCost: 1, EvictionCost: 0.5, TieSeconds: 0.05}
}

// leastTime chooses the endpoint at which the call would end first: after the
// queue wait, the prefill or import of tokens that are not cached, and decoding.
type leastTime struct{ cfg Config }

// Place implements Placer.
func (p *leastTime) Place(c Call, candidates []Candidate) (Choice, bool) {
	usable := usableCandidates(c, candidates)
	best := Choice{Index: -1}
	var bestPreference uint64
	for _, i := range usable {
		choice := p.estimate(c, &candidates[i])
		choice.Index = i
		preference := hashPreference(c.PrefixKey, candidates[i].Name)
		if best.Index < 0 || p.better(choice, preference, best, bestPreference) {
			best, bestPreference = choice, preference
		}
	}
	if best.Index < 0 {
		return best, false
	}
	if i, ok := probeCandidate(candidates, usable); ok && candidates[best.Index].CachedTokens == 0 {
		best = p.estimate(c, &candidates[i])
		best.Index = i
	}
	return best, true
}

// probeCandidate returns the index of an unhealthy endpoint that is due for a probe.
// Place chooses that endpoint for the next call that has no cached prefix at the
// best endpoint: by its estimated time alone it might never be the best, and so
// would never be healthy again.
func probeCandidate(candidates []Candidate, usable []int) (int, bool) {
	for _, i := range usable {
		if candidates[i].Unhealthy && candidates[i].ProbeDue {
			return i, true
		}
	}
	return 0, false
}

func (p *leastTime) better(a Choice, preferenceA uint64, b Choice, preferenceB uint64) bool {
	difference := a.EstimatedSeconds - b.EstimatedSeconds
	if difference > -p.cfg.TieSeconds && difference < p.cfg.TieSeconds {
		return preferenceA > preferenceB
	}
	return difference < 0
}

// estimate returns the choice of a candidate for a call, without its index.
func (p *leastTime) estimate(c Call, e *Candidate) Choice {
	wait := EstimateWait(e)
	uncached := max(0, c.PromptTokens-e.CachedTokens)
	prefill := secondsFor(uncached, e.PrefillRate)
	cost := prefill * (p.cfg.RecomputeCost + p.cfg.EvictionCost)
	importKV := false
	if e.ImportRate > 0 && e.ImportableTokens > e.CachedTokens {
		imported := e.ImportableTokens - e.CachedTokens
		importCost := secondsFor(imported, e.ImportRate) + secondsFor(imported, e.PrefillRate)*p.cfg.EvictionCost +
			secondsFor(max(0, c.PromptTokens-e.ImportableTokens), e.PrefillRate)*(p.cfg.RecomputeCost+p.cfg.EvictionCost)
		if importCost < cost {
			cost, importKV = importCost, true
		}
	}
	decode := float64(c.AnswerTokens) * e.TokenTime.Seconds()
	seconds := (wait.Seconds() + cost + decode) * max(1, e.Penalty)
	return Choice{EstimatedSeconds: seconds, QueueWait: wait, ImportKV: importKV}
}

// EstimateWait estimates the queue wait of a call that joins the endpoint's queue
// now: permits are released at a rate of Permits per CallTime.
func EstimateWait(e *Candidate) time.Duration {
	permits := max(1, e.Permits)
	ahead := e.Running + e.Waiting + 1 - permits
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(permits) * float64(e.CallTime))
}

// secondsFor returns the time to process tokens at a rate in tokens per second, or 0
// if the rate is unknown.
func secondsFor(tokens int64, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return float64(tokens) / rate
}

// usableCandidates returns the indexes of the candidates that may be used: those
// that are healthy or due for a probe, else the unhealthy ones, else those that the
// call should avoid. Leaving endpoints are never used.
func usableCandidates(c Call, candidates []Candidate) []int {
	var usable, avoided, unhealthy []int
	for i := range candidates {
		e := &candidates[i]
		switch {
		case e.Leaving:
		case contains(c.Avoid, e.Name):
			avoided = append(avoided, i)
		case e.Unhealthy && !e.ProbeDue:
			unhealthy = append(unhealthy, i)
		default:
			usable = append(usable, i)
		}
	}
	switch {
	case len(usable) > 0:
		return usable
	case len(unhealthy) > 0:
		return unhealthy
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

// hashPreference returns the score of an endpoint for a prefix key in rendezvous
// hashing; the highest is preferred.
func hashPreference(prefixKey uint64, name string) uint64 {
	digest := xxhash.NewWithSeed(prefixKey)
	digest.WriteString(name)
	return digest.Sum64()
}

// roundRobin uses the endpoints in turn.
type roundRobin struct{ next int }

// Place implements Placer.
func (p *roundRobin) Place(c Call, candidates []Candidate) (Choice, bool) {
	usable := usableCandidates(c, candidates)
	if len(usable) == 0 {
		return Choice{Index: -1}, false
	}
	i := usable[p.next%len(usable)]
	p.next++
	return Choice{Index: i, QueueWait: EstimateWait(&candidates[i])}, true
}

// ShouldMove reports whether a call that waits at one endpoint should move to
// another: the estimated time until it would end here, with the remaining queue
// wait, must exceed margin times the estimated time there.
func ShouldMove(here, there Choice, margin float64) bool {
	return there.EstimatedSeconds*margin < here.EstimatedSeconds
}
