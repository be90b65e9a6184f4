// Package timeline records events on each VM with timestamps of a hybrid logical
// clock, merges the events of all VMs in causal order and renders them as text
// or HTML.
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

// Stamp is a timestamp of a hybrid logical clock: the wall time in milliseconds
// and a counter that orders the events of the same millisecond.
type Stamp struct {
	Wall    int64  `json:"wall"` // milliseconds since the Unix epoch
	Logical uint32 `json:"logical"`
}

// Event is an event on a VM.
type Event struct {
	Stamp    Stamp            `json:"stamp"`
	VM       string           `json:"vm"` // id of the VM that recorded the event
	Kind     Kind             `json:"kind"`
	Program  entity.ProgramID `json:"program,omitempty"`  // empty if the event belongs to no program
	Request  string           `json:"request,omitempty"`  // id of the request, if any
	Endpoint string           `json:"endpoint,omitempty"` // name of the endpoint, if any
	Detail   string           `json:"detail,omitempty"`   // free text
}

// Recorder records events. Record sets Stamp and VM; callers leave them empty.
type Recorder interface {
	Record(e Event)
}

// Discard is a Recorder that discards every event.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}
