package dispatch

import (
	"time"

	"ibisstall.example/ibisstall/internal/policy/quarantine"
)

// SlotRequest asks for a slot. Its times are relative to its submission, since clocks
// differ between VMs.
type SlotRequest struct {
	Service  string
	Request  string        // request id for logs
	Program  string        // empty for requests outside programs
	VM, DC   string        // requesting VM and its data centre
	Deadline time.Duration // time left until the request's deadline
	// Finish is the time left until the program's objective, LateFinish the time
	// left during which a late end is still of some use. Both are valid only if
	// HasFinish is set, and negative if that time has passed.
	Finish, LateFinish time.Duration
	HasFinish          bool
	Priority           int      // of the request's workspace or route; 0 is the most urgent
	Workspace          string   // empty where requests need no key
	First              bool     // first turn of its program, according to the requesting VM
	Once               bool     // must not be resent if its response is lost
	Prefixes           []uint64 // hashes of the prompt's prefixes, shortest prefix first
	PartTokens         []int32  // tokens that each prefix adds to the one before it
	AnswerTokens       int      // expected length of the answer; 0 for services without engines
	// ListCurrent means that the requesting VM's list of endpoints is up to date, as
	// far as that VM can tell. A scheduler whose own list may be outdated then
	// leaves the decision to another one.
	ListCurrent bool
	// Limits are rate limits that endpoints of the service named. A VM sends those that
	// it knows with its first request to a scheduler.
	Limits []EndpointLimit
	// Fingerprint and PathFingerprint identify equal requests and those of one path; 0
	// if the request can't be suspected of crashing endpoints.
	Fingerprint, PathFingerprint uint64
	// EndedUnder names the processes of endpoints that ended, one after the other, while
	// they may have been running this request.
	EndedUnder []string
	// Quarantine is what the requesting VM knows and the scheduler may not; QuarantineSeen
	// is the scheduler's QuarantineVersion that the VM has read.
	Quarantine     []quarantine.Shared
	QuarantineSeen uint64
	// Pinned means that only endpoints of SoftwareVersion may run the request, since it
	// resumes a stream that one of them began.
	Pinned          bool
	SoftwareVersion string
	Avoid           []string // ids of endpoints to exclude
	AvoidDCs        []string // data centres to exclude
}

// promptTokens returns the length of the prompt in tokens.
func (a *SlotRequest) promptTokens() int64 {
	var sum int64
	for _, n := range a.PartTokens {
		sum += int64(n)
	}
	return sum
}

// State is the scheduling state of a SlotRequest.
type State int

// Scheduling states.
const (
	Queued State = iota
	Assigned
	Refused
	// NotReady means that the scheduler has not loaded the list of endpoints, or that
	// its list may be outdated and the requesting VM's is not. The scheduler of
	// another VM may have the current list.
	NotReady
)

// SlotResponse reports the state of a SlotRequest.
type SlotResponse struct {
	State    State
	Ticket   uint64
	Endpoint string // id; set once assigned
	Address  string // of the endpoint
	DC       string // data centre of the endpoint
	// EntryVersion is the version of the endpoint's entry at the scheduler.
	EntryVersion uint64
	Waited       time.Duration // from the submission to the decision
	RetryAfter   time.Duration // set if refused
	Reason       string        // set if refused
	// ShareUse is how much of its share the request's workspace uses; above 1 it exceeds
	// the share. Set if refused and the request has a workspace.
	ShareUse float64
	Instance uint64 // of the scheduler; another one knows nothing of this one's limits
	// Limit is the endpoint's rate limit as far as the scheduler knows; set once assigned.
	Limit LimitState
	// Process identifies the endpoint's process, and SoftwareVersion is that of its
	// software, empty if unknown; set once assigned.
	Process, SoftwareVersion string
	// Quarantine is what the scheduler has learned since the requesting VM's
	// QuarantineSeen, up to QuarantineVersion.
	Quarantine        []quarantine.Shared
	QuarantineVersion uint64
}

// Result is how the use of a slot ended.
type Result int

// Results of using a slot.
const (
	Completed      Result = iota
	Failed                // the response broke off or was lost
	Full                  // the endpoint rejected the request for lack of room
	Unreachable           // the connection was refused, or the endpoint has ended
	ConnectTimeout        // connecting timed out: the endpoint or the requesting VM is cut off or slow
	Canceled              // the caller disconnected or its deadline passed
)

// EndpointLoss is what a VM knows about the end of an endpoint that may have been running
// its request.
type EndpointLoss int

// Kinds of losses.
const (
	NotLost EndpointLoss = iota
	Silent               // does not answer: it has ended, or the VM is cut off from it
	Ended                // refuses connections: its process has ended
)

// SlotRelease returns a slot and reports how it was used.
type SlotRelease struct {
	Ticket uint64
	Result Result
	Run    time.Duration // from sending the request to its end
	First  time.Duration // from sending the request to the first byte of the response
	Tokens int           // generated tokens
	// EndpointLeaves means that the endpoint said that it leaves: it gets no more
	// requests from any VM until it starts again.
	EndpointLeaves bool
	// Served means that the response is complete and no failure of the endpoint.
	Served bool
	// Loss tells that the endpoint was lost while it may have been running the request.
	Loss EndpointLoss
}
