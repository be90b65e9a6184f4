package quota

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/policy/quota"
)

// account is what this VM knows of one workspace. It is guarded by Quotas.mu.
type account struct {
	name       string
	version    int64 // of the configuration that limit is from
	limit      quota.Limit
	purse      quota.Purse
	waiting    []*waiter
	asking     bool             // a question is under way; there is one at a time
	noSpare    time.Duration    // until then no tokens are asked for ahead
	pauses     map[string]pause // by data centre
	usage      quota.Usage      // not yet reported
	lastUsedAt time.Duration
}

// pause is the time for which a data centre's share is not asked for.
type pause struct {
	until time.Duration
	free  time.Duration // when the share will have something left for the next request
	err   error         // why no keeper was found; nil if the share has nothing left
	// newUntil and newFree are the same for requests that begin programs.
	newUntil, newFree time.Duration
}

// waiter is a request that waits for an answer.
type waiter struct {
	req       Request
	result    chan error      // receives one value
	gone      <-chan struct{} // closed when nobody waits any more
	questions int             // asked for it
	verdict   verdict
}

// verdict is what the keepers that could not grant a request have said.
type verdict struct {
	unavailable []error
	wait        time.Duration // the shortest of those named
	begins      bool
	left        float64
}

// spare returns how many tokens to ask for ahead.
func (a *account) spare(now time.Duration) int {
	if now < a.noSpare {
		return 0
	}
	return a.purse.Spare(now)
}

// question returns the question for requests that wait, and which of them are those of
// Ask.Programs; mu is held.
func (a *account) question(waiting []*waiter, spare int, home bool) (req GrantRequest, firsts []*waiter) {
	req = GrantRequest{Workspace: a.name, Version: a.version, Limit: a.limit, Ask: quota.Ask{Spare: spare}}
	if home {
		req.Ask.Usage = a.usage
	}
	for _, w := range waiting {
		if w.req.First {
			firsts = append(firsts, w)
			req.Ask.Programs = append(req.Ask.Programs, xxhash.Sum64String(w.req.Program))
		} else {
			req.Ask.Others++
		}
	}
	return req, firsts
}

// add adds what a data centre's keeper has said, or why none has.
func (v *verdict) add(dc string, err error, wait time.Duration, begins bool, left float64) {
	if err != nil {
		v.unavailable = append(v.unavailable, fmt.Errorf("%s: %w", dc, err))
		return
	}
	if v.wait == 0 || wait < v.wait {
		v.wait = wait
	}
	v.begins = v.begins || begins
	v.left = max(v.left, left)
}
