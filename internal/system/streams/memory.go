package streams

import (
	"hash/maphash"
	"time"
)

const (
	// Retention is how long a version is remembered at least. A stream whose caller may come
	// back later than that is remembered for longRetention.
	Retention = time.Minute
	// longRetention is the longest time for which a caller waits.
	longRetention = time.Hour
	// maxGeneration bounds the records of one generation.
	maxGeneration = 1 << 17
	// maxNames bounds the different versions of all services in one generation.
	maxNames = 1 << 12
)

// memory keeps versions by attempt until the callers no longer wait. Its zero value is empty.
type memory struct {
	short, long generations
}

// put keeps a record for as long as its caller may come back.
func (m *memory) put(r Record, now time.Duration) {
	if r.Wait > Retention {
		m.long.put(r, now, longRetention)
		return
	}
	m.short.put(r, now, Retention)
}

// get returns the version of a stream of a service. It is empty if the stream is known to have
// begun at another service: no version of this one fits.
func (m *memory) get(service, attempt string, now time.Duration) (version string, known bool) {
	if version, known = m.short.get(service, attempt, now, Retention); known {
		return version, true
	}
	return m.long.get(service, attempt, now, longRetention)
}

// generations keeps records in two generations: when the newer one is old or large, it becomes
// the older one, whose records are dropped.
type generations struct {
	newer, older generation
	rotated      time.Duration
}

// generation holds versions by the hash of the attempt: at two bytes for each version and without
// the ids, since there may be hundreds of records a second.
type generation struct {
	records map[uint64]uint16 // index in names
	names   []serviceVersion
	indexes map[serviceVersion]uint16 // in names
}

type serviceVersion struct{ service, version string }

// seed differs in each process, so that nobody can choose attempts with the same hash.
var seed = maphash.MakeSeed()

func attemptHash(attempt string) uint64 { return maphash.String(seed, attempt) }

func (g *generations) rotate(now, retention time.Duration) {
	if g.newer.records == nil || now-g.rotated >= retention || len(g.newer.records) >= maxGeneration || len(g.newer.names) >= maxNames {
		g.newer, g.older, g.rotated = generation{records: make(map[uint64]uint16), indexes: make(map[serviceVersion]uint16)}, g.newer, now
	}
}

func (g *generations) put(r Record, now, retention time.Duration) {
	g.rotate(now, retention)
	name := serviceVersion{r.Service, r.Version}
	index, ok := g.newer.indexes[name]
	if !ok {
		index = uint16(len(g.newer.names))
		g.newer.names = append(g.newer.names, name)
		g.newer.indexes[name] = index
	}
	g.newer.records[attemptHash(r.Attempt)] = index
}

func (g *generations) get(service, attempt string, now, retention time.Duration) (version string, known bool) {
	g.rotate(now, retention)
	key := attemptHash(attempt)
	for _, generation := range []*generation{&g.newer, &g.older} {
		index, ok := generation.records[key]
		switch {
		case !ok:
		case generation.names[index].service != service:
			return "", true
		default:
			return generation.names[index].version, true
		}
	}
	return "", false
}
