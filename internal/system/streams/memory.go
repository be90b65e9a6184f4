package streams

import "time"

const (
	// Retention is how long a version is remembered at least. A stream that lasts longer
	// has to be recorded again.
	Retention = time.Minute
	// maxGeneration bounds the records of one generation, and so those of a VM.
	maxGeneration = 1 << 15
)

// memory keeps versions by attempt in two generations: when the newer one is old or large, it
// becomes the older one, whose records are dropped. Its zero value is empty.
type memory struct {
	newer, older map[attemptKey]string
	rotated      time.Duration
	names        map[string]string // services and versions that occur, each stored once
}

type attemptKey struct{ service, attempt string }

// maxNames bounds the names that are stored once.
const maxNames = 256

// name returns the stored copy of a service or version.
func (m *memory) name(s string) string {
	if stored, ok := m.names[s]; ok {
		return stored
	}
	if m.names == nil || len(m.names) >= maxNames {
		m.names = make(map[string]string)
	}
	m.names[s] = s
	return s
}

func (m *memory) rotate(now time.Duration) {
	if m.newer == nil || now-m.rotated >= Retention || len(m.newer) >= maxGeneration {
		m.newer, m.older, m.rotated = make(map[attemptKey]string), m.newer, now
	}
}

func (m *memory) put(r Record, now time.Duration) {
	m.rotate(now)
	m.newer[attemptKey{m.name(r.Service), r.Attempt}] = m.name(r.Version)
}

func (m *memory) get(service, attempt string, now time.Duration) (version string, known bool) {
	m.rotate(now)
	key := attemptKey{service, attempt}
	if version, known = m.newer[key]; !known {
		version, known = m.older[key]
	}
	return version, known
}
