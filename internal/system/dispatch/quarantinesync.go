package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/policy/quarantine"
)

// quarantineSync keeps what a VM and the schedulers that it asks know about requests that
// crash endpoints in step: each request for a slot and its response carry what is new to
// the other side. So all VMs in use know it, and a VM that becomes a scheduler learns it
// from the first request. Schedulers tell each other the ends that they see
// (ShareQuarantine). It is safe for concurrent use.
type quarantineSync struct {
	mu    sync.Mutex
	peers map[string]*syncedScheduler // guarded by mu; by address
}

// syncedScheduler is how far a VM and a scheduler are in step.
type syncedScheduler struct {
	instance uint64 // of the scheduler; 0 until it has answered
	told     uint64 // version of this VM's memory up to which the scheduler knows it
	seen     uint64 // version of the scheduler's memory up to which this VM knows it
	refuses  bool   // its release knows no exchanges
}

// maxSyncedSchedulers bounds the schedulers that a VM keeps in step with. VMs ask few
// different ones.
const maxSyncedSchedulers = 64

func (q *quarantineSync) peer(address string) *syncedScheduler {
	if q.peers == nil || len(q.peers) >= maxSyncedSchedulers && q.peers[address] == nil {
		q.peers = make(map[string]*syncedScheduler)
	}
	if q.peers[address] == nil {
		q.peers[address] = &syncedScheduler{}
	}
	return q.peers[address]
}

// QuarantineExchange tells a VM what another one knows about requests that crash endpoints.
type QuarantineExchange struct {
	Records []quarantine.Shared
	Seen    uint64 // version of the other VM's memory that this one has read
}

// QuarantineReply is what the other VM knows, up to Version.
type QuarantineReply struct {
	Records  []quarantine.Shared
	Version  uint64
	Instance uint64 // of the other VM's scheduler
}

// newsFor returns what another VM has to be told, and the version of this VM's memory up to
// which that is all.
func (q *quarantineSync) newsFor(address string, own *Scheduler) (x QuarantineExchange, upTo uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peer(address)
	x.Seen = p.seen
	x.Records, upTo = own.QuarantineSince(p.told, maxSharedRecords)
	return x, upTo
}

// recordAnswer adopts the news of a VM that was told this VM's up to a version. A process
// that is not the one that answered before is told everything with the next request.
func (q *quarantineSync) recordAnswer(address string, reply QuarantineReply, upTo uint64, own *Scheduler) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peer(address)
	p.refuses = p.refuses && p.instance == reply.Instance
	before, after := own.LearnQuarantine(reply.Records)
	if p.instance != 0 && p.instance != reply.Instance {
		*p = syncedScheduler{instance: reply.Instance}
		return
	}
	if upTo == before {
		upTo = after // the other VM knows its own news
	}
	p.instance, p.told, p.seen = reply.Instance, max(p.told, upTo), max(p.seen, reply.Version)
}

// due returns those of the addresses with which an exchange is due: VMs that have never
// answered, and those that don't know of an end that this VM's scheduler has seen.
func (q *quarantineSync) due(addresses []string, own *Scheduler) []string {
	seen := own.lastEndSeen()
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(addresses), func(address string) bool {
		p := q.peer(address)
		return p.refuses || p.instance != 0 && p.told >= seen
	})
}

// recordRefusal records that the process at an address knows no exchanges.
func (q *quarantineSync) recordRefusal(address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peer(address).refuses = true
}

// exchangeInterval is the time between two checks of whether an exchange is due.
const exchangeInterval = 250 * time.Millisecond

// ShareQuarantine tells the VMs that schedule services in other data centres of each end of
// an endpoint that this VM's scheduler sees, and asks them once what they know. Schedulers that
// don't know of each other's ends would let a request that crashes endpoints end some each.
// It returns when ctx ends.
func (c *Client) ShareQuarantine(ctx context.Context) {
	for clock.Sleep(ctx, exchangeInterval) {
		for _, address := range c.quarantine.due(c.otherSchedulers(), c.Local) {
			c.exchangeQuarantine(ctx, address)
		}
	}
}

// otherSchedulers returns the addresses of the VMs that schedule a service in the parts of the
// fleet that may be cut off from each other, without this VM.
func (c *Client) otherSchedulers() []string {
	var list []string
	for _, service := range c.Local.services() {
		for _, dc := range c.SchedulersByDC(service) {
			i := slices.IndexFunc(dc, func(address string) bool { return !c.Suspects.Suspected(address) })
			if i >= 0 && !slices.Contains(list, dc[i]) {
				list = append(list, dc[i])
			}
		}
	}
	return list
}

func (c *Client) exchangeQuarantine(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout+c.Suspects.Lag.TimeoutExtension())
	defer cancel()
	news, upTo := c.quarantine.newsFor(address, c.Local)
	var reply QuarantineReply
	err := c.Mesh.Call(ctx, address, serviceName+".ExchangeQuarantine", news, &reply)
	switch {
	case mesh.HasCode(err, mesh.CodeInternal): // it answers, but its release lacks the method
		c.quarantine.recordRefusal(address)
		return
	case err != nil:
		c.Suspects.Suspect(address, err)
		return
	}
	c.quarantine.recordAnswer(address, reply, upTo, c.Local)
}
