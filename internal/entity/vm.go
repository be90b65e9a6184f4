package entity

// VMState is the state of a VM as its peers see it.
type VMState uint8

// The states of a VM. A suspect VM still owns its programs; a leaving VM accepts
// no new ones.
const (
	VMAlive VMState = iota
	VMSuspect
	VMLeaving
	VMDead
)

// String returns the state's name.
func (s VMState) String() string {
	switch s {
	case VMAlive:
		return "alive"
	case VMSuspect:
		return "suspect"
	case VMLeaving:
		return "leaving"
	default:
		return "dead"
	}
}

// VM is one process of ibisstall as recorded by package membership.
type VM struct {
	ID          string // unique for each start of the process
	DC          string // data centre
	Region      string
	MeshAddr    string // host:port for calls between VMs
	GossipAddr  string // host:port for membership datagrams
	Incarnation uint64 // raised by the VM to refute a claim that it is suspect or dead
	State       VMState
	// ConfigVersion is the version of the configuration table in force at the VM.
	ConfigVersion uint64
	// PlatformReachable is false while the VM can't reach the platform.
	PlatformReachable bool
}

// EndpointKind is the kind of an endpoint.
type EndpointKind string

// The kinds of endpoints.
const (
	KindEngine  EndpointKind = "engine"
	KindTool    EndpointKind = "tool"
	KindService EndpointKind = "service"
)

// Endpoint is one runner that calls are routed to.
type Endpoint struct {
	Name    string // unique name of the runner
	Kind    EndpointKind
	Target  string   // tool or service name; empty for engines
	Models  []string // models that an engine has loaded
	DC      string
	URL     string // base URL, without a trailing slash
	Leaving bool   // whether the endpoint is being removed and gets no new calls
	// ChecksFencing reports whether an engine rejects orders with an outdated
	// fencing number.
	ChecksFencing bool
}
