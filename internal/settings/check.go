package settings

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

func (s *Settings) newError(section, key, reason, allowed string) error {
	return &Error{File: s.File, Section: section, Key: key, Reason: reason, Allowed: allowed}
}

// consistencyErrors reports settings that are valid on their own but contradict
// each other.
func (s *Settings) consistencyErrors() []error {
	var errs []error
	addError := func(section, key, reason, allowed string) {
		errs = append(errs, s.newError(section, key, reason, allowed))
	}
	requireBelow := func(section, key string, d time.Duration, limitName string, limit time.Duration) {
		if d >= limit {
			addError(section, key, fmt.Sprintf("%v is not below %s (%v)", d, limitName, limit), "less than "+limitName)
		}
	}
	o, m := s.Ownership, s.Membership
	requireBelow("ownership", "lease_renew", o.LeaseRenewInterval, "lease_ttl", o.LeaseTTL)
	requireBelow("ownership", "clock_margin", o.ClockMargin, "lease_ttl", o.LeaseTTL)
	requireBelow("ownership", "lease_ttl", o.LeaseTTL, "adoption_limit", o.AdoptionLimit)
	requireBelow("ownership", "isolation_limit", o.IsolationLimit+o.AdoptionMargin(), "adoption_limit less clock_margin and 4s", o.AdoptionLimit)
	requireBelow("membership", "probe_timeout", m.ProbeTimeout, "probe_interval", m.ProbeInterval)
	requireBelow("platform", "timeout", s.Platform.RequestTimeout, "ownership lease_ttl", o.LeaseTTL)
	requireBelow("limits", "slow_sender", s.Limits.RequestReadTimeout, "request_timeout", s.Limits.RequestTimeout)

	if s.Limits.MaxBufferedBodies < s.Limits.MaxBodyBytes {
		addError("limits", "bodies_bytes", "less than body_bytes", "at least body_bytes")
	}

	requireBothOrNone := func(first, second, firstValue, secondValue string) {
		if (firstValue == "") != (secondValue == "") {
			addError("tls", first, fmt.Sprintf("set without %s, or the reverse", second), "both or none")
		}
	}
	t := s.TLS
	requireBothOrNone("cert_file", "key_file", t.CertFile, t.KeyFile)
	requireBothOrNone("mesh_cert_file", "mesh_key_file", t.MeshCertFile, t.MeshKeyFile)
	requireBothOrNone("mesh_cert_file", "mesh_ca_file", t.MeshCertFile, t.MeshCAFile)
	if t.ClientCAFile != "" && t.CertFile == "" {
		addError("tls", "client_ca_file", "set without cert_file", "nothing, or cert_file as well")
	}
	if s.Fleet.PreviousKeyFile != "" && s.Fleet.KeyFile == "" {
		addError("fleet", "previous_key_file", "set without key_file", "nothing, or key_file as well")
	}
	if s.Fleet.KeyFile == "" && !s.onLoopback() {
		addError("fleet", "key_file", "missing, but other machines can reach this VM's mesh or gossip address", "a file with a key, or loopback addresses")
	}
	errs = append(errs, s.addressErrors()...)
	errs = append(errs, s.duplicateURLErrors()...)
	return errs
}

// onLoopback reports whether the mesh and gossip addresses are reachable only
// from this machine. Only then may traffic between VMs be unsigned.
func (s *Settings) onLoopback() bool {
	for _, a := range []string{s.VM.MeshListen, s.VM.GossipListen} {
		addr, err := netip.ParseAddrPort(a)
		if err != nil || !addr.Addr().IsLoopback() {
			return false
		}
	}
	return true
}

// addressErrors reports listening addresses that are empty and advertised addresses
// with an unspecified IP address (0.0.0.0 or ::), which other VMs can't connect to.
func (s *Settings) addressErrors() []error {
	var errs []error
	checkReachable := func(listenKey, listen, advertiseKey, advertise string) {
		used, key := advertise, advertiseKey
		if used == "" {
			used, key = listen, listenKey
		}
		addr, err := netip.ParseAddrPort(used)
		if err == nil && addr.Addr().IsUnspecified() {
			errs = append(errs, s.newError("vm", key, "other VMs can't reach an unspecified IP address", "an IP address of this VM in "+advertiseKey))
		}
	}
	v := s.VM
	checkReachable("mesh_listen", v.MeshListen, "mesh_advertise", v.MeshAdvertise)
	checkReachable("gossip_listen", v.GossipListen, "gossip_advertise", v.GossipAdvertise)
	for key, a := range map[string]string{"listen": v.Listen, "mesh_listen": v.MeshListen, "gossip_listen": v.GossipListen, "admin_listen": v.AdminListen} {
		if a == "" {
			errs = append(errs, s.newError("vm", key, "empty", addressAllowed))
		}
	}
	return errs
}

// duplicateURLErrors reports endpoints with the same URL. Each would get a
// concurrency limit of its own, so that one runner would get twice the permitted
// number of calls.
func (s *Settings) duplicateURLErrors() []error {
	var errs []error
	byURL := make(map[string]entity.Endpoint, len(s.Endpoints))
	for _, e := range s.Endpoints {
		if first, dup := byURL[e.URL]; dup {
			errs = append(errs, s.newError(endpointPrefix+e.Name, "url", "also the URL of endpoint "+first.Name, "one endpoint per runner"))
		}
		byURL[e.URL] = e
	}
	return errs
}

// WriteDefaults writes an INI file with every key, its description, its default
// and its allowed values.
func WriteDefaults(w io.Writer) error {
	specs := keySpecs(&Settings{})
	specs = append(specs, endpointKeys(endpointPrefix+"NAME", &entity.Endpoint{})...)
	section := ""
	for _, spec := range specs {
		if spec.section != section {
			separator := "\n"
			if section == "" {
				separator = ""
			}
			section = spec.section
			if _, err := fmt.Fprintf(w, "%s[%s]\n", separator, section); err != nil {
				return err
			}
		}
		commentPrefix, requiredNote := "", ""
		if spec.required {
			commentPrefix, requiredNote = "; ", " Required."
		}
		if _, err := fmt.Fprintf(w, "; %s.%s Allowed: %s.\n%s%s = %s\n", spec.description, requiredNote, spec.parser.allowed, commentPrefix, spec.key, spec.defaultText); err != nil {
			return err
		}
	}
	return nil
}
