// Package quota enforces the quotas of workspaces over all VMs.
package quota

import (
	"errors"
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/policy/quota"
)

// ErrUnavailable means that nobody can say at present whether the quota allows the request.
var ErrUnavailable = errors.New("quota unavailable")

// ExceededError means that the workspace has used up its quota.
type ExceededError struct {
	RetryAfter time.Duration // until the quota allows such a request again
	Workspace  string
	Limit      quota.Limit
	Begins     bool    // the request begins a program
	Left       float64 // requests left in the share that has most; less than one that begins a program may take
}

// Error implements error.
func (e *ExceededError) Error() string {
	kind := "a request"
	if e.Begins {
		kind = "a request that begins a program"
	}
	return fmt.Sprintf("quota exceeded for %s of workspace %q: limit %.1f/s with a burst of %.0f, %.1f left in a share; retry after %s",
		kind, e.Workspace, e.Limit.PerSecond, e.Limit.Burst, e.Left, e.RetryAfter)
}

// Request asks for one request of a workspace's quota.
type Request struct {
	Workspace string
	// First means that the request may begin a program: no turn of it has run through this VM.
	// One that does is turned away earlier than the requests of programs under way.
	First   bool
	Program string // the program of a First request
}
