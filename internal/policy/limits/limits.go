// Package limits splits the limits that operators set for a workspace across
// VMs, and bounds retries. Neither needs a message or a write for each call.
package limits

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Demand is the recent demand of a workspace at one VM.
type Demand struct {
	VM    string
	Calls float64 // in the unit of the limit: calls per second or calls in flight
}

// evenShare is the share of a limit that is split evenly, so that a VM without
// recent demand can admit a first call.
const evenShare = 0.2

// Split returns the part of a limit that a VM may use: evenShare of the limit is
// split evenly, the rest in proportion to demand. The parts of VMs that use the
// same demands add up to the limit; while some VMs already use newer demands
// than others, the parts add up to less than twice the limit. Without demands, the
// part is the whole limit.
func Split(limit float64, demands []Demand, vm string) float64 {
	if len(demands) == 0 {
		return limit
	}
	var total, ownDemand float64
	for _, d := range demands {
		total += d.Calls
		if d.VM == vm {
			ownDemand = d.Calls
		}
	}
	even := limit / float64(len(demands))
	if total <= 0 {
		return even
	}
	return evenShare*even + (1-evenShare)*limit*ownDemand/total
}

// SplitInteger is Split for limits that count calls: the parts are integers that
// add up to the limit. They are rounded down, and what remains of the limit is
// added, one each, to those with the largest fractions (largest remainder method),
// with ties broken by a hash of the workspace and VM. The part of a VM that is not
// in demands is 0.
func SplitInteger(limit int, workspace string, demands []Demand, vm string) int {
	if len(demands) == 0 {
		return limit
	}
	type part struct {
		vm       string
		integer  int
		fraction float64
		tie      uint64 // breaks ties between equal fractions
	}
	parts := make([]part, len(demands))
	unassigned := limit
	for i, d := range demands {
		exact := Split(float64(limit), demands, d.VM)
		integer := int(exact)
		parts[i] = part{vm: d.VM, integer: integer, fraction: exact - float64(integer), tie: xxhash.Sum64String(workspace + "\x00" + d.VM)}
		unassigned -= integer
	}
	sort.Slice(parts, func(i, j int) bool {
		if parts[i].fraction != parts[j].fraction {
			return parts[i].fraction > parts[j].fraction
		}
		return parts[i].tie < parts[j].tie
	})
	for i, p := range parts {
		if i < unassigned {
			p.integer++
		}
		if p.vm == vm {
			return p.integer
		}
	}
	return 0
}

// RetryBudget bounds retries to a share of the calls. It is a value: RecordCall
// and AllowRetry return the updated budget.
type RetryBudget struct {
	retriesPerCall float64
	maxBalance     float64
	balance        float64 // retries allowed now
}

// NewRetryBudget returns a budget to which each call adds retriesPerCall. The
// balance starts at, and is bounded by, maxBalance retries.
func NewRetryBudget(retriesPerCall, maxBalance float64) RetryBudget {
	return RetryBudget{retriesPerCall: retriesPerCall, maxBalance: maxBalance, balance: maxBalance}
}

// RecordCall records the first attempt of a call.
func (b RetryBudget) RecordCall() RetryBudget {
	b.balance = min(b.maxBalance, b.balance+b.retriesPerCall)
	return b
}

// AllowRetry deducts one retry from the balance. It reports false if the balance
// is below one retry.
func (b RetryBudget) AllowRetry() (RetryBudget, bool) {
	if b.balance < 1 {
		return b, false
	}
	b.balance--
	return b, true
}
