// Package conversations keeps the turns of conversations, so that a caller sends only what
// is new and names the turn that it goes on from.
package conversations

import (
	"errors"
	"time"
)

// Errors of Load. Any other error means that it can't be told at present whether the turn exists.
var (
	// ErrNotFound means that the workspace has no such turn.
	ErrNotFound = errors.New("no such turn")
	// ErrTooLarge means that the conversation is longer than a request may be.
	ErrTooLarge = errors.New("conversation too long")
)

// Key names a turn.
type Key struct {
	Workspace string // empty where the configuration has no workspaces
	Turn      string // id of the attempt that was answered
}

// Turn is a turn that was answered whole.
type Turn struct {
	Key
	Previous  string // the turn that it goes on from; empty at the start of a conversation
	Input     []byte
	Output    []byte        // the data of each event, followed by a line feed
	Retention time.Duration // for which the turn can be gone on from
}
