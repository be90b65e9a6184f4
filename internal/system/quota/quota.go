// Package quota enforces the quotas of workspaces over all VMs.
package quota

import (
	"errors"
	"fmt"
	"time"
)

// ErrUnavailable means that nobody can say at present whether the quota allows the request.
var ErrUnavailable = errors.New("quota unavailable")

// ExceededError means that the workspace has used up its quota.
type ExceededError struct {
	RetryAfter time.Duration // until the quota allows such a request again
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("quota exceeded; retry after %s", e.RetryAfter)
}

// Request asks for one request of a workspace's quota.
type Request struct {
	Workspace string
	// First means that the request begins a program. It is turned away earlier than the
	// requests of programs under way.
	First bool
}
