package load

import "time"

// EngineProfile is the speed and size of a stand-in engine, in the time of
// the workload.
type EngineProfile struct {
	Slots       int
	CacheTokens int64
	Prefill     time.Duration // for one prompt token
	Chunk       int64         // prompt tokens in one step
	Decode      time.Duration // one step of a batch of one
	BatchCost   time.Duration // for each further call in the batch
	EventLag    time.Duration // of cache events
	EventGap    int           // every so-manieth cache event is lost
	LoadLag     time.Duration // of load reports
	// Transfer is the speed of KV export and import in tokens a second, 0 if
	// the engine is not to do it.
	Transfer float64
}

// DefaultEngine returns an engine of some 375 generated tokens a second.
func DefaultEngine() EngineProfile {
	return EngineProfile{
		Slots:       16,
		CacheTokens: 128 << 10,
		Prefill:     125 * time.Microsecond,
		Chunk:       1024,
		Decode:      20 * time.Millisecond,
		BatchCost:   1500 * time.Microsecond,
		EventLag:    time.Second,
		EventGap:    50,
		LoadLag:     time.Second,
	}
}

// Capacity is the rate of programs, in programs a second, that fills some
// engines for good: every batch is full, and no prompt token that has been
// computed before is computed again.
func (e EngineProfile) Capacity(engines int, w Work) float64 {
	step := e.Decode + time.Duration(e.Slots-1)*e.BatchCost
	perToken := step.Seconds() / float64(e.Slots)
	seconds := float64(w.Prompt)*e.Prefill.Seconds() + float64(w.Generated)*perToken
	return float64(engines) / seconds
}
