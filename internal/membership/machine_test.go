package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
)

const detectionLimit = 3 * time.Second

func TestMachine_KilledVMIsDeclaredDeadByAllWithinTheLimit(t *testing.T) {
	for _, n := range []int{3, 24, 350} {
		t.Run(fmt.Sprintf("in a fleet of %d", n), func(t *testing.T) {
			is := is.New(t)
			s := newSimNet(uint64(n))
			s.warmFleet(n)
			s.run(5 * time.Second)
			victim := s.nodes[n/2]
			victim.killed = true
			is.True(s.runUntil(detectionLimit, func() bool { return s.seenDeadByAll(victim.id) }))
		})
	}
}

func TestMachine_PausedVMIsNotDeclaredDead(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4} {
		is := is.New(t)
		s := newSimNet(seed)
		s.fleet(24)
		is.True(s.runUntil(time.Minute, s.converged))
		for range 10 {
			s.nodes[7].pausedUntil = s.now + 990*time.Millisecond
			s.run(5 * time.Second)
		}
		for _, n := range s.nodes {
			is.Equal(len(n.deaths), 0)
		}
		is.True(s.converged())
	}
}

func TestMachine_VMRefutesItsDeathAfterALongPause(t *testing.T) {
	is := is.New(t)
	s := newSimNet(9)
	s.fleet(12)
	is.True(s.runUntil(time.Minute, s.converged))
	s.nodes[4].pausedUntil = s.now + 20*time.Second
	is.True(s.runUntil(10*time.Second, func() bool { return s.nodes[0].m.members[s.nodes[4].id].dead() }))
	is.True(s.runUntil(30*time.Second, s.converged))
	is.True(s.nodes[0].m.members[s.nodes[4].id].rec.Incarnation > 1)
}

func TestMachine_LeavingTakesPrecedenceOverSuspicionAndStopIsAnnounced(t *testing.T) {
	is := is.New(t)
	s := newSimNet(5)
	s.fleet(6)
	is.True(s.runUntil(time.Minute, s.converged))
	leaver := s.nodes[2]
	s.step(leaver, StartLeaving{})
	stateAt := func(n *simNode) entity.VMState {
		for _, v := range n.m.View() {
			if v.ID == leaver.id {
				return v.State
			}
		}
		return entity.VMDead
	}
	is.True(s.runUntil(time.Second, func() bool { return stateAt(s.nodes[5]) == entity.VMLeaving }))
	s.nodes[5].m.declare(s.now, s.nodes[5].m.members[leaver.id], entity.VMSuspect)
	is.Equal(stateAt(s.nodes[5]), entity.VMLeaving)
	s.step(leaver, Stop{})
	leaver.killed = true
	is.True(s.runUntil(time.Second, func() bool { return s.seenDeadByAll(leaver.id) }))
	is.True(s.runUntil(30*time.Second, func() bool { return s.nodes[0].m.members[leaver.id] == nil }))
}

func TestMachine_ReconnectsThroughSeedsAfterAPartition(t *testing.T) {
	is := is.New(t)
	s := newSimNet(6)
	s.fleet(12)
	is.True(s.runUntil(time.Minute, s.converged))
	s.blocked = func(from, to *simNode) bool { return (from.dc == "amman-a") != (to.dc == "amman-a") }
	s.run(11 * time.Minute) // longer than DeadRetention
	is.Equal(len(s.nodes[0].m.liveRing), 3)
	is.Equal(len(s.nodes[1].m.sortedByID), 7)
	s.blocked = nil
	is.True(s.runUntil(time.Minute, s.converged))
}

func TestMachine_ReplayedMisroutedAndStaleMessagesAreDropped(t *testing.T) {
	is := is.New(t)
	s := newSimNet(8)
	s.fleet(2)
	is.True(s.runUntil(10*time.Second, s.converged))
	a, b := s.nodes[0], s.nodes[1]
	gossip := &Message{Kind: KindGossip, To: b.id, Seq: a.m.seq + windowBits, Self: a.m.self}
	dropped := func(to *simNode, msg Message) map[DropReason]int {
		to.dropped = make(map[DropReason]int)
		s.step(to, Received{Message: &msg})
		return to.dropped
	}
	is.Equal(len(dropped(b, *gossip)), 0)
	is.Equal(dropped(b, *gossip)[DropReplayed], 1)
	old := *gossip
	old.Seq -= windowBits
	is.Equal(dropped(b, old)[DropStale], 1)
	other := *gossip
	other.To = "another"
	is.Equal(dropped(b, other)[DropMisrouted], 1)
	// A message of a VM that b does not know may be a replay of an old one, so
	// its contents are not applied.
	unknown := *gossip
	unknown.Self = Record{ID: "gone", Incarnation: 1, Info: &Info{GossipAddr: "10.0.0.99:1"}}
	is.Equal(dropped(b, unknown)[DropUnverified], 1)
	is.Equal(b.m.members["gone"], nil)
}

func TestMachine_RestartAtTheSameAddressSupersedesTheFormerProcess(t *testing.T) {
	is := is.New(t)
	s := newSimNet(10)
	s.fleet(4)
	is.True(s.runUntil(10*time.Second, s.converged))
	old := s.nodes[3]
	old.killed = true
	next := s.add(s.nodes[0].addr)
	delete(s.byAddr, next.addr)
	next.addr = old.addr
	next.m.info.GossipAddr = old.addr
	s.byAddr[old.addr] = next
	s.push(delivery{at: s.now, to: old.addr, in: Tick{}})
	is.True(s.runUntil(1500*time.Millisecond, func() bool {
		m := s.nodes[0].m
		return m.members[old.id].dead() && m.members[old.id].rec.Leaving && m.members[next.id] != nil
	}))
}

func TestMachine_ConfigVersionSpreadsWithinASecond(t *testing.T) {
	is := is.New(t)
	s := newSimNet(11)
	s.fleet(3)
	is.True(s.runUntil(10*time.Second, s.converged))
	s.step(s.nodes[0], SetConfigVersion{Version: 7})
	is.True(s.runUntil(time.Second, func() bool {
		return s.nodes[1].m.members[s.nodes[0].id].rec.Config == 7 && s.nodes[2].m.members[s.nodes[0].id].rec.Config == 7
	}))
}

func TestMachine_PausedProberAppliesARefutationBeforeDeclaringDeath(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5} {
		is := is.New(t)
		s := newSimNet(seed)
		s.fleet(6)
		is.True(s.runUntil(time.Minute, s.converged))
		suspect := s.nodes[2]
		suspect.pausedUntil = s.now + 990*time.Millisecond
		var prober *simNode
		found := s.runUntil(time.Second, func() bool {
			for _, n := range s.nodes {
				if mem := n.m.members[suspect.id]; mem != nil && mem.suspect() && mem.locallySuspected {
					prober = n
				}
			}
			return prober != nil
		})
		if !found {
			continue // no probe timed out during the pause
		}
		prober.pausedUntil = s.now + 2*time.Second
		s.run(4 * time.Second)
		is.Equal(prober.deaths[suspect.id], 0)
	}
}
