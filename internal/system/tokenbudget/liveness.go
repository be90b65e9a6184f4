package tokenbudget

import (
	"context"
	"errors"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/mesh"
)

// A keeper hears of a program only when tokens of its quota are asked for, but the program may go on
// at its home for long. A keeper that took a program that it has forgotten for a new one would grant
// its quota once more. So each VM tells the keepers of all data centres which programs go on there,
// whether with turns or with other requests: the home may have ended, or be unknown since the end of
// all VMs.

const (
	// tellInterval is the pause between two messages about a program that goes on. Most programs
	// end before the first one.
	tellInterval = 30 * time.Second
	// usageRetention is how long a keeper keeps the usage of a program that it hears nothing of:
	// several messages may be lost.
	usageRetention = 2 * programRetention
	// unknownUsage is the usage of a program that went on before its bucket was claimed, if the
	// earlier keeper's records are lost. It exceeds any budget.
	unknownUsage = int64(1) << 50
)

// known reports whether the usage is not merely a bound.
func (u *usage) known() bool { return u.used < unknownUsage/2 }

// TellKeepers tells the keepers which programs go on at this VM. It is called periodically.
func (l *Ledger) TellKeepers(ctx context.Context, now time.Time) {
	l.mu.Lock()
	var programs []string
	for program, a := range l.accounts {
		if now.Sub(a.toldAt) >= tellInterval && a.lastUsed.After(a.toldAt) {
			programs = append(programs, program)
		}
	}
	l.mu.Unlock()
	if len(programs) == 0 {
		return
	}
	untold := l.Quotas.tellAll(ctx, programs)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, program := range programs {
		if a := l.accounts[program]; a != nil && !untold[program] {
			a.toldAt = now
		}
	}
}

// tellAll tells the keepers of all data centres that programs go on. It returns those that some
// keeper wasn't told of.
func (q *Quotas) tellAll(ctx context.Context, programs []string) (untold map[string]bool) {
	byBucket := make(map[int][]string)
	for _, program := range programs {
		b := bucketOf(program)
		byBucket[b] = append(byBucket[b], program)
	}
	untold = make(map[string]bool)
	for _, list := range byBucket {
		for _, dc := range q.DCs {
			if !q.tellKeeper(ctx, dc, list) {
				for _, program := range list {
					untold[program] = true
				}
			}
		}
	}
	return untold
}

// tellKeeper tells a data centre's keeper that programs of one bucket go on, and reports whether it
// was told.
func (q *Quotas) tellKeeper(ctx context.Context, dc string, programs []string) bool {
	for _, keeper := range q.keeperCandidates(programs[0], dc) {
		if ctx.Err() != nil {
			return false
		}
		if keeper == q.ProcessID {
			if q.observePrograms(programs) {
				return true
			}
			continue
		}
		var kept bool
		err := q.Peers.call(ctx, keeper, serviceName+".ObservePrograms", q.Peers.Timeouts.Keeper, programs, &kept)
		if err == nil && kept {
			return true
		}
	}
	return false
}

// observePrograms records that programs of one bucket go on. It reports whether this VM keeps the bucket.
func (q *Quotas) observePrograms(programs []string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(programs) == 0 {
		return true
	}
	kept := q.activeBucket(bucketOf(programs[0]))
	if kept == nil {
		return false
	}
	for _, program := range programs {
		if bucketOf(program) == bucketOf(programs[0]) {
			kept.usageOf(program)
		}
	}
	return true
}

// ObservePrograms records that programs of one bucket go on at their home.
func (s *service) ObservePrograms(programs []string, kept *bool) error {
	*kept = s.quotas.observePrograms(slices.Clone(programs))
	return nil
}

// responded reports whether an error of a call shows that a VM responded.
func responded(err error) bool {
	var fault *mesh.Fault
	return errors.Is(err, mesh.ErrOtherProcess) || errors.As(err, &fault)
}
