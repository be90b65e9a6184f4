// Package limits splits the operators' limits of a workspace over the VMs and
// bounds retries, without a message or a write for each call.
package limits

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Demand is what one VM has lately seen of a workspace.
type Demand struct {
	VM    string
	Calls float64 // calls a second, or calls under way
}

// reserve is the part of a limit that is split evenly, so that a VM without
// demand so far can admit a first call.
const reserve = 0.2

// Split returns the part of a limit that a VM may use: a fifth is shared
// evenly, the rest by demand. Over VMs that agree on the demands the parts sum
// up to the limit; while one change of demands is under way, they sum up to
// less than twice the limit.
func Split(limit float64, demands []Demand, vm string) float64 {
	if len(demands) == 0 {
		return limit
	}
	var total, own float64
	for _, d := range demands {
		total += d.Calls
		if d.VM == vm {
			own = d.Calls
		}
	}
	even := limit / float64(len(demands))
	if total <= 0 {
		return even
	}
	return reserve*even + (1-reserve)*limit*own/total
}

// SplitInteger is Split for limits on whole calls: the parts are whole numbers
// and sum up to the limit. Remainders go to the VMs with the largest fraction,
// ties to a VM chosen by hash of the workspace and VM.
func SplitInteger(limit int, workspace string, demands []Demand, vm string) int {
	if len(demands) == 0 {
		return limit
	}
	type part struct {
		vm       string
		whole    int
		fraction float64
		tie      uint64
	}
	parts := make([]part, len(demands))
	left := limit
	for i, d := range demands {
		exact := Split(float64(limit), demands, d.VM)
		whole := int(exact)
		parts[i] = part{vm: d.VM, whole: whole, fraction: exact - float64(whole), tie: xxhash.Sum64String(workspace + "\x00" + d.VM)}
		left -= whole
	}
	sort.Slice(parts, func(i, j int) bool {
		if parts[i].fraction != parts[j].fraction {
			return parts[i].fraction > parts[j].fraction
		}
		return parts[i].tie < parts[j].tie
	})
	for i, p := range parts {
		if i < left {
			p.whole++
		}
		if p.vm == vm {
			return p.whole
		}
	}
	return 0
}

// RetryBudget bounds retries to a share of live traffic. It is a value: Call
// and Retry return the next one.
type RetryBudget struct {
	share   float64 // retries for each call
	most    float64 // saved up at most
	balance float64
}

// NewRetryBudget returns a budget of a share of the calls, saved up to most
// retries, of which it starts with all.
func NewRetryBudget(share, most float64) RetryBudget {
	return RetryBudget{share: share, most: most, balance: most}
}

// RecordCall notes a first attempt.
func (b RetryBudget) RecordCall() RetryBudget {
	b.balance = min(b.most, b.balance+b.share)
	return b
}

// AllowRetry takes one retry from the budget, or reports false.
func (b RetryBudget) AllowRetry() (RetryBudget, bool) {
	if b.balance < 1 {
		return b, false
	}
	b.balance--
	return b, true
}
