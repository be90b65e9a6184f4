package membership

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/timeline"
)

// Limits of the fleet keys.
const (
	minKeyBytes = 16
	maxKeys     = 2
)

// Options configure a Membership. Self, Keys and Transport are required.
type Options struct {
	Self entity.VM
	// Seeds are gossip addresses. Each is pinged while no live member with that
	// address is known.
	Seeds []string
	// Keys are the fleet keys. The first one signs datagrams; datagrams signed
	// with any of them are accepted. Two keys allow rotation.
	Keys [][]byte
	// Transport is owned by the Membership and closed by Run.
	Transport Transport
	// VMList provides further seeds; there are none if it is nil. A listed VM is
	// not necessarily alive.
	VMList platform.VMList
	// VMListInterval is the mean time between reads of the VM list, 30 s if zero.
	// Until another VM is known, the list is read every second.
	VMListInterval time.Duration

	Clock    clock.Clock       // system clock if nil
	Recorder timeline.Recorder // discards if nil
	Metrics  *metrics.Set      // new set if nil
	Logger   *zap.Logger       // discards if nil
	Timing   Timing            // DefaultTiming if zero
}

// Membership runs the protocol on one VM.
type Membership struct {
	keys           keyring
	transport      Transport
	seeds          []string
	vmList         platform.VMList
	vmListInterval time.Duration
	clock          clock.Clock
	recorder       timeline.Recorder
	metrics        *instruments
	log            *zap.Logger
	timing         Timing

	mu      sync.Mutex // guards the fields below
	machine *Machine
	view    []entity.VM   // never modified after publication
	changed chan struct{} // closed and replaced at each change of the view
}

// New returns a Membership whose view contains only its own VM. Nothing is sent
// before Run.
func New(o Options) (*Membership, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	o.setDefaults()
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("membership: seed random numbers: %w", err)
	}
	m := &Membership{
		keys: o.Keys, transport: o.Transport, seeds: o.Seeds, vmList: o.VMList, vmListInterval: o.VMListInterval,
		clock: o.Clock, recorder: o.Recorder, metrics: newInstruments(o.Metrics), log: o.Logger, timing: o.Timing,
		changed: make(chan struct{}),
	}
	m.machine = NewMachine(o.Self, o.Timing, binary.LittleEndian.Uint64(seed[:]), o.Clock.Now())
	m.machine.Step(o.Clock.Now(), SetSeeds{Addrs: o.Seeds})
	m.view = m.machine.View()
	m.metrics.registerStateGauges(m.View)
	return m, nil
}

func (o *Options) validate() error {
	switch {
	case o.Self.ID == "" || o.Self.DC == "" || o.Self.GossipAddr == "":
		return errors.New("membership: own id, data centre and gossip address are required")
	case o.Transport == nil:
		return errors.New("membership: a transport is required")
	case len(o.Keys) == 0 || len(o.Keys) > maxKeys:
		return fmt.Errorf("membership: 1 to %d fleet keys are required", maxKeys)
	}
	for _, k := range o.Keys {
		if len(k) < minKeyBytes {
			return fmt.Errorf("membership: a fleet key must have at least %d bytes", minKeyBytes)
		}
	}
	for _, s := range []string{o.Self.ID, o.Self.DC, o.Self.Region, o.Self.MeshAddr, o.Self.GossipAddr} {
		if len(s) > maxStringLen {
			return fmt.Errorf("membership: %q is longer than %d bytes", s, maxStringLen)
		}
	}
	return nil
}

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
	if o.VMListInterval <= 0 {
		o.VMListInterval = 30 * time.Second
	}
}

// Run runs the protocol until ctx ends, then closes the transport. If Leave was
// called, it first announces the shutdown of this VM to a few members.
func (m *Membership) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.receiveLoop(ctx) })
	if m.vmList != nil {
		wg.Go(func() { m.vmListLoop(ctx) })
	}
	m.tickLoop(ctx)
	if m.leaving() {
		m.step(Stop{})
	}
	m.transport.Close()
	wg.Wait()
}

func (m *Membership) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(m.timing.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.step(Tick{})
		}
	}
}

func (m *Membership) receiveLoop(ctx context.Context) {
	buf := make([]byte, MaxDatagram+1)
	for {
		n, err := m.transport.Receive(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			m.log.Error("receiving a membership datagram failed; retrying", tag.Error(err))
			<-m.clock.After(m.timing.TickInterval)
			continue
		}
		m.metrics.received(n)
		msg, err := m.keys.decode(buf[:n])
		switch {
		case errors.Is(err, errUnauthenticated):
			m.metrics.dropped(DropUnauthenticated)
		case err != nil:
			m.metrics.dropped(DropMalformed)
		default:
			m.step(Received{Message: msg})
		}
	}
}

// step applies an input to the machine, then handles the resulting events and
// messages outside the lock.
func (m *Membership) step(in Input) {
	m.mu.Lock()
	sends, events := m.machine.Step(m.clock.Now(), in)
	changed := false
	for _, e := range events {
		changed = changed || e.Kind != EventDropped
	}
	if changed {
		m.view = m.machine.View()
		close(m.changed)
		m.changed = make(chan struct{})
	}
	m.mu.Unlock()
	for _, e := range events {
		m.report(e)
	}
	for i := range sends {
		m.transmit(&sends[i])
	}
}

func (m *Membership) transmit(s *OutboundMessage) {
	datagram, err := m.keys.encode(&s.Message)
	if err != nil {
		m.log.Error("encoding a membership message failed; message dropped", tag.Error(err))
		return
	}
	// A datagram that can't be sent counts as lost; probing detects the effects.
	if err := m.transport.Send(s.Addr, datagram); err != nil {
		m.metrics.sendFailed()
		return
	}
	m.metrics.sent(len(datagram))
}

func (m *Membership) report(e Event) {
	if e.Kind == EventDropped {
		m.metrics.dropped(e.Reason)
		return
	}
	kind, ok := timelineKinds[e.Kind]
	if !ok {
		return
	}
	m.metrics.event(kind)
	detail := fmt.Sprintf("%s in %s, incarnation %d", e.VM.ID, e.VM.DC, e.VM.Incarnation)
	m.recorder.Record(timeline.Event{Kind: kind, Detail: detail})
	m.log.Info("membership of a VM changed", tag.Event(kind), tag.PeerVM(e.VM.ID), tag.PeerDC(e.VM.DC))
}

var timelineKinds = map[EventKind]timeline.Kind{
	EventJoined:    timeline.VMJoined,
	EventRefuted:   timeline.VMJoined,
	EventSuspected: timeline.VMSuspected,
	EventDied:      timeline.VMDied,
	EventLeaving:   timeline.VMLeaving,
}

// View returns each known VM including this one, sorted by id. Dead VMs stay in it
// for Timing.DeadRetention, or LeftRetention if they left. The ConfigVersion of
// other VMs is a lower bound. The slice is shared and must not be modified.
func (m *Membership) View() []entity.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// Changed returns a channel that is closed at the next change of the view. Call it
// before View so that no change is missed.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// SetConfigVersion announces the configuration version in force on this VM. A
// version that is not higher than the one announced last is ignored.
func (m *Membership) SetConfigVersion(v uint64) { m.step(SetConfigVersion{Version: v}) }

// SetPlatformReachable announces whether this VM can reach the platform.
func (m *Membership) SetPlatformReachable(ok bool) { m.step(SetPlatformReachable{Reachable: ok}) }

// RequestProbe starts a probe of a VM immediately, for example because a connection
// to it failed. The request alone does not make the VM suspect.
func (m *Membership) RequestProbe(id string) { m.step(RequestProbe{ID: id}) }

// Leave announces that this VM accepts no new programs. It returns nil once the
// announcement was sent to at least one member or no live member is known, and an
// error if ctx ends first.
func (m *Membership) Leave(ctx context.Context) error {
	m.step(StartLeaving{})
	for !m.leaveAnnounced() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("membership: announce leaving: %w", ctx.Err())
		case <-m.clock.After(m.timing.TickInterval):
		}
	}
	return nil
}

func (m *Membership) leaveAnnounced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.selfAnnounced() || len(m.machine.liveRing) == 0
}

func (m *Membership) leaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.self.Leaving
}
