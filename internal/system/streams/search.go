package streams

import (
	"context"
	"sync"
	"time"
)

const (
	// searchIntervalPerVM times the number of VMs is the shortest time between two searches of a
	// VM, so that a VM is asked 100 times a second at most, however many there are.
	searchIntervalPerVM = 10 * time.Millisecond
	// searchWait is how long a request waits for a search to begin and to find something.
	searchWait = 400 * time.Millisecond
	// searchRank ranks the VMs that are asked; all are.
	searchRank = "streams"
	// maxSearched bounds the attempts of one search, and maxSearchCalls its simultaneous calls.
	maxSearched    = 256
	maxSearchCalls = 32
)

// search asks all VMs for attempts that no witness knows: a witness may have been replaced by one
// that ranks before it, while the VM that began the stream or an earlier witness is still there.
// Attempts that are asked for at the same time share one search.
type search struct {
	mu      sync.Mutex
	waiting map[attemptKey]*searched // guarded by mu
	running bool                     // guarded by mu
	last    time.Duration            // guarded by mu; start of the last search
	count   int                      // guarded by mu; searches so far
}

type attemptKey struct{ Service, Attempt string }

// searched is an attempt that is searched for.
type searched struct {
	done    chan struct{} // closed when version is set, or the search has ended
	once    sync.Once
	version string // empty if no VM knows it
}

func (s *searched) end(version string) {
	s.once.Do(func() {
		s.version = version
		close(s.done)
	})
}

// findAnywhere returns the version that any VM remembers for an attempt.
func (o *Origins) findAnywhere(ctx context.Context, service, attempt string) (version string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, searchWait)
	defer cancel()
	s := o.enqueue(attemptKey{service, attempt})
	if s == nil {
		return "", false
	}
	select {
	case <-s.done:
		return s.version, s.version != ""
	case <-ctx.Done():
		return "", false
	}
}

// enqueue adds an attempt to the next search, and returns nil if that has too many.
func (o *Origins) enqueue(key attemptKey) *searched {
	s := &o.search
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.waiting[key]; w != nil {
		return w
	}
	if len(s.waiting) >= maxSearched {
		return nil
	}
	if s.waiting == nil {
		s.waiting = make(map[attemptKey]*searched)
	}
	w := &searched{done: make(chan struct{})}
	s.waiting[key] = w
	if !s.running {
		s.running = true
		go o.runSearches()
	}
	return w
}

// runSearches searches until no attempt is waiting.
func (o *Origins) runSearches() {
	s := &o.search
	for {
		s.mu.Lock()
		interval := time.Duration(o.Directory.Size()) * searchIntervalPerVM
		pause := s.last + interval - o.Clock.Now()
		if s.last == 0 {
			pause = 0
		}
		s.mu.Unlock()
		if pause > 0 {
			<-o.Clock.After(pause)
		}
		s.mu.Lock()
		batch := s.waiting
		s.waiting = nil
		if len(batch) == 0 {
			s.running = false
			s.mu.Unlock()
			return
		}
		s.last = o.Clock.Now()
		s.count++
		s.mu.Unlock()
		o.searchFor(batch)
	}
}

// searchFor asks all VMs for a batch of attempts.
func (o *Origins) searchFor(batch map[attemptKey]*searched) {
	keys := make([]attemptKey, 0, len(batch))
	for key := range batch {
		keys = append(keys, key)
	}
	ctx, cancel := context.WithTimeout(context.Background(), searchWait)
	defer cancel()
	// Its connections end with the search: a VM isn't connected to all others otherwise.
	client := o.NewMesh()
	defer client.Close()
	calls := make(chan struct{}, maxSearchCalls)
	var wg sync.WaitGroup
	for _, address := range o.Directory.Peers(searchRank) {
		if o.Suspects.Suspected(address) {
			continue
		}
		calls <- struct{}{}
		wg.Go(func() {
			defer func() { <-calls }()
			var versions []string
			if err := client.Call(ctx, address, serviceName+".Search", keys, &versions); err != nil || len(versions) != len(keys) {
				return // without suspicion: VMs of the previous release don't know the call
			}
			for i, version := range versions {
				if version != "" {
					o.store([]Record{{Service: keys[i].Service, Attempt: keys[i].Attempt, Version: version}})
					batch[keys[i]].end(version)
				}
			}
		})
	}
	wg.Wait()
	for _, w := range batch {
		w.end("")
	}
}

// Search returns the versions that this VM remembers for attempts, empty for those that it
// doesn't know.
func (s *service) Search(keys []attemptKey, versions *[]string) error {
	o := s.origins
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	*versions = make([]string, len(keys))
	for i, key := range keys {
		(*versions)[i], _ = o.memory.get(key.Service, key.Attempt, now)
	}
	return nil
}
