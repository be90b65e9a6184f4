// Package streams remembers of each stream the software version of the endpoint that made its
// first event, so that a caller that takes the stream up again at any VM gets the rest from
// that version.
//
// The VM that forwards a first event keeps the version in memory and tells it to two witnesses:
// one in its own data centre and one in another, chosen by a hash of the attempt over the live
// VMs. It does so also while a service has only one version, since another one may come before
// the caller comes back. A VM where a caller takes a stream up asks the witnesses of all data
// centres. A version never changes once recorded, so any answer is right; if none is known,
// policy/resumption decides, and if that can't either, all VMs are asked.
package streams

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/policy/resumption"
)

// serviceName is the net/rpc service name.
const serviceName = "Streams"

const (
	// replyTimeout is how long witnesses are waited for, far above a round trip.
	replyTimeout = 120 * time.Millisecond
	// vmsPerShard is the number of VMs of the fleet for each shard of attempts. All
	// attempts of a shard have the same witnesses, so that a VM is connected to few.
	vmsPerShard = 32
	// witnesses is the number of VMs that are told of an attempt.
	witnesses = 2
	// maxWitnessesPerDC is the number of VMs of a data centre that are asked.
	maxWitnessesPerDC = 2
	// maxPending bounds the records that wait to be sent to one witness.
	maxPending = 1024
)

// Record says which software version made the first event of a stream.
type Record struct {
	Service, Attempt string
	Version          string        // empty if unknown
	Wait             time.Duration // for which the caller waits; 0 from VMs of the previous release
}

// Query asks what a VM knows about a stream.
type Query struct {
	Service, Attempt string        // Attempt is empty if the caller doesn't name it
	Wait             time.Duration // for which the caller says that it waits
	Horizon          time.Duration // for which callers of the service may come back, as the VM that asks knows it
	Reread           bool          // read the list of endpoints before the answer
}

// Directory knows the other VMs.
type Directory interface {
	// Witnesses returns the mesh addresses of the VMs ranked first by a key in each data
	// centre, this VM's own data centre first, without this VM.
	Witnesses(key string) [][]string
	// Size returns the number of VMs, including this one.
	Size() int
	// Peers returns the mesh addresses of all other VMs, in an order that a key determines.
	Peers(key string) []string
}

// History knows for how long callers may take up the streams of a service.
type History interface {
	// Observe records how long the caller of a stream waits that a version begins or goes on with.
	Observe(service, version string, deadline time.Duration)
	// Horizon returns for how long the callers of a service may come back.
	Horizon(service string) time.Duration
}

// Origins remembers the first versions of streams. It is safe for concurrent use.
type Origins struct {
	Mesh *mesh.Client
	// NewMesh returns another client, for calls to VMs that are seldom called.
	NewMesh   func() *mesh.Client
	Suspects  *mesh.Suspects
	Directory Directory
	// View returns what this VM knows about the software versions of a service within a
	// horizon, at least that of History.
	View func(service string, horizon time.Duration) resumption.View
	// History knows how long the callers of services wait.
	History History
	// Reread reads the changes of the list of endpoints and of the history up to now. It fails
	// if one of them can't be read.
	Reread func(ctx context.Context) error
	Clock  clock.Clock

	mu       sync.Mutex
	memory   memory              // guarded by mu
	pending  map[string][]Record // guarded by mu; by address of the witness
	flushing map[string]bool     // guarded by mu; whether flush runs, by address

	search search
}

// Record records a stream's first event, before it is sent to the caller.
func (o *Origins) Record(r Record) {
	o.History.Observe(r.Service, r.Version, r.Wait)
	if r.Attempt == "" {
		return
	}
	o.store([]Record{r})
	for _, address := range o.recipients(r.Attempt) {
		o.send(address, r)
	}
}

// store keeps records in memory.
func (o *Origins) store(list []Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	for _, r := range list {
		o.memory.put(r, now)
	}
}

// key returns the key that ranks the witnesses of an attempt.
func (o *Origins) key(attempt string) string {
	shards := uint64(1 + o.Directory.Size()/vmsPerShard)
	return "streams/" + strconv.FormatUint(xxhash.Sum64String(attempt)%shards, 10)
}

// recipients returns the witnesses that are told of an attempt: of this VM's data centre and
// of others, one of each, the first that is not suspected.
func (o *Origins) recipients(attempt string) []string {
	var list []string
	for _, dc := range o.Directory.Witnesses(o.key(attempt)) {
		i := slices.IndexFunc(dc, func(address string) bool { return !o.Suspects.Suspected(address) })
		if i >= 0 && len(list) < witnesses {
			list = append(list, dc[i])
		}
	}
	return list
}

// send sends a record in the background. Records to one witness that are recorded while a
// message to it is under way go with the next one.
func (o *Origins) send(address string, r Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending == nil {
		o.pending, o.flushing = make(map[string][]Record), make(map[string]bool)
	}
	if len(o.pending[address]) >= maxPending {
		return // the witness doesn't answer
	}
	o.pending[address] = append(o.pending[address], r)
	if !o.flushing[address] {
		o.flushing[address] = true
		go o.flush(address)
	}
}

// flush sends the pending records to a witness until none are left.
func (o *Origins) flush(address string) {
	for {
		o.mu.Lock()
		list := o.pending[address]
		delete(o.pending, address)
		if len(list) == 0 {
			delete(o.flushing, address)
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		ctx, cancel := o.replyContext(context.Background())
		var ok bool
		if err := o.Mesh.Call(ctx, address, serviceName+".Record", list, &ok); err != nil {
			o.Suspects.Suspect(address, err)
		}
		cancel()
	}
}

func (o *Origins) replyContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, replyTimeout+o.Suspects.Lag.TimeoutExtension())
}

// Resolve returns the version of the first event of a stream that a caller takes up, and how
// it was found out. Whoever began the stream had read the endpoint's entry before the caller
// came back, so that a reading of the list from now on shows its version.
func (o *Origins) Resolve(ctx context.Context, q Query) (string, resumption.Origin) {
	q.Horizon = o.horizon(q)
	if own := o.answer(q); own.Known && own.Version != "" {
		return own.Version, resumption.Remembered
	}
	version, origin := o.resolveByWitnesses(ctx, q)
	if origin == resumption.Unknown && q.Attempt != "" {
		if found, ok := o.findAnywhere(ctx, q.Service, q.Attempt); ok {
			return found, resumption.Remembered
		}
	}
	return version, origin
}

// horizon returns for how long the callers of a service may come back, the one that asks included.
func (o *Origins) horizon(q Query) time.Duration {
	return max(o.History.Horizon(q.Service), resumption.Horizon(resumption.DeadlineClass(q.Wait)))
}

// resolveByWitnesses is Resolve by what this VM and the witnesses know.
func (o *Origins) resolveByWitnesses(ctx context.Context, q Query) (string, resumption.Origin) {
	others, everywhere := o.ask(ctx, q)
	if version, known := remembered(others); known {
		return version, resumption.Remembered
	}
	rereadErr := o.Reread(ctx)
	q.Horizon = o.horizon(q)
	own := o.answer(q)
	own.View.Reread = rereadErr == nil
	version, origin := resumption.Resolve(own, others, everywhere)
	if origin != resumption.Unknown || !resumption.MayResolve(own, others) {
		return version, origin
	}
	q.Reread = true
	others, everywhere = o.ask(ctx, q)
	return resumption.Resolve(own, others, everywhere)
}

// remembered returns the version that one of the answers remembers.
func remembered(answers []resumption.Answer) (version string, known bool) {
	for _, a := range answers {
		if a.Known && a.Version != "" {
			return a.Version, true
		}
	}
	return "", false
}

// Current reads the list of endpoints up to now. It reports false if it can't and several versions
// of a service have served.
func (o *Origins) Current(ctx context.Context, service string) bool {
	return o.Reread(ctx) == nil || o.View(service, o.History.Horizon(service)).Sole()
}

// answer returns what this VM knows.
func (o *Origins) answer(q Query) resumption.Answer {
	view := o.View(q.Service, q.Horizon)
	o.mu.Lock()
	defer o.mu.Unlock()
	version, known := o.memory.get(q.Service, q.Attempt, o.Clock.Now())
	return resumption.Answer{Known: known, Version: version, View: view}
}

// ask returns the answers of the witnesses, until one of them knows the version, and whether
// one of each data centre has answered.
func (o *Origins) ask(ctx context.Context, q Query) (answers []resumption.Answer, everywhere bool) {
	ctx, cancel := o.replyContext(ctx)
	defer cancel()
	type reply struct {
		resumption.Answer
		dc  int
		err error
	}
	dcs := o.Directory.Witnesses(o.key(q.Attempt))
	replies := make(chan reply, len(dcs)*maxWitnessesPerDC)
	asked := 0
	for dc, addresses := range dcs {
		for _, address := range addresses[:min(len(addresses), maxWitnessesPerDC)] {
			if o.Suspects.Suspected(address) {
				continue
			}
			asked++
			go func() {
				r := reply{dc: dc}
				if r.err = o.Mesh.Call(ctx, address, serviceName+".Query", q, &r.Answer); r.err != nil && ctx.Err() == nil {
					o.Suspects.Suspect(address, r.err)
				}
				replies <- r
			}()
		}
	}
	answered := make([]bool, len(dcs))
	for range asked {
		r := <-replies
		if r.err != nil {
			continue
		}
		answers, answered[r.dc] = append(answers, r.Answer), true
		if r.Known && r.Version != "" {
			break
		}
	}
	return answers, !slices.Contains(answered, false)
}

// service exposes Origins over net/rpc.
type service struct{ origins *Origins }

// Register registers the origins for calls by other VMs.
func Register(server *mesh.Server, o *Origins) error {
	return server.Register(serviceName, &service{o})
}

// Record keeps records of another VM.
func (s *service) Record(list []Record, _ *bool) error {
	s.origins.store(list)
	return nil
}

// Query returns what this VM knows about a stream.
func (s *service) Query(q Query, out *resumption.Answer) error {
	ctx, cancel := s.origins.replyContext(context.Background())
	defer cancel()
	reread := q.Reread && s.origins.Reread(ctx) == nil
	*out = s.origins.answer(q)
	out.View.Reread = reread
	return nil
}
