package forward

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is a piece of a prompt that other prompts may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is one attempt of a caller.
type Request struct {
	ID                   string // of this attempt
	Method, Target, Host string
	Header               http.Header // end-to-end headers as the caller sent them
	Body                 []byte
	Arrived              time.Time
	Deadline             time.Time // the caller waits no longer

	Program string // "" outside programs
	// Finish is when the program should be done; zero if the caller doesn't
	// say.
	Finish time.Time
	// Budget is the number of tokens that all turns of the program may
	// generate; 0 if the request carries none.
	Budget           int64
	MaxTokens        int // most tokens that the request may generate
	OutputTokensHint int // the caller's guess of the tokens generated; 0 if none
	Prompt           []PromptPart
	LastEventID      string // resume after this event; "" from the start
}

// UsesTokenBudget reports whether the request draws on a budget.
func (r *Request) UsesTokenBudget() bool { return r.Program != "" && r.Budget > 0 }

// PrefixHashes returns a name for each prefix of the prompt that ends with a part:
// equal prefixes have equal names.
func (r *Request) PrefixHashes() []uint64 {
	if len(r.Prompt) == 0 {
		return nil
	}
	names := make([]uint64, len(r.Prompt))
	d := xxhash.New()
	for i, p := range r.Prompt {
		_, _ = d.WriteString(p.ID) // a hash takes everything
		_, _ = d.WriteString(",")
		names[i] = d.Sum64()
	}
	return names
}

// Endpoint is one live process of a service.
type Endpoint struct {
	ID               string
	StartedUnixMilli int64 // start of the process, Unix milliseconds
	Service          string
	Address          string // host:port
	DC               string
	Slots            int  // requests that it runs at a time
	Draining         bool // gets no new requests
}
