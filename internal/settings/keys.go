package settings

import (
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// keySpec describes one key: where it stands, its default, what it means and
// how its text is read into a Settings.
type keySpec struct {
	section  string
	key      string
	def      string // default
	doc      string
	required bool
	value    value
}

// keySpecs is the one place that lists every key with its default. The values
// read into s.
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
		{"vm", "id", "", "name of this VM, unique for each start; generated if empty", false, name(&v.ID)},
		{"vm", "dc", "", "data centre of this VM", true, name(&v.DC)},
		{"vm", "region", "", "region of the data centre", true, name(&v.Region)},
		{"vm", "listen", "0.0.0.0:8080", "address for callers and operators (HTTP)", false, address(&v.Listen)},
		{"vm", "mesh_listen", "127.0.0.1:8081", "address for calls between VMs (TCP)", false, address(&v.MeshListen)},
		{"vm", "mesh_advertise", "", "mesh address that other VMs use; the bound one if empty", false, address(&v.MeshAdvertise)},
		{"vm", "gossip_listen", "127.0.0.1:8081", "address for membership datagrams (UDP)", false, address(&v.GossipListen)},
		{"vm", "gossip_advertise", "", "gossip address that other VMs use; the bound one if empty", false, address(&v.GossipAdvertise)},
		{"vm", "admin_listen", "127.0.0.1:8082", "address for /metrics and /healthz (HTTP)", false, address(&v.AdminListen)},
	}
}

func fleetKeys(f *Fleet) []keySpec {
	return []keySpec{
		{"fleet", "seeds", "", "gossip addresses of some VMs to join through", false, addresses(&f.Seeds)},
		{"fleet", "key_file", "", "file with the key that signs traffic between VMs", false, path(&f.KeyFile)},
		{"fleet", "previous_key_file", "", "file with the key before it, accepted during a rotation", false, path(&f.PreviousKeyFile)},
	}
}

func platformKeys(p *Platform) []keySpec {
	return []keySpec{
		{"platform", "table_url", "", "base URL of the table service", true, baseURL(&p.TableURL)},
		{"platform", "objects_url", "", "base URL of the object store", true, baseURL(&p.ObjectsURL)},
		{"platform", "vm_list_url", "", "base URL of the VM list", true, baseURL(&p.VMListURL)},
		{"platform", "timeout", "2s", "time for one request to the platform", false, duration(&p.RequestTimeout)},
		{"platform", "attempts", "4", "attempts for one request, the first included", false, intBetween(&p.MaxAttempts, 1, 20)},
		{"platform", "retry_ratio", "0.2", "retries per first attempt over all requests", false, ratio(&p.RetryRatio)},
		{"platform", "vm_list_interval", "2s", "time between reads of the VM list", false, duration(&p.VMListInterval)},
		{"platform", "config_interval", "500ms", "time between reads of the configuration version", false, duration(&p.ConfigInterval)},
	}
}

func tlsKeys(t *TLS) []keySpec {
	return []keySpec{
		{"tls", "cert_file", "", "certificate chain for callers; plain HTTP if empty", false, path(&t.CertFile)},
		{"tls", "key_file", "", "private key of cert_file", false, path(&t.KeyFile)},
		{"tls", "client_ca_file", "", "CA that callers' certificates must come from; none asked if empty", false, path(&t.ClientCAFile)},
		{"tls", "mesh_cert_file", "", "certificate chain between VMs; plain TCP if empty", false, path(&t.MeshCertFile)},
		{"tls", "mesh_key_file", "", "private key of mesh_cert_file", false, path(&t.MeshKeyFile)},
		{"tls", "mesh_ca_file", "", "CA of the VMs' certificates", false, path(&t.MeshCAFile)},
		{"tls", "reload_every", "10s", "time between looks for changed certificate files", false, duration(&t.ReloadInterval)},
	}
}

func accessKeys(s *Settings) []keySpec {
	l := &s.Limits
	return []keySpec{
		{"keys", "operator_key_hashes", "", "hashes of the operators' keys", false, hashes(&s.Keys.OperatorKeyHashes)},
		{"keys", "operator_keys_file", "", "file with further such hashes, one a line", false, path(&s.Keys.OperatorKeysFile)},
		{"limits", "body_bytes", "4MiB", "largest request body", false, sizeBetween(&l.MaxBody, KiB, GiB)},
		{"limits", "bodies_bytes", "256MiB", "request bodies held at once; further requests are refused as overloaded", false, sizeBetween(&l.MaxBufferedBodies, KiB, 64*GiB)},
		{"limits", "header_bytes", "64KiB", "largest request header", false, sizeBetween(&l.MaxHeader, KiB, 16*MiB)},
		{"limits", "json_depth", "64", "deepest nesting of a JSON body", false, intBetween(&l.MaxJSONDepth, 4, 10_000)},
		{"limits", "request_timeout", "10m", "time for one call, from its arrival to the end of its answer", false, duration(&l.RequestTimeout)},
		{"limits", "connections", "4096", "callers' connections open at once", false, intBetween(&l.MaxConnections, 1, 1_000_000)},
		{"limits", "slow_sender", "20s", "time for a caller to send a whole request", false, duration(&l.RequestReadTimeout)},
		{"limits", "idle", "2m", "time after which a connection is closed that is idle, or whose caller takes nothing of an answer", false, duration(&l.IdleTimeout)},
	}
}

func journalKeys(j *Journal) []keySpec {
	return []keySpec{
		{"journal", "buffer_bytes", "32MiB", "largest buffer of records while the platform is down", false, sizeBetween(&j.BufferBytes, 64*KiB, 4*GiB)},
		{"journal", "buffer_records", "50000", "most records in that buffer", false, intBetween(&j.BufferRecords, 1, 10_000_000)},
		{"journal", "batch_interval", "20ms", "time for which records are gathered into one write", false, durationBetween(&j.BatchInterval, time.Millisecond, 5*time.Second)},
	}
}

func ownershipKeys(s *Settings) []keySpec {
	o, m := &s.Ownership, &s.Membership
	return []keySpec{
		{"ownership", "lease_ttl", "6s", "time for which a VM's lease holds", false, duration(&o.LeaseTTL)},
		{"ownership", "lease_renew", "2s", "time between renewals of the lease", false, duration(&o.LeaseRenewInterval)},
		{"ownership", "isolation_limit", "30s", "time for which a data centre that is cut off from the platform and the other data centres serves its own programs", false, duration(&o.IsolationLimit)},
		{"ownership", "adoption_limit", "45s", "time after which others may adopt the programs of a data centre that is cut off", false, duration(&o.AdoptionLimit)},
		{"ownership", "clock_margin", "2s", "largest drift between two clocks over these limits", false, duration(&o.ClockMargin)},
		{"ownership", "drain_timeout", "30s", "time for calls under way to end at a shutdown", false, duration(&o.DrainTimeout)},
		{"membership", "probe_interval", "500ms", "time between probes of other VMs", false, duration(&m.ProbeInterval)},
		{"membership", "probe_timeout", "300ms", "time for the answer to a probe before others are asked to probe too", false, duration(&m.ProbeTimeout)},
		{"membership", "suspicion", "1200ms", "time for which an unanswered VM is suspect before it counts as dead", false, duration(&m.SuspicionTimeout)},
	}
}

func policyKeys(s *Settings) []keySpec {
	p, e := &s.Policy, &s.Engine
	return []keySpec{
		{"policy", "order", DisciplineLeastAttained, "order in which waiting calls are let into endpoints", false, oneOf(&p.QueueDiscipline, DisciplineLeastAttained, DisciplineFirstCome)},
		{"policy", "placement", PlacementPrefixAware, "how an endpoint is chosen for a call", false, oneOf(&p.Placement, PlacementPrefixAware, PlacementPlain)},
		{"policy", "ageing", "30s", "wait that makes up for any service that a program has had", false, duration(&p.AgeingTime)},
		{"policy", "retry_ratio", "0.1", "retries per first attempt, of calls that may be repeated", false, ratio(&p.RetryRatio)},
		{"engine", "max_concurrent", "256", "most calls let into one endpoint at once; the system finds how many are good", false, intBetween(&e.MaxConcurrent, 1, 10_000)},
		{"engine", "silence_limit", "5s", "time without bytes after which a stream is resumed over a new connection", false, duration(&e.SilenceTimeout)},
		{"engine", "hold", "30s", "longest time for which a program's KV cache is kept over a tool pause", false, duration(&e.MaxCacheRetention)},
		{"engine", "sweep_interval", "30s", "time between searches for KV cache of programs that are gone", false, duration(&e.SweepInterval)},
		{"engine", "model_room", "0", "models that one engine can hold at once; with 0 no engine is ordered to load models", false, intBetween(&e.MaxModels, 0, 100)},
		{"engine", "slots", "16", "calls that one engine runs at a time, by which the demand for engines is measured", false, intBetween(&e.Slots, 1, 10_000)},
		{"engine", "loads_per_minute", "6", "models that the engines of this data centre may load from the weight store in a minute", false, intBetween(&e.LoadsPerMinute, 1, 10_000)},
		{"engine", "order_interval", "30s", "time between looks at the demand for models", false, duration(&e.OrderInterval)},
		{"engine", "order_hold", "30s", "time for which the demand must ask for a model before an engine is ordered to load it", false, duration(&e.OrderStabilizationWindow)},
		{"timeline", "events", "10000", "events kept in the ring of this VM", false, intBetween(&s.Timeline.MaxEvents, 100, 1_000_000)},
		{"log", "level", "info", "least severe level that is logged", false, oneOf(&s.Log.Level, "debug", "info", "warn", "error")},
	}
}

// endpointPrefix starts the section of a static endpoint: [endpoint NAME].
const endpointPrefix = "endpoint "

// endpointKeys are the keys of one [endpoint NAME] section.
func endpointKeys(section string, e *entity.Endpoint) []keySpec {
	kind := (*string)(&e.Kind)
	return []keySpec{
		{section, "kind", "", "kind of the endpoint", true, oneOf(kind, string(entity.KindEngine), string(entity.KindTool), string(entity.KindService))},
		{section, "url", "", "base URL of the runner", true, baseURL(&e.URL)},
		{section, "dc", "", "data centre of the endpoint", true, name(&e.DC)},
		{section, "target", "", "tool or service that it serves; empty for engines", false, name(&e.Target)},
		{section, "models", "", "models that an engine has loaded", false, names(&e.Models)},
		{section, "checks_fencing", "false", "whether an engine refuses orders with an old fencing number", false, boolean(&e.ChecksFencing)},
	}
}
