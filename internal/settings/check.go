package settings

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

func (s *Settings) fail(section, key, reason, allowed string) error {
	return &Error{File: s.File, Section: section, Key: key, Reason: reason, Allowed: allowed}
}

// contradictions reports settings that are valid each but not together.
func (s *Settings) contradictions() []error {
	var errs []error
	add := func(section, key, reason, allowed string) {
		errs = append(errs, s.fail(section, key, reason, allowed))
	}
	below := func(section, key string, d time.Duration, than string, limit time.Duration) {
		if d >= limit {
			add(section, key, fmt.Sprintf("%v is not below %s (%v)", d, than, limit), "less than "+than)
		}
	}
	o, m := s.Ownership, s.Membership
	below("ownership", "lease_renew", o.LeaseRenewInterval, "lease_ttl", o.LeaseTTL)
	below("ownership", "clock_margin", o.ClockMargin, "lease_ttl", o.LeaseTTL)
	below("ownership", "lease_ttl", o.LeaseTTL, "adoption_limit", o.AdoptionLimit)
	below("ownership", "isolation_limit", o.IsolationLimit+o.AdoptionMargin(), "adoption_limit less clock_margin and 4s", o.AdoptionLimit)
	below("membership", "probe_timeout", m.ProbeTimeout, "probe_interval", m.ProbeInterval)
	below("platform", "timeout", s.Platform.RequestTimeout, "ownership lease_ttl", o.LeaseTTL)
	below("limits", "slow_sender", s.Limits.RequestReadTimeout, "request_timeout", s.Limits.RequestTimeout)

	if s.Limits.MaxBufferedBodies < s.Limits.MaxBody {
		add("limits", "bodies_bytes", "less than body_bytes", "at least body_bytes")
	}

	pair := func(first, second, firstValue, secondValue string) {
		if (firstValue == "") != (secondValue == "") {
			add("tls", first, fmt.Sprintf("set without %s, or the reverse", second), "both or none")
		}
	}
	t := s.TLS
	pair("cert_file", "key_file", t.CertFile, t.KeyFile)
	pair("mesh_cert_file", "mesh_key_file", t.MeshCertFile, t.MeshKeyFile)
	pair("mesh_cert_file", "mesh_ca_file", t.MeshCertFile, t.MeshCAFile)
	if t.ClientCAFile != "" && t.CertFile == "" {
		add("tls", "client_ca_file", "set without cert_file", "nothing, or cert_file as well")
	}
	if s.Fleet.PreviousKeyFile != "" && s.Fleet.KeyFile == "" {
		add("fleet", "previous_key_file", "set without key_file", "nothing, or key_file as well")
	}
	if s.Fleet.KeyFile == "" && !s.onLoopback() {
		add("fleet", "key_file", "missing, but other machines can reach this VM's mesh or gossip address", "a file with a key, or loopback addresses")
	}
	errs = append(errs, s.addressErrors()...)
	errs = append(errs, s.endpointErrors()...)
	return errs
}

// onLoopback reports whether only processes of this machine can reach the
// addresses that VMs talk over. Traffic between VMs may go unsigned only then.
func (s *Settings) onLoopback() bool {
	for _, a := range []string{s.VM.MeshListen, s.VM.GossipListen} {
		addr, err := netip.ParseAddrPort(a)
		if err != nil || !addr.Addr().IsLoopback() {
			return false
		}
	}
	return true
}

// addressErrors reports addresses that others can't use: an unspecified IP
// number (0.0.0.0) must not be advertised.
func (s *Settings) addressErrors() []error {
	var errs []error
	check := func(listenKey, listen, advertiseKey, advertise string) {
		used, key := advertise, advertiseKey
		if used == "" {
			used, key = listen, listenKey
		}
		addr, err := netip.ParseAddrPort(used)
		if err == nil && addr.Addr().IsUnspecified() {
			errs = append(errs, s.fail("vm", key, "other VMs can't reach an unspecified IP number", "an IP number of this VM in "+advertiseKey))
		}
	}
	v := s.VM
	check("mesh_listen", v.MeshListen, "mesh_advertise", v.MeshAdvertise)
	check("gossip_listen", v.GossipListen, "gossip_advertise", v.GossipAdvertise)
	for key, a := range map[string]string{"listen": v.Listen, "mesh_listen": v.MeshListen, "gossip_listen": v.GossipListen, "admin_listen": v.AdminListen} {
		if a == "" {
			errs = append(errs, s.fail("vm", key, "empty", addressAllowed))
		}
	}
	return errs
}

// endpointErrors reports two endpoints at one URL. Two such entries would let
// twice the permitted number of calls into one runner.
func (s *Settings) endpointErrors() []error {
	var errs []error
	byURL := make(map[string]entity.Endpoint, len(s.Endpoints))
	for _, e := range s.Endpoints {
		if first, dup := byURL[e.URL]; dup {
			errs = append(errs, s.fail(endpointPrefix+e.Name, "url", "also the URL of endpoint "+first.Name, "one endpoint for one runner"))
		}
		byURL[e.URL] = e
	}
	return errs
}

// WriteDefaults prints every key with its meaning, its default and what is
// allowed, as an INI file.
func WriteDefaults(w io.Writer) error {
	specs := keySpecs(&Settings{})
	specs = append(specs, endpointKeys(endpointPrefix+"NAME", &entity.Endpoint{})...)
	section := ""
	for _, spec := range specs {
		if spec.section != section {
			lead := "\n"
			if section == "" {
				lead = ""
			}
			section = spec.section
			if _, err := fmt.Fprintf(w, "%s[%s]\n", lead, section); err != nil {
				return err
			}
		}
		mark, need := "", ""
		if spec.required {
			mark, need = "; ", " Required."
		}
		if _, err := fmt.Fprintf(w, "; %s.%s Allowed: %s.\n%s%s = %s\n", spec.doc, need, spec.value.allowed, mark, spec.key, spec.def); err != nil {
			return err
		}
	}
	return nil
}
