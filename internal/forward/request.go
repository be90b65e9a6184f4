package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is a part of a prompt that other prompts may have in common with it.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is one attempt of a caller to run a request.
type Request struct {
	ID                   string // unique for each attempt
	Method, Target, Host string
	Header               http.Header // end-to-end headers as the caller sent them
	Body                 []byte
	Arrived              time.Time
	Deadline             time.Time // the caller waits no longer than this

	// Key is the key that the caller presents, "" without one. It is never logged.
	Key string
	// PreviousTurn is the id of the attempt whose turn the request goes on from, on a route
	// whose conversations are kept.
	PreviousTurn string

	Program string // empty for requests outside programs
	// Finish is the program's objective: the time by which the program should end.
	// It is zero if the caller sets none.
	Finish time.Time
	// Budget is the number of tokens that all turns of the program together may
	// generate; 0 if the request has no budget.
	Budget           int64
	MaxTokens        int // maximum of tokens to generate
	OutputTokensHint int // the caller's estimate of generated tokens; 0 if unknown
	Prompt           []PromptPart
	LastEventID      string // id of the event after which to resume a stream; empty to start from the beginning
	// FirstAttempt is the id of the attempt that brought the first event of the stream
	// that the request resumes; empty if it resumes none or the caller doesn't say.
	FirstAttempt string
}

// UsesTokenBudget reports whether the request counts against a program's token budget.
func (r *Request) UsesTokenBudget() bool { return r.Program != "" && r.Budget > 0 }

// Fingerprint identifies the requests that have the same method, host, target and body.
// Callers send a request again under other ids.
func (r *Request) Fingerprint() uint64 {
	d := xxhash.New()
	hashFields(d, r.Method, r.Host, r.Target)
	_, _ = d.Write(r.Body) // writing to a hash never fails
	return d.Sum64()
}

// PathFingerprint identifies the requests that have the same method, host and path.
func (r *Request) PathFingerprint() uint64 {
	d := xxhash.New()
	path, _, _ := strings.Cut(r.Target, "?")
	hashFields(d, r.Method, r.Host, path, "path")
	return d.Sum64()
}

// hashFields writes fields to a hash, each with its end marked.
func hashFields(d *xxhash.Digest, fields ...string) {
	for _, f := range fields {
		_, _ = d.WriteString(f)
		_, _ = d.Write([]byte{0})
	}
}

// PrefixHashes returns a hash of each prefix of the prompt that ends with a part.
// Equal prefixes have equal hashes.
func (r *Request) PrefixHashes() []uint64 {
	if len(r.Prompt) == 0 {
		return nil
	}
	hashes := make([]uint64, len(r.Prompt))
	d := xxhash.New()
	for i, p := range r.Prompt {
		_, _ = d.WriteString(p.ID) // writing to a hash never fails
		_, _ = d.WriteString(",")
		hashes[i] = d.Sum64()
	}
	return hashes
}

// Endpoint is one live process of a service.
type Endpoint struct {
	ID               string
	StartedUnixMilli int64 // start of the process
	Service          string
	Address          string // host:port
	DC               string
	Slots            int    // requests that the endpoint runs at once
	Draining         bool   // is to get no new requests
	SoftwareVersion  string // empty if unknown
	// EntryVersion is the version of the store with which its entry was first read in
	// this form.
	EntryVersion uint64
}

// Process identifies the process of the endpoint: another one may start under its id.
func (e *Endpoint) Process() string { return e.ID + "@" + strconv.FormatInt(e.StartedUnixMilli, 10) }

// sameEntry reports whether two readings of an endpoint's entry differ in nothing but
// their version.
func (e Endpoint) sameEntry(other Endpoint) bool {
	other.EntryVersion = e.EntryVersion
	return e == other
}
