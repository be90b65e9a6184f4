package vm

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/front"
	"ibisstall.example/ibisstall/internal/membership"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform/batchrpc"
	"ibisstall.example/ibisstall/internal/settings"
	"ibisstall.example/ibisstall/internal/system/directory"
	"ibisstall.example/ibisstall/internal/system/mirror"
	"ibisstall.example/ibisstall/internal/system/owner"
	"ibisstall.example/ibisstall/internal/system/queue"
	"ibisstall.example/ibisstall/internal/system/route"
)

// Settings of the calls that have no key of their own.
const (
	defaultTokens = 1024
	keepAnswers   = time.Minute
	keepFamilies  = 10 * time.Minute
	cacheBytes    = 64 << 20 // of histories
	findLimit     = 10 * time.Second
	idleConns     = 64 // to each endpoint
	idBytes       = 12
)

// build makes the systems, from the bottom up.
func (v *VM) build() error {
	v.meshOut = mesh.NewClient(mesh.ClientOptions{
		Recorder: v.recorder,
		TLS:      v.meshClientTLS(),
		Keys:     v.fleetKeys(),
		LocalIP:  ownIP(v.s.VM.MeshListen),
	})
	if err := errors.Join(v.buildPlatform(), v.buildMembership()); err != nil {
		return err
	}
	if err := v.buildOwnership(); err != nil {
		return err
	}
	v.buildJournal()
	if err := v.buildConfig(); err != nil {
		return err
	}
	v.directory = directory.New(v.s.Endpoints, v.vmList, v.recorder)
	v.buildRunners()
	v.schedule = v.buildQueues()
	v.owner = owner.New(v.ownerOptions())
	v.router = route.New(route.Options{
		SelfAddr:       v.MeshAddr(),
		Owner:          v.owner,
		Mesh:           v.meshOut,
		PreferredOwner: v.place,
		Suspect:        v.suspect,
		LookupTimeout:  findLimit,
	})
	v.front = front.New(v.frontOptions())
	return v.register()
}

// ownIP returns the IP number that a VM with several of them listens on, so
// that its connections come from there, too; nil if it listens on all.
func ownIP(listen string) net.IP {
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return nil
	}
	ip := net.ParseIP(host)
	if ip.IsUnspecified() {
		return nil
	}
	return ip
}

func (v *VM) buildMembership() error {
	v.buildVMList()
	var err error
	v.members, err = membership.New(membership.Options{
		Self:      v.self(),
		Seeds:     v.s.Fleet.Seeds,
		Keys:      v.fleetKeys(),
		Transport: v.gossip,
		VMList:    v.vmList,
		Recorder:  v.recorder,
		Logger:    v.log,
		Metrics:   v.metrics.Set(),
		Timing:    timing(v.s.Membership),
	})
	return err
}

// timing returns the pace of probing that the settings ask for.
func timing(s settings.Membership) membership.Timing {
	t := membership.DefaultTiming()
	t.ProbeEvery = s.ProbeInterval
	t.AckTimeout = s.ProbeTimeout
	t.SuspicionTimeout = s.SuspicionTimeout
	return t
}

// developmentKey signs the traffic of a fleet without a key file, which
// settings allow on loopback only.
const developmentKey = "ibisstall-fleet-without-a-key-file"

func (v *VM) fleetKeys() [][]byte {
	var out [][]byte
	for _, k := range [][]byte{v.s.Fleet.Key.Reveal(), v.s.Fleet.PreviousKey.Reveal()} {
		if len(k) > 0 {
			out = append(out, k)
		}
	}
	if len(out) == 0 {
		out = append(out, []byte(developmentKey))
	}
	return out
}

func (v *VM) ownerOptions() owner.Options {
	return owner.Options{
		DC:        v.s.VM.DC,
		Self:      v.id,
		Journal:   v.journal,
		Scheduler: newMeteredQueue(v.schedule, v.sweeper, v.meter, v.refused),
		EngineClient: func(ep entity.Endpoint) owner.EngineClient {
			return v.engine(ep)
		},
		ServiceClient: func(ep entity.Endpoint) owner.ServiceClient {
			return v.pool.ServiceClient(ep)
		},
		Endpoint:           v.directory.Find,
		Endpoints:          v.directory.Endpoints,
		Config:             v.config,
		AssignedOwner:      v.place,
		LiveVM:             v.vmByID,
		RequestHandOver:    v.handOver,
		CheckLease:         v.lease.CheckHeld,
		CheckMayBuffer:     v.ownership.CheckMayBuffer,
		PlatformReachable:  v.platform.Reachable,
		RetryRatio:         v.s.Policy.RetryRatio,
		Recorder:           v.recorder,
		Now:                time.Now,
		NewID:              newID,
		DefaultMaxTokens:   defaultTokens,
		DefaultCallTimeout: v.s.Limits.RequestTimeout,
		SaveTimeout:        v.s.Platform.RequestTimeout * 2,
		AnswerRetention:    keepAnswers,
		FamilyIdleTimeout:  keepFamilies,
		MaxCacheBytes:      cacheBytes,
	}
}

func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

func (v *VM) frontOptions() front.Options {
	return front.Options{
		DC:        v.s.VM.DC,
		Router:    v.router,
		Lister:    lister{v.batch},
		Config:    v.table,
		Fleet:     &fleet{v},
		Operators: v.operators.Load,
		NewID:     newID,
		Now:       time.Now,
		Limits: front.Limits{
			Header:         int64(v.s.Limits.MaxHeader),
			Body:           int64(v.s.Limits.MaxBody),
			Bodies:         int64(v.s.Limits.MaxBufferedBodies),
			JSONDepth:      v.s.Limits.MaxJSONDepth,
			SlowSender:     v.s.Limits.RequestReadTimeout,
			Unread:         v.s.Limits.IdleTimeout,
			RequestTimeout: v.s.Limits.RequestTimeout,
		},
	}
}

// register publishes the services that other VMs call.
func (v *VM) register() error {
	return errors.Join(
		v.meshIn.Register(owner.ServiceName, owner.NewService(v.owner, findLimit)),
		v.meshIn.Register(configService, &configRPC{v}),
		v.meshIn.Register(relayService, &relayRPC{v}),
		v.meshIn.Register(batchrpc.ServiceName, batchrpc.NewService(v.writer, v.s.Platform.RequestTimeout)),
		v.meshIn.Register(vmListService, &vmListRPC{v}),
		v.meshIn.Register(fleetService, &fleetRPC{v}),
		v.meshIn.Register(queue.ServiceName, v.schedule.Server()),
		v.meshIn.Register(runnersService, &runnersRPC{v}),
		v.meshIn.Register(mirror.ServiceName, mirror.NewService(v.copies)),
	)
}

// handOver asks another VM to give up a family.
func (v *VM) handOver(ctx context.Context, vm entity.VM, args owner.HandOverArgs) (owner.HandOverReply, error) {
	var reply owner.HandOverReply
	err := v.meshOut.Call(ctx, vm.MeshAddr, owner.ServiceName+".HandOver", args, &reply)
	return reply, err
}
