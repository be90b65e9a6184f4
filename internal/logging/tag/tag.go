// Package tag defines the field keys of the log: one constructor for each key, so
// that a value has the same key in every line. There is no constructor for message
// text, bodies and API keys of callers, which are never logged.
package tag

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/timeline"
)

// Keys that every line has, apart from KeyComponent, which only lines of named
// loggers have.
const (
	KeyTime      = "time"
	KeyLevel     = "level"
	KeyComponent = "component"
	KeyMessage   = "message"
)

// VM is the VM that writes the line.
func VM(id string) zap.Field { return zap.String("vm", id) }

// DC is the data centre of the VM that writes the line.
func DC(name string) zap.Field { return zap.String("dc", name) }

// PeerDC is the data centre of another VM.
func PeerDC(name string) zap.Field { return zap.String("peer_dc", name) }

// PeerVM is the id of another VM.
func PeerVM(id string) zap.Field { return zap.String("peer_vm", id) }

// VMState is the state of another VM.
func VMState(s entity.VMState) zap.Field { return zap.String("vm_state", s.String()) }

// Event is the kind of a time line event.
func Event(kind timeline.Kind) zap.Field { return zap.String("event", string(kind)) }

// MeshAddress is the host:port address at which a VM serves other VMs.
func MeshAddress(hostPort string) zap.Field { return zap.String("mesh_address", hostPort) }

// Address is a host:port network address.
func Address(hostPort string) zap.Field { return zap.String("address", hostPort) }

// Program is the id of a program.
func Program(id entity.ProgramID) zap.Field { return zap.String("program", string(id)) }

// Workspace is the name of a workspace.
func Workspace(name string) zap.Field { return zap.String("workspace", name) }

// Request is the id of a caller's request.
func Request(id string) zap.Field { return zap.String("request", id) }

// Attempt is the attempt id of a call that must not be resent.
func Attempt(id string) zap.Field { return zap.String("attempt", id) }

// CallKind is the kind of a call.
func CallKind(k entity.CallKind) zap.Field { return zap.String("call_kind", string(k)) }

// Target is the model, tool or service that a call is for.
func Target(name string) zap.Field { return zap.String("target", name) }

// Endpoint is the name of an endpoint.
func Endpoint(name string) zap.Field { return zap.String("endpoint", name) }

// Epoch is the ownership epoch of a program.
func Epoch(n uint64) zap.Field { return zap.Uint64("epoch", n) }

// ConfigVersion is a version of the configuration table.
func ConfigVersion(n uint64) zap.Field { return zap.Uint64("config_version", n) }

// Author is the author of a configuration change.
func Author(name string) zap.Field { return zap.String("author", name) }

// Status is an HTTP status code.
func Status(code int) zap.Field { return zap.Int("status", code) }

// Outcome is the known outcome of a call.
func Outcome(o entity.Outcome) zap.Field { return zap.String("outcome", string(o)) }

// Count is the number of objects that the message names.
func Count(n int) zap.Field { return zap.Int("count", n) }

// Bytes is a size in bytes.
func Bytes(n int64) zap.Field { return zap.Int64("bytes", n) }

// Duration is a duration, logged in seconds.
func Duration(d time.Duration) zap.Field { return zap.Duration("duration_seconds", d) }

// File is the path of a file.
func File(path string) zap.Field { return zap.String("file", path) }

// Signal is the name of an operating system signal.
func Signal(name string) zap.Field { return zap.String("signal", name) }

// Reason is a short text from the code, never one from a caller.
func Reason(text string) zap.Field { return zap.String("reason", text) }

// Error is an error.
func Error(err error) zap.Field { return zap.NamedError("error", err) }

// ForwardedProgram is the program of a forwarded request, as the caller named it.
func ForwardedProgram(id string) zap.Field { return zap.String("program", id) }

// RateLimit is the limit in requests per second as an endpoint names it; empty if it names
// none.
func RateLimit(text string) zap.Field { return zap.String("requests_per_second", text) }

// SlotLimit is the number of requests that an endpoint gets at once.
func SlotLimit(n int) zap.Field { return zap.Int("slot_limit", n) }

// RelativeRunTime is the run time of requests at an endpoint over the usual one of its service.
func RelativeRunTime(factor float64) zap.Field { return zap.Float64("relative_run_time", factor) }

// Scheduler is the host:port address of the VM that assigned a slot; "" is the VM that
// writes the line.
func Scheduler(hostPort string) zap.Field { return zap.String("scheduler", hostPort) }

// QueueWait is the time for which a request was queued for a slot, in seconds.
func QueueWait(d time.Duration) zap.Field { return zap.Duration("waited_seconds", d) }

// Attempts is the number of endpoints that a request was sent to.
func Attempts(n int) zap.Field { return zap.Int("attempts", n) }

// MaxTokens is the maximum number of tokens that a turn may generate.
func MaxTokens(n int) zap.Field { return zap.Int("most_tokens", n) }

// Generated is the number of tokens that a turn has generated.
func Generated(n int) zap.Field { return zap.Int("generated_tokens", n) }

// Resumes is the number of times that a request was resent after its response
// was interrupted.
func Resumes(n int) zap.Field { return zap.Int("resumes", n) }

// Framing is how an endpoint's response marks the end of its body: by its length,
// by chunks or by closing the connection.
func Framing(name string) zap.Field { return zap.String("framing", name) }

// Events is the number of events of a stream that were forwarded.
func Events(n int) zap.Field { return zap.Int("events", n) }

// UnfinishedBytes is the number of bytes that a stream has sent after its last
// complete event.
func UnfinishedBytes(n int) zap.Field { return zap.Int("unfinished_bytes", n) }

// Fingerprint is the hash of a request's method, host, target and body.
func Fingerprint(hash uint64) zap.Field {
	return zap.String("fingerprint", strconv.FormatUint(hash, 16))
}

// Requests are the ids of requests.
func Requests(ids []string) zap.Field { return zap.Strings("requests", ids) }

// SoftwareVersion is the version of an endpoint's software; empty if unknown.
func SoftwareVersion(version string) zap.Field { return zap.String("software_version", version) }

// FirstAttempt is the attempt that brought the first event of a stream that is resumed.
func FirstAttempt(id string) zap.Field { return zap.String("first_attempt", id) }

// StreamVersion is the software version that began a stream; empty if unknown.
func StreamVersion(version string) zap.Field { return zap.String("stream_version", version) }

// StreamOrigin is how a stream's version was found out.
func StreamOrigin(origin string) zap.Field { return zap.String("stream_origin", origin) }

// EndpointEnded is whether an endpoint's process was found to have ended.
func EndpointEnded(ended bool) zap.Field { return zap.Bool("endpoint_ended", ended) }

// Budget is the number of tokens that a program may generate.
func Budget(tokens int64) zap.Field { return zap.Int64("budget_tokens", tokens) }

// Withdrawn is the number of tokens of a budget that VMs have withdrawn in blocks.
func Withdrawn(tokens int64) zap.Field { return zap.Int64("taken_tokens", tokens) }

// Remaining is the number of a budget's unused tokens that a VM holds.
func Remaining(tokens int64) zap.Field { return zap.Int64("left_tokens", tokens) }

// Reserved is the number of tokens that turns in flight may still generate.
func Reserved(tokens int64) zap.Field { return zap.Int64("running_tokens", tokens) }

// TimeToDeadline is the time until a program should be finished, in seconds.
func TimeToDeadline(d time.Duration) zap.Field { return zap.Duration("finish_in_seconds", d) }

// Complete reports whether all quotas of a budget were reachable.
func Complete(yes bool) zap.Field { return zap.Bool("whole", yes) }

// Age is the time since a request arrived.
func Age(d time.Duration) zap.Field { return zap.Duration("age_seconds", d) }

// DeadlineIn is the time left until a request's deadline.
func DeadlineIn(d time.Duration) zap.Field { return zap.Duration("deadline_in_seconds", d) }

// HistorySource says where the last turn of a conversation was found.
func HistorySource(name string) zap.Field { return zap.String("history_source", name) }

// Outage is how long no call of the platform has succeeded.
func Outage(age time.Duration) zap.Field { return zap.Duration("outage", age) }

// KeptIn says where a turn is safe.
func KeptIn(place string) zap.Field { return zap.String("kept_in", place) }
