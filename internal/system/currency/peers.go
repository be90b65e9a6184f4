package currency

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/mesh"
)

const (
	// serviceName names the net/rpc service.
	serviceName = "ConfigCurrency"
	// maxVouchers is the number of VMs that are asked at once when the last one confirmed
	// its configuration.
	maxVouchers = 3
	// vouchTimeout bounds the wait for them. They answer from memory.
	vouchTimeout = 150 * time.Millisecond
)

// VouchRequest asks a VM how recent its configuration is.
type VouchRequest struct{ RowVersion uint64 } // of the sender's configuration

// Vouch says how recent a VM's configuration is.
type Vouch struct {
	Known      bool          // it was confirmed
	Age        time.Duration // since then
	RowVersion uint64        // of the configuration in force
	Row        []byte        // of it, if it is newer than that of the request
}

// Peers asks other VMs.
type Peers struct {
	Mesh     *mesh.Client
	Suspects *mesh.Suspects
	// Addresses returns the addresses of VMs to ask, in another order from call to call.
	Addresses func() []string
}

// Ask returns what up to maxVouchers VMs answer.
func (p *Peers) Ask(req VouchRequest) []Vouch {
	ctx, cancel := context.WithTimeout(context.Background(), vouchTimeout+p.Suspects.Lag.TimeoutExtension())
	defer cancel()
	replies := make(chan *Vouch, maxVouchers)
	asked := 0
	for _, address := range p.Addresses() {
		if asked == maxVouchers {
			break
		}
		if p.Suspects.Suspected(address) {
			continue
		}
		asked++
		go func() {
			v := &Vouch{}
			if err := p.Mesh.Call(ctx, address, serviceName+".Vouch", req, v); err != nil {
				p.Suspects.Suspect(address, err)
				v = nil
			}
			replies <- v
		}()
	}
	var list []Vouch
	for range asked {
		if v := <-replies; v != nil {
			list = append(list, *v)
		}
	}
	return list
}

// service exposes a Monitor over net/rpc.
type service struct{ monitor *Monitor }

// RegisterService registers the monitor for calls by other VMs.
func RegisterService(server *mesh.Server, m *Monitor) error {
	return server.Register(serviceName, &service{m})
}

// Vouch returns how recent the configuration of this VM is.
func (s *service) Vouch(req VouchRequest, out *Vouch) error {
	*out = s.monitor.vouch(req)
	return nil
}

// vouch answers another VM. The configuration is at least as new as the confirmation, which is
// read first.
func (m *Monitor) vouch(req VouchRequest) Vouch {
	m.mu.Lock()
	v := Vouch{Known: m.confirmed, Age: m.age()}
	m.mu.Unlock()
	version, row, err := m.Config.InForce()
	if err != nil {
		return Vouch{}
	}
	v.RowVersion = version
	if version > req.RowVersion {
		v.Row = row
	}
	return v
}

// askOthers returns the latest moment at which another VM knew its configuration to be the
// newest one, and puts a newer one in force. An answer's age counts from the question.
func (m *Monitor) askOthers() (at time.Duration, known bool) {
	if m.Others == nil {
		return 0, false
	}
	asked := m.Clock.Now()
	version, _, err := m.Config.InForce()
	if err != nil {
		return 0, false
	}
	for _, v := range m.Others(VouchRequest{RowVersion: version}) {
		if !v.Known || v.RowVersion > version && m.Config.Adopt(v.RowVersion, v.Row) != nil {
			continue
		}
		if !known || asked-v.Age > at {
			at, known = asked-v.Age, true
		}
	}
	_, _, err = m.Config.InForce()
	return at, known && err == nil
}
