// Package settings parses the INI settings file of one VM into typed values.
// keys.go lists every key with its default and description. An invalid setting
// is reported with its file, section, key and allowed values.
package settings

import (
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Settings are the settings of one VM.
type Settings struct {
	// File is the path of the INI file. It appears in error messages, and relative
	// paths in the settings are resolved against its directory.
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
	// Endpoints are the static endpoints, in the order in which the file lists them.
	Endpoints []entity.Endpoint
}

// VM holds the id, the location and the addresses of a VM. Addresses are
// host:port with an IP address as host. If an advertised address is empty, the
// VM advertises the address that it listens on.
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

// Fleet holds the seeds and the key that the VMs of a fleet share.
type Fleet struct {
	Seeds           []string // gossip addresses, host:port
	KeyFile         string
	PreviousKeyFile string
	// Key and PreviousKey are the contents of KeyFile and PreviousKeyFile.
	Key         Secret
	PreviousKey Secret
}

// Platform holds the addresses of the platform's services, the timeouts and
// retry limits for calls to them, and the polling intervals.
type Platform struct {
	TableURL       string
	ObjectsURL     string
	VMListURL      string
	RequestTimeout time.Duration // of one request, including its retries
	MaxAttempts    int           // per request, including the first
	RetryRatio     float64       // retries per first attempt, over all requests
	VMListInterval time.Duration
	ConfigInterval time.Duration
}

// TLS holds the paths of certificate files. Connections of callers use TLS if
// CertFile is set; connections between VMs use mutual TLS if MeshCertFile is set.
type TLS struct {
	CertFile       string
	KeyFile        string
	ClientCAFile   string
	MeshCertFile   string
	MeshKeyFile    string
	MeshCAFile     string
	ReloadInterval time.Duration
}

// Keys holds the hex SHA-256 hashes of the operators' keys. OperatorKeyHashes
// combines those in the settings with those in OperatorKeysFile.
type Keys struct {
	OperatorKeyHashes []string
	OperatorKeysFile  string

	inlineHashes []string // the hashes in the settings, without those in OperatorKeysFile
}

// Limits bound the requests and connections of callers.
type Limits struct {
	MaxBodyBytes       Size
	MaxBufferedBodies  Size // total for all requests in flight
	MaxHeaderBytes     Size
	MaxJSONDepth       int
	RequestTimeout     time.Duration // from the arrival of a call to the end of its response
	MaxConnections     int
	RequestReadTimeout time.Duration // for receiving a whole request
	IdleTimeout        time.Duration // without a request, or without progress in sending a response
}

// Journal holds the size of the journal's buffer and the interval of its batches.
type Journal struct {
	BufferBytes   Size
	BufferRecords int
	BatchInterval time.Duration
}

// Ownership holds the timing of leases, isolation, adoption and drains.
type Ownership struct {
	LeaseTTL           time.Duration
	LeaseRenewInterval time.Duration
	IsolationLimit     time.Duration // for which an isolated data centre serves its own programs
	AdoptionLimit      time.Duration // after which other VMs may adopt the programs of an isolated data centre
	ClockMargin        time.Duration // maximum drift between two clocks over these limits
	DrainTimeout       time.Duration // for calls in flight to finish at a shutdown
}

// maxDetectionSkew is the maximum difference between the times at which the two
// sides of a network partition detect it.
const maxDetectionSkew = 4 * time.Second

// AdoptionMargin returns the minimum time between the isolation limit and the
// adoption limit.
func (o Ownership) AdoptionMargin() time.Duration { return o.ClockMargin + maxDetectionSkew }

// Membership holds the interval and the timeouts of the failure detector.
type Membership struct {
	ProbeInterval    time.Duration
	ProbeTimeout     time.Duration // for the reply to a direct probe
	SuspicionTimeout time.Duration // from suspicion to declared death
}

// Queue disciplines: the order in which waiting calls get their permit.
const (
	DisciplineLeastAttained = "least-attained"
	DisciplineFirstCome     = "first-come"
)

// Placement policies: how an endpoint is chosen for a call.
const (
	PlacementPrefixAware = "prefix-aware"
	PlacementPlain       = "plain"
)

// Policy selects and configures the scheduling policies for calls.
type Policy struct {
	QueueDiscipline string
	Placement       string
	AgeingTime      time.Duration // queue wait that outweighs any amount of attained service
	RetryRatio      float64       // retries per first attempt, of calls that may be repeated
}

// Engine holds the settings for calls to engines, for their KV caches and for the
// models that they are ordered to load.
type Engine struct {
	MaxConcurrent     int           // upper bound of an endpoint's adaptive concurrency limit
	SilenceTimeout    time.Duration // without data, after which a stream is resumed over a new connection
	MaxCacheRetention time.Duration // of a program's KV cache during a tool pause
	SweepInterval     time.Duration // between sweeps for the KV caches of programs that no longer exist
	// MaxModels is the number of models that one engine can hold in memory. If
	// it is 0, no engine is ordered to load a model.
	MaxModels                int
	Slots                    int           // calls that one engine can run at once
	LoadsPerMinute           int           // models, over all engines of this data centre
	OrderInterval            time.Duration // between evaluations of the demand for models
	OrderStabilizationWindow time.Duration // for which a model must be in demand before it is loaded
}

// Timeline holds the size of the ring buffer of events.
type Timeline struct {
	MaxEvents int
}

// Log selects the least severe level that is logged.
type Log struct {
	Level string
}
