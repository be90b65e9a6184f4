package entity

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// Lengths of the parts of ids, in hex digits.
const (
	workspaceTagDigits = 8
	requestDigits      = 32
	childDigits        = 20
)

// RootIDFor names the program that a request of a workspace makes, so that a
// repeat names the same one. The id starts with a tag of its workspace. Parts
// are hashed by SHA-256, so that no caller can meet an id of another
// workspace on purpose.
func RootIDFor(dc, workspace, requestID string) ProgramID {
	return NewProgramID(dc, WorkspaceTag(workspace)+digest(requestDigits, "program", workspace, requestID), "")
}

// ChildIDFor names the sub-agent that a request makes under a parent.
func ChildIDFor(parent ProgramID, requestID string) ProgramID {
	return parent.Root() + ProgramID(idSeparator+"c"+digest(childDigits, "sub-agent", string(parent), requestID))
}

// WorkspaceTag is the start of the second part of the ids of a workspace's
// programs.
func WorkspaceTag(workspace string) string { return digest(workspaceTagDigits, "workspace", workspace) }

// MayBelongTo reports whether an id can name a program of a workspace. Most
// ids of others are told from the id alone, without looking a program up, so
// that a refusal takes the same work whether the program exists or not.
func (id ProgramID) MayBelongTo(workspace string) bool {
	_, rest, _ := strings.Cut(string(id), idSeparator)
	return strings.HasPrefix(rest, WorkspaceTag(workspace))
}

// digest hashes texts, each with its length before it, to a number of hex
// digits.
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
