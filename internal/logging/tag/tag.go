// Package tag is the vocabulary of the log: one constructor for each key, so
// that a thing has the same key in every line. There is none for message
// text, bodies and keys of callers, which are never logged.
package tag

import (
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/timeline"
)

// Keys of each line.
const (
	KeyTime      = "time"
	KeyLevel     = "level"
	KeyComponent = "component"
	KeyMessage   = "message"
)

// VM is the VM that a line comes from.
func VM(id string) zap.Field { return zap.String("vm", id) }

// DC is the data centre of that VM.
func DC(name string) zap.Field { return zap.String("dc", name) }

// PeerDC is the data centre of the VM that a line is about.
func PeerDC(name string) zap.Field { return zap.String("peer_dc", name) }

// PeerVM is another VM that a line is about.
func PeerVM(id string) zap.Field { return zap.String("peer_vm", id) }

// VMState is the state of another VM.
func VMState(s entity.VMState) zap.Field { return zap.String("vm_state", s.String()) }

// Event is the kind of an event of the time line.
func Event(kind timeline.Kind) zap.Field { return zap.String("event", string(kind)) }

// MeshAddress is the address that other VMs call, host:port.
func MeshAddress(hostPort string) zap.Field { return zap.String("mesh_address", hostPort) }

// Address is a network address, host:port.
func Address(hostPort string) zap.Field { return zap.String("address", hostPort) }

// Program is a program.
func Program(id entity.ProgramID) zap.Field { return zap.String("program", string(id)) }

// Workspace is a workspace.
func Workspace(name string) zap.Field { return zap.String("workspace", name) }

// Request is the id of a caller's request.
func Request(id string) zap.Field { return zap.String("request", id) }

// Attempt is the attempt id of a call that must not be repeated.
func Attempt(id string) zap.Field { return zap.String("attempt", id) }

// CallKind is the kind of a call.
func CallKind(k entity.CallKind) zap.Field { return zap.String("call_kind", string(k)) }

// Target is the model, tool or service that a call is for.
func Target(name string) zap.Field { return zap.String("target", name) }

// Endpoint is an endpoint.
func Endpoint(name string) zap.Field { return zap.String("endpoint", name) }

// Epoch is the ownership epoch of a program.
func Epoch(n uint64) zap.Field { return zap.Uint64("epoch", n) }

// ConfigVersion is a version of the table of weights and limits.
func ConfigVersion(n uint64) zap.Field { return zap.Uint64("config_version", n) }

// Author is who made a change.
func Author(name string) zap.Field { return zap.String("author", name) }

// Status is an HTTP status.
func Status(code int) zap.Field { return zap.Int("status", code) }

// Outcome is what is known of a call.
func Outcome(o entity.Outcome) zap.Field { return zap.String("outcome", string(o)) }

// Count is a number of things, which the message names.
func Count(n int) zap.Field { return zap.Int("count", n) }

// Bytes is a size.
func Bytes(n int64) zap.Field { return zap.Int64("bytes", n) }

// Duration is a length of time, in seconds.
func Duration(d time.Duration) zap.Field { return zap.Duration("duration_seconds", d) }

// File is a path.
func File(path string) zap.Field { return zap.String("file", path) }

// Signal is an operating system's signal.
func Signal(name string) zap.Field { return zap.String("signal", name) }

// Reason is a short text of the program itself.
func Reason(text string) zap.Field { return zap.String("reason", text) }

// Error is an error.
func Error(err error) zap.Field { return zap.NamedError("error", err) }

// ForwardedProgram is the program of a forwarded request, by its caller's name.
func ForwardedProgram(id string) zap.Field { return zap.String("program", id) }

// QueueWait is how long a request waited for a place, in seconds.
func QueueWait(d time.Duration) zap.Field { return zap.Duration("waited_seconds", d) }

// Attempts is the number of endpoints that a request was sent to.
func Attempts(n int) zap.Field { return zap.Int("attempts", n) }

// MaxTokens is the number of tokens that a turn may generate at the most.
func MaxTokens(n int) zap.Field { return zap.Int("most_tokens", n) }

// Generated is the number of tokens that a turn has generated.
func Generated(n int) zap.Field { return zap.Int("generated_tokens", n) }

// Resumes is how often a request was sent again after it broke off.
func Resumes(n int) zap.Field { return zap.Int("resumes", n) }

// Budget is the number of tokens that a program may generate.
func Budget(tokens int64) zap.Field { return zap.Int64("budget_tokens", tokens) }

// Withdrawn is the part of a budget that VMs have taken as their shares.
func Withdrawn(tokens int64) zap.Field { return zap.Int64("taken_tokens", tokens) }

// Remaining is what is left of the shares.
func Remaining(tokens int64) zap.Field { return zap.Int64("left_tokens", tokens) }

// InFlightTokens is the tokens that running turns may still generate.
func InFlightTokens(tokens int64) zap.Field { return zap.Int64("running_tokens", tokens) }

// TimeToDeadline is the time that is left until a program should be done, in seconds.
func TimeToDeadline(d time.Duration) zap.Field { return zap.Duration("finish_in_seconds", d) }

// Complete tells whether all parts of a budget were within reach.
func Complete(yes bool) zap.Field { return zap.Bool("whole", yes) }
