// Package settings reads the INI settings of one VM into typed values. Every
// key, its default and its meaning stand in one table (see keys.go). A bad
// setting is reported with its file, section and key and with what is allowed.
package settings

import (
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Settings are the settings of one VM.
type Settings struct {
	// File is the path of the INI file, for messages.
	File       string
	VM         VM
	Fleet      Fleet
	Platform   Platform
	TLS        TLS
	Keys       Keys
	Limits     Limits
	Journal    Journal
	Ownership  Ownership
	Membership Membership
	Policy     Policy
	Engine     Engine
	Timeline   Timeline
	Log        Log
	// Endpoints are the static endpoints, in the order of the file.
	Endpoints []entity.Endpoint
}

// VM holds the place and the addresses of a VM. Addresses are host:port with
// an IP number as host; an empty advertised address means the bound one.
type VM struct {
	ID              string
	DC              string
	Region          string
	Listen          string
	MeshListen      string
	MeshAdvertise   string
	GossipListen    string
	GossipAdvertise string
	AdminListen     string
}

// Fleet holds what the VMs share.
type Fleet struct {
	Seeds           []string // gossip addresses, host:port
	KeyFile         string
	PreviousKeyFile string
	// Key and PreviousKey are the contents of the files.
	Key         Secret
	PreviousKey Secret
}

// Platform holds the addresses of the platform's services and how patiently
// they are called.
type Platform struct {
	TableURL       string
	ObjectsURL     string
	VMListURL      string
	RequestTimeout time.Duration // of one request
	MaxAttempts    int           // of one request, the first included
	RetryRatio     float64       // retries per first attempt, over all requests
	VMListInterval time.Duration
	ConfigInterval time.Duration
}

// TLS holds certificate files. Callers get TLS if CertFile is set; VMs talk
// mutual TLS if MeshCertFile is set.
type TLS struct {
	CertFile       string
	KeyFile        string
	ClientCAFile   string
	MeshCertFile   string
	MeshKeyFile    string
	MeshCAFile     string
	ReloadInterval time.Duration
}

// Keys holds the hashes of the operators' keys, in hex SHA-256, from the
// settings and from OperatorKeysFile together.
type Keys struct {
	OperatorKeyHashes []string
	OperatorKeysFile  string

	inline []string // the hashes from the settings alone
}

// Limits bound what callers may send and hold.
type Limits struct {
	MaxBody            Size
	MaxBufferedBodies  Size // of all requests under way
	MaxHeader          Size
	MaxJSONDepth       int
	RequestTimeout     time.Duration
	MaxConnections     int
	RequestReadTimeout time.Duration
	IdleTimeout        time.Duration
}

// Journal bounds the buffered records and their batches.
type Journal struct {
	BufferBytes   Size
	BufferRecords int
	BatchInterval time.Duration
}

// Ownership holds the limits of leases and adoption.
type Ownership struct {
	LeaseTTL           time.Duration
	LeaseRenewInterval time.Duration
	IsolationLimit     time.Duration
	AdoptionLimit      time.Duration
	ClockMargin        time.Duration
	DrainTimeout       time.Duration
}

// detectionTime is how far apart two sides may notice that they are cut off
// from each other.
const detectionTime = 4 * time.Second

// AdoptionMargin is the least time between the isolation and the adoption limit.
func (o Ownership) AdoptionMargin() time.Duration { return o.ClockMargin + detectionTime }

// Membership holds the pace of probing.
type Membership struct {
	ProbeInterval    time.Duration
	ProbeTimeout     time.Duration
	SuspicionTimeout time.Duration
}

// Orders in which waiting calls are let into endpoints.
const (
	DisciplineLeastAttained = "least-attained"
	DisciplineFirstCome     = "first-come"
)

// Ways to choose an endpoint for a call.
const (
	PlacementPrefixAware = "prefix-aware"
	PlacementPlain       = "plain"
)

// Policy selects and tunes the decisions on calls.
type Policy struct {
	QueueDiscipline string
	Placement       string
	AgeingTime      time.Duration
	RetryRatio      float64
}

// Engine holds the limits of calls to engines.
type Engine struct {
	MaxConcurrent     int
	SilenceTimeout    time.Duration
	MaxCacheRetention time.Duration
	SweepInterval     time.Duration
	// MaxModels is the number of models that one engine can hold; without room
	// no engine is ordered to load any.
	MaxModels                int
	Slots                    int // calls that one engine runs at a time
	LoadsPerMinute           int
	OrderInterval            time.Duration
	OrderStabilizationWindow time.Duration
}

// Timeline holds the size of the ring of events.
type Timeline struct {
	MaxEvents int
}

// Log selects what is logged.
type Log struct {
	Level string
}
