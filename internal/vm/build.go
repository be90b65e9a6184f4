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

// Parameters of components that have no setting.
const (
	defaultMaxTokens        = 1024
	answerRetention         = time.Minute
	familyIdleTimeout       = 10 * time.Minute
	historyCacheBytes       = 64 << 20
	ownerLookupTimeout      = 10 * time.Second
	maxIdleConnsPerEndpoint = 64
	randomIDBytes           = 12
)

// build creates the components, each after those that it depends on.
func (v *VM) build() error {
	v.meshClient = mesh.NewClient(mesh.ClientOptions{
		Recorder: v.recorder,
		TLS:      v.meshClientTLS(),
		Keys:     v.fleetKeys(),
		LocalIP:  localIP(v.settings.VM.MeshListen),
	})
	if err := errors.Join(v.buildPlatform(), v.buildMembership()); err != nil {
		return err
	}
	if err := v.buildOwnership(); err != nil {
		return err
	}
	v.buildJournal()
	if err := v.buildConfigManager(); err != nil {
		return err
	}
	v.directory = directory.New(v.settings.Endpoints, v.vmList, v.recorder)
	v.buildRunners()
	v.scheduler = v.buildQueues()
	v.owner = owner.New(v.ownerOptions())
	v.router = route.New(route.Options{
		SelfAddr:       v.MeshAddr(),
		Owner:          v.owner,
		Mesh:           v.meshClient,
		PreferredOwner: v.preferredOwner,
		Suspect:        v.requestProbe,
		LookupTimeout:  ownerLookupTimeout,
	})
	v.front = front.New(v.frontOptions())
	return v.registerServices()
}

// localIP returns the IP address in a listen address, or nil if it contains none or
// the unspecified one. Outgoing mesh connections use it as their source address, so that
// it is the VM's own address on a machine with several.
func localIP(listen string) net.IP {
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
		Seeds:     v.settings.Fleet.Seeds,
		Keys:      v.fleetKeys(),
		Transport: v.gossip,
		VMList:    v.vmList,
		Recorder:  v.recorder,
		Logger:    v.log,
		Metrics:   v.metrics.Set(),
		Timing:    membershipTiming(v.settings.Membership),
	})
	return err
}

// membershipTiming returns the intervals and timeouts of failure detection that
// the settings specify.
func membershipTiming(s settings.Membership) membership.Timing {
	t := membership.DefaultTiming()
	t.ProbeInterval = s.ProbeInterval
	t.AckTimeout = s.ProbeTimeout
	t.SuspicionTimeout = s.SuspicionTimeout
	return t
}

// developmentKey signs the traffic of a fleet without a key file, which the
// settings allow on loopback addresses only.
const developmentKey = "ibisstall-fleet-without-a-key-file"

// fleetKeys returns the key that signs, then the previous key if both are valid
// during a rotation, or developmentKey if the settings have none.
func (v *VM) fleetKeys() [][]byte {
	var out [][]byte
	for _, k := range [][]byte{v.settings.Fleet.Key.Reveal(), v.settings.Fleet.PreviousKey.Reveal()} {
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
		DC:        v.settings.VM.DC,
		Self:      v.id,
		Journal:   v.journal,
		Scheduler: newMeteredScheduler(v.scheduler, v.sweeper, v.demandMeter, v.recordNoEngine),
		EngineClient: func(ep entity.Endpoint) owner.EngineClient {
			return v.engine(ep)
		},
		ServiceClient: func(ep entity.Endpoint) owner.ServiceClient {
			return v.endpointClients.ServiceClient(ep)
		},
		Endpoint:           v.directory.Find,
		Endpoints:          v.directory.Endpoints,
		Config:             v.config,
		AssignedOwner:      v.preferredOwner,
		LiveVM:             v.vmByID,
		RequestHandOver:    v.requestHandOver,
		CheckLease:         v.vmLease.CheckHeld,
		CheckMayBuffer:     v.ownership.CheckMayBuffer,
		PlatformReachable:  v.platform.Reachable,
		RetryRatio:         v.settings.Policy.RetryRatio,
		Recorder:           v.recorder,
		Now:                time.Now,
		NewAttemptID:       newID,
		DefaultMaxTokens:   defaultMaxTokens,
		DefaultCallTimeout: v.settings.Limits.RequestTimeout,
		SaveTimeout:        v.settings.Platform.RequestTimeout * 2,
		AnswerRetention:    answerRetention,
		FamilyIdleTimeout:  familyIdleTimeout,
		MaxCacheBytes:      historyCacheBytes,
	}
}

func newID() string {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

func (v *VM) frontOptions() front.Options {
	return front.Options{
		DC:           v.settings.VM.DC,
		Router:       v.router,
		Lister:       programLister{v.committer},
		Config:       v.configManager,
		Fleet:        &fleet{v},
		OperatorKeys: v.operatorKeys.Load,
		NewID:        newID,
		Now:          time.Now,
		Limits: front.Limits{
			MaxHeaderBytes:    int64(v.settings.Limits.MaxHeaderBytes),
			MaxBodyBytes:      int64(v.settings.Limits.MaxBodyBytes),
			MaxTotalBodyBytes: int64(v.settings.Limits.MaxBufferedBodies),
			MaxJSONDepth:      v.settings.Limits.MaxJSONDepth,
			BodyReadTimeout:   v.settings.Limits.RequestReadTimeout,
			WriteStallTimeout: v.settings.Limits.IdleTimeout,
			RequestTimeout:    v.settings.Limits.RequestTimeout,
		},
	}
}

// registerServices registers the RPC services that other VMs call.
func (v *VM) registerServices() error {
	return errors.Join(
		v.meshServer.Register(owner.ServiceName, owner.NewService(v.owner, ownerLookupTimeout)),
		v.meshServer.Register(configService, &configRPC{v}),
		v.meshServer.Register(relayService, &relayRPC{v}),
		v.meshServer.Register(batchrpc.ServiceName, batchrpc.NewService(v.peerCommitter, v.settings.Platform.RequestTimeout)),
		v.meshServer.Register(vmListService, &vmListRPC{v}),
		v.meshServer.Register(fleetService, &fleetRPC{v}),
		v.meshServer.Register(queue.ServiceName, v.scheduler.Server()),
		v.meshServer.Register(runnersService, &runnersRPC{v}),
		v.meshServer.Register(mirror.ServiceName, mirror.NewService(v.mirrorStore)),
	)
}

// requestHandOver asks another VM to hand over a family.
func (v *VM) requestHandOver(ctx context.Context, vm entity.VM, args owner.HandOverArgs) (owner.HandOverReply, error) {
	var reply owner.HandOverReply
	err := v.meshClient.Call(ctx, vm.MeshAddr, owner.ServiceName+".HandOver", args, &reply)
	return reply, err
}
