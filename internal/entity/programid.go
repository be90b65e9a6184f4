package entity

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// Lengths of the digests in ids, in hex digits.
const (
	workspaceTagDigits = 8
	requestDigits      = 32
	childDigits        = 20
)

// RootIDFor returns the id of the program that a request of a workspace creates.
// It is derived from the request id, so that a retry gets the same program. Its
// second part starts with the workspace tag. The parts are SHA-256 digests, so
// that no caller can construct an id of another workspace.
func RootIDFor(dc, workspace, requestID string) ProgramID {
	return NewProgramID(dc, WorkspaceTag(workspace)+digest(requestDigits, "program", workspace, requestID), "")
}

// ChildIDFor returns the id of the sub-agent that a request creates under a
// parent.
func ChildIDFor(parent ProgramID, requestID string) ProgramID {
	return parent.Root() + ProgramID(idSeparator+"c"+digest(childDigits, "sub-agent", string(parent), requestID))
}

// WorkspaceTag returns a digest of the workspace's name. The second part of every
// program id of the workspace starts with it.
func WorkspaceTag(workspace string) string { return digest(workspaceTagDigits, "workspace", workspace) }

// MayBelongTo reports whether an id can be that of a program of a workspace. It
// rejects most ids of other workspaces without a lookup, so that a rejection
// costs the same whether the program exists or not.
func (id ProgramID) MayBelongTo(workspace string) bool {
	_, rest, _ := strings.Cut(string(id), idSeparator)
	return strings.HasPrefix(rest, WorkspaceTag(workspace))
}

// digest returns the first hex digits of the SHA-256 hash of parts. The length of each
// part is hashed too, so that the same text divided into other parts has another digest.
func digest(digits int, parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		_, _ = h.Write(length[:]) // never fails, see hash.Hash
		_, _ = h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil))[:digits]
}
