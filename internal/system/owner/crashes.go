package owner

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/quarantine"
)

// crashMemory remembers the model calls under which engines ended, so that a call that
// crashes engines isn't sent to one after the other, by its own attempts or by programs that
// make it again. It knows the calls of this VM's programs. It is safe for concurrent use.
type crashMemory struct {
	mu     sync.Mutex
	memory quarantine.Memory // guarded by mu
}

// promptFingerprint identifies model calls with the same prompt.
func promptFingerprint(model string, prompt []entity.Message) (uint64, error) {
	d := xxhash.New()
	_, _ = d.WriteString(model + "\x00") // writing to a hash never fails
	err := json.NewEncoder(d).Encode(prompt)
	return d.Sum64(), err
}

// sinceEpoch returns a time as the quarantine's duration since a common origin.
func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// heldFor returns for how long a call is rejected; 0 if it isn't.
func (m *crashMemory) heldFor(call uint64, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, left := m.memory.Level(call, 0, sinceEpoch(now))
	return left
}

// recordEnd records that the engine ended during an attempt.
func (m *crashMemory) recordEnd(attempt string, call uint64, started, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.memory.Expire(sinceEpoch(now))
	m.memory.RecordEnd(attempt, []quarantine.Run{{Request: call, Started: sinceEpoch(started)}}, sinceEpoch(now))
}

// recordCompletion clears a call that was answered.
func (m *crashMemory) recordCompletion(call uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.memory.RecordCompletion(call, 0, sinceEpoch(now))
}
