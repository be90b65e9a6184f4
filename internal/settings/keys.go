package settings

import (
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// keySpec describes one key: its section, default, description and the parser
// that stores its value in a Settings.
type keySpec struct {
	section     string
	key         string
	defaultText string
	description string
	required    bool
	parser      valueParser
}

// keySpecs lists every key except those of static endpoints. The parsers store
// their values in s.
func keySpecs(s *Settings) []keySpec {
	var specs []keySpec
	specs = append(specs, vmKeys(&s.VM)...)
	specs = append(specs, fleetKeys(&s.Fleet)...)
	specs = append(specs, platformKeys(&s.Platform)...)
	specs = append(specs, tlsKeys(&s.TLS)...)
	specs = append(specs, accessKeys(s)...)
	specs = append(specs, journalKeys(&s.Journal)...)
	specs = append(specs, ownershipKeys(s)...)
	specs = append(specs, policyKeys(s)...)
	return specs
}

func vmKeys(v *VM) []keySpec {
	return []keySpec{
		{"vm", "id", "", "id of this VM, unique for each start of the process; generated if empty", false, name(&v.ID)},
		{"vm", "dc", "", "data centre of this VM", true, name(&v.DC)},
		{"vm", "region", "", "region of the data centre", true, name(&v.Region)},
		{"vm", "listen", "0.0.0.0:8080", "address for callers and operators (HTTP)", false, address(&v.Listen)},
		{"vm", "mesh_listen", "127.0.0.1:8081", "address for calls between VMs (TCP)", false, address(&v.MeshListen)},
		{"vm", "mesh_advertise", "", "mesh address that other VMs connect to; the bound address if empty", false, address(&v.MeshAdvertise)},
		{"vm", "gossip_listen", "127.0.0.1:8081", "address for membership datagrams (UDP)", false, address(&v.GossipListen)},
		{"vm", "gossip_advertise", "", "gossip address that other VMs send to; the bound address if empty", false, address(&v.GossipAdvertise)},
		{"vm", "admin_listen", "127.0.0.1:8082", "address for /metrics and /healthz (HTTP)", false, address(&v.AdminListen)},
	}
}

func fleetKeys(f *Fleet) []keySpec {
	return []keySpec{
		{"fleet", "seeds", "", "gossip addresses of VMs that are contacted to join the fleet", false, addresses(&f.Seeds)},
		{"fleet", "key_file", "", "file with the key that signs traffic between VMs", false, path(&f.KeyFile)},
		{"fleet", "previous_key_file", "", "file with the previous key, still accepted during a key rotation", false, path(&f.PreviousKeyFile)},
	}
}

func platformKeys(p *Platform) []keySpec {
	return []keySpec{
		{"platform", "table_url", "", "base URL of the table service", true, baseURL(&p.TableURL)},
		{"platform", "objects_url", "", "base URL of the object store", true, baseURL(&p.ObjectsURL)},
		{"platform", "vm_list_url", "", "base URL of the VM list", true, baseURL(&p.VMListURL)},
		{"platform", "timeout", "2s", "timeout of one request to the platform, including its retries", false, duration(&p.RequestTimeout)},
		{"platform", "attempts", "4", "maximum number of attempts per request, including the first", false, intBetween(&p.MaxAttempts, 1, 20)},
		{"platform", "retry_ratio", "0.2", "maximum ratio of retries to first attempts, over all requests to the platform", false, ratio(&p.RetryRatio)},
		{"platform", "vm_list_interval", "2s", "interval between reads of the VM list", false, duration(&p.VMListInterval)},
		{"platform", "config_interval", "500ms", "interval between reads of the configuration version", false, duration(&p.ConfigInterval)},
	}
}

func tlsKeys(t *TLS) []keySpec {
	return []keySpec{
		{"tls", "cert_file", "", "certificate chain for callers; plain HTTP if empty", false, path(&t.CertFile)},
		{"tls", "key_file", "", "private key of cert_file", false, path(&t.KeyFile)},
		{"tls", "client_ca_file", "", "CA that must have issued callers' certificates; no client certificate is requested if empty", false, path(&t.ClientCAFile)},
		{"tls", "mesh_cert_file", "", "certificate chain for connections between VMs; plain TCP if empty", false, path(&t.MeshCertFile)},
		{"tls", "mesh_key_file", "", "private key of mesh_cert_file", false, path(&t.MeshKeyFile)},
		{"tls", "mesh_ca_file", "", "CA of the VMs' certificates", false, path(&t.MeshCAFile)},
		{"tls", "reload_every", "10s", "interval between checks for changed certificate files", false, duration(&t.ReloadInterval)},
	}
}

func accessKeys(s *Settings) []keySpec {
	l := &s.Limits
	return []keySpec{
		{"keys", "operator_key_hashes", "", "hashes of the operators' keys", false, hashes(&s.Keys.OperatorKeyHashes)},
		{"keys", "operator_keys_file", "", "file with additional hashes of operators' keys, one per line", false, path(&s.Keys.OperatorKeysFile)},
		{"limits", "body_bytes", "4MiB", "maximum size of a request body", false, sizeBetween(&l.MaxBodyBytes, KiB, GiB)},
		{"limits", "bodies_bytes", "256MiB", "maximum total size of the request bodies in memory; further requests are rejected as overloaded", false, sizeBetween(&l.MaxBufferedBodies, KiB, 64*GiB)},
		{"limits", "header_bytes", "64KiB", "maximum size of a request header", false, sizeBetween(&l.MaxHeaderBytes, KiB, 16*MiB)},
		{"limits", "json_depth", "64", "maximum nesting depth of a JSON body", false, intBetween(&l.MaxJSONDepth, 4, 10_000)},
		{"limits", "request_timeout", "10m", "timeout of one call, from its arrival to the end of its response", false, duration(&l.RequestTimeout)},
		{"limits", "connections", "4096", "maximum number of open connections of callers", false, intBetween(&l.MaxConnections, 1, 1_000_000)},
		{"limits", "slow_sender", "20s", "timeout for receiving a whole request from a caller", false, duration(&l.RequestReadTimeout)},
		{"limits", "idle", "2m", "time after which a connection is closed if it is idle or its caller reads nothing of a response", false, duration(&l.IdleTimeout)},
	}
}

func journalKeys(j *Journal) []keySpec {
	return []keySpec{
		{"journal", "buffer_bytes", "32MiB", "maximum size of the records that are buffered while the platform is unavailable", false, sizeBetween(&j.BufferBytes, 64*KiB, 4*GiB)},
		{"journal", "buffer_records", "50000", "maximum number of records in that buffer", false, intBetween(&j.BufferRecords, 1, 10_000_000)},
		{"journal", "batch_interval", "20ms", "time for which records are collected into one batched write", false, durationBetween(&j.BatchInterval, time.Millisecond, 5*time.Second)},
	}
}

func ownershipKeys(s *Settings) []keySpec {
	o, m := &s.Ownership, &s.Membership
	return []keySpec{
		{"ownership", "lease_ttl", "6s", "duration of a VM's lease", false, duration(&o.LeaseTTL)},
		{"ownership", "lease_renew", "2s", "interval between renewals of the lease", false, duration(&o.LeaseRenewInterval)},
		{"ownership", "isolation_limit", "30s", "time for which a data centre that is isolated from the platform and from the other data centres continues to serve its own programs", false, duration(&o.IsolationLimit)},
		{"ownership", "adoption_limit", "45s", "time after which other VMs may adopt the programs of an isolated data centre", false, duration(&o.AdoptionLimit)},
		{"ownership", "clock_margin", "2s", "maximum drift between two clocks over the isolation and adoption limits", false, duration(&o.ClockMargin)},
		{"ownership", "drain_timeout", "30s", "timeout for calls in flight to finish at a shutdown", false, duration(&o.DrainTimeout)},
		{"membership", "probe_interval", "500ms", "interval between probes of other VMs", false, duration(&m.ProbeInterval)},
		{"membership", "probe_timeout", "300ms", "timeout for the reply to a probe, after which other VMs are asked to probe too", false, duration(&m.ProbeTimeout)},
		{"membership", "suspicion", "1200ms", "time for which an unresponsive VM is suspected before it is declared dead", false, duration(&m.SuspicionTimeout)},
	}
}

func policyKeys(s *Settings) []keySpec {
	p, e := &s.Policy, &s.Engine
	return []keySpec{
		{"policy", "order", DisciplineLeastAttained, "queue discipline: the order in which waiting calls get their permit", false, oneOf(&p.QueueDiscipline, DisciplineLeastAttained, DisciplineFirstCome)},
		{"policy", "placement", PlacementPrefixAware, "placement policy: how an endpoint is chosen for a call", false, oneOf(&p.Placement, PlacementPrefixAware, PlacementPlain)},
		{"policy", "ageing", "30s", "queue wait that outweighs any amount of service that a program has attained", false, duration(&p.AgeingTime)},
		{"policy", "retry_ratio", "0.1", "maximum ratio of retries to first attempts, for calls that may be repeated", false, ratio(&p.RetryRatio)},
		{"engine", "max_concurrent", "256", "upper bound of an endpoint's concurrency limit, which adapts to its load", false, intBetween(&e.MaxConcurrent, 1, 10_000)},
		{"engine", "silence_limit", "5s", "time without data after which a stream is resumed over a new connection", false, duration(&e.SilenceTimeout)},
		{"engine", "hold", "30s", "maximum time for which a program's KV cache is retained during a tool pause", false, duration(&e.MaxCacheRetention)},
		{"engine", "sweep_interval", "30s", "interval between sweeps for the KV caches of programs that no longer exist", false, duration(&e.SweepInterval)},
		{"engine", "model_room", "0", "number of models that one engine can hold in memory; with 0 no engine is ordered to load models", false, intBetween(&e.MaxModels, 0, 100)},
		{"engine", "slots", "16", "number of calls that one engine can run at once; the demand for engines is computed from it", false, intBetween(&e.Slots, 1, 10_000)},
		{"engine", "loads_per_minute", "6", "maximum number of models that the engines of this data centre may load from the weight store per minute", false, intBetween(&e.LoadsPerMinute, 1, 10_000)},
		{"engine", "order_interval", "30s", "interval between evaluations of the demand for models", false, duration(&e.OrderInterval)},
		{"engine", "order_hold", "30s", "stabilization window: time for which a model must be in demand before an engine is ordered to load it", false, duration(&e.OrderStabilizationWindow)},
		{"timeline", "events", "10000", "number of events kept in the ring buffer of this VM", false, intBetween(&s.Timeline.MaxEvents, 100, 1_000_000)},
		{"log", "level", "info", "least severe level that is logged", false, oneOf(&s.Log.Level, "debug", "info", "warn", "error")},
	}
}

// endpointPrefix is the prefix of a static endpoint's section name: [endpoint NAME].
const endpointPrefix = "endpoint "

// endpointKeys lists the keys of an [endpoint NAME] section. The parsers store
// their values in e.
func endpointKeys(section string, e *entity.Endpoint) []keySpec {
	kind := (*string)(&e.Kind)
	return []keySpec{
		{section, "kind", "", "kind of the endpoint", true, oneOf(kind, string(entity.KindEngine), string(entity.KindTool), string(entity.KindService))},
		{section, "url", "", "base URL of the runner", true, baseURL(&e.URL)},
		{section, "dc", "", "data centre of the endpoint", true, name(&e.DC)},
		{section, "target", "", "tool or service that the endpoint serves; empty for engines", false, name(&e.Target)},
		{section, "models", "", "models that an engine has loaded", false, names(&e.Models)},
		{section, "checks_fencing", "false", "whether an engine rejects orders with an outdated fencing number", false, boolean(&e.ChecksFencing)},
	}
}
