// Package timeline records what happens on each VM as typed events stamped
// with a hybrid logical clock, and merges the events of all VMs into one
// causal order.
package timeline

import "ibisstall.example/ibisstall/internal/entity"

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	CallAdmitted        Kind = "call admitted"
	CallQueued          Kind = "call queued"
	CallAssigned        Kind = "call placed"
	CallSent            Kind = "call sent"
	FirstToken          Kind = "first token"
	StreamResumed       Kind = "stream resumed"
	CallCompleted       Kind = "call answered"
	CallRefused         Kind = "call refused"
	IntentWritten       Kind = "intent written"
	TurnDurable         Kind = "turn durable"
	TurnBuffered        Kind = "turn buffered"
	ProgramCreated      Kind = "program created"
	ProgramAdopted      Kind = "program adopted"
	ProgramHandedOver   Kind = "program handed over"
	ProgramEnded        Kind = "program ended"
	OwnershipLost       Kind = "ownership lost"
	LeaseLost           Kind = "lease lost"
	ConfigApplied       Kind = "configuration in force"
	VMSuspected         Kind = "VM suspected"
	VMDied              Kind = "VM died"
	VMJoined            Kind = "VM joined"
	VMLeaving           Kind = "VM leaving"
	PlatformUnreachable Kind = "platform unreachable"
	PlatformReachable   Kind = "platform reachable"
	EndpointUnhealthy   Kind = "endpoint sick"
	EndpointRecovered   Kind = "endpoint recovered"
	EndpointLeaving     Kind = "endpoint leaving"
	ConnectionReplaced  Kind = "connection replaced"
)

// Stamp is a hybrid logical clock reading: wall time in milliseconds and a
// counter that orders events within one.
type Stamp struct {
	Wall    int64  `json:"wall"` // milliseconds since the Unix epoch
	Logical uint32 `json:"logical"`
}

// Event is one thing that happened on a VM.
type Event struct {
	Stamp    Stamp            `json:"stamp"`
	VM       string           `json:"vm"`
	Kind     Kind             `json:"kind"`
	Program  entity.ProgramID `json:"program,omitempty"`
	Request  string           `json:"request,omitempty"`
	Endpoint string           `json:"endpoint,omitempty"`
	Detail   string           `json:"detail,omitempty"`
}

// Recorder takes events. The recorder stamps them; callers leave Stamp and VM
// empty.
type Recorder interface {
	Record(e Event)
}

// Discard is a Recorder that drops every event.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}
