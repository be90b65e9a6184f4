package load

import "time"

// EngineProfile is the speed and capacity of a simulated engine, in workload
// time.
type EngineProfile struct {
	Slots             int           // largest number of calls in a batch
	CacheTokens       int64         // capacity of the prefix cache
	PrefillPerToken   time.Duration // time to compute one prompt token
	PrefillChunk      int64         // largest number of prompt tokens in one step
	DecodeStep        time.Duration // time of a decode step with one call in the batch
	BatchPenalty      time.Duration // added to the step for each further call in the batch
	EventLag          time.Duration // delay of cache events
	DropEveryNthEvent int           // drops every nth cache event; 0 drops none
	LoadLag           time.Duration // delay of load reports
	// TransferRate is the speed of moving a KV cache to another engine, export
	// and import together, in tokens per second; 0 disables moves.
	TransferRate float64
}

// DefaultEngine returns the profile of an engine that generates about 375 tokens
// per second with a full batch.
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

// Capacity returns the rate, in programs per second, that saturates the given
// number of engines if every batch is full and no prompt token is computed
// twice. w is the work of one program.
func (e EngineProfile) Capacity(engines int, w Work) float64 {
	step := e.DecodeStep + time.Duration(e.Slots-1)*e.BatchPenalty
	perToken := step.Seconds() / float64(e.Slots)
	seconds := float64(w.PromptTokens)*e.PrefillPerToken.Seconds() + float64(w.GeneratedTokens)*perToken
	return float64(engines) / seconds
}
