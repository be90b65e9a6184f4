package load

import "time"

// EngineProfile is the speed and size of a stand-in engine, in the time of
// the workload.
type EngineProfile struct {
	Slots             int
	CacheTokens       int64
	PrefillPerToken   time.Duration // for one prompt token
	PrefillChunk      int64         // prompt tokens in one step
	DecodeStep        time.Duration // one step of a batch of one
	BatchPenalty      time.Duration // for each further call in the batch
	EventLag          time.Duration // of cache events
	DropEveryNthEvent int           // every so-manieth cache event is lost
	LoadLag           time.Duration // of load reports
	// TransferRate is the speed of KV export and import in tokens a second, 0 if
	// the engine is not to do it.
	TransferRate float64
}

// DefaultEngine returns an engine of some 375 generated tokens a second.
func DefaultEngine() EngineProfile {
	return EngineProfile{
		Slots:             16,
		CacheTokens:       128 << 10,
		PrefillPerToken:   125 * time.Microsecond,
		PrefillChunk:      1024,
		DecodeStep:        20 * time.Millisecond,
		BatchPenalty:      1500 * time.Microsecond,
		EventLag:          time.Second,
		DropEveryNthEvent: 50,
		LoadLag:           time.Second,
	}
}

// Capacity is the rate of programs, in programs a second, that fills some
// engines for good: every batch is full, and no prompt token that has been
// computed before is computed again.
func (e EngineProfile) Capacity(engines int, w Work) float64 {
	step := e.DecodeStep + time.Duration(e.Slots-1)*e.BatchPenalty
	perToken := step.Seconds() / float64(e.Slots)
	seconds := float64(w.PromptTokens)*e.PrefillPerToken.Seconds() + float64(w.GeneratedTokens)*perToken
	return float64(engines) / seconds
}
