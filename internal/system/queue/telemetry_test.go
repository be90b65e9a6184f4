package queue

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/system/placement"
)

// partlyLocalQueues is a queueClient for which the endpoints in local have their
// queues on this VM.
type partlyLocalQueues struct {
	queueClient
	local map[string]bool
}

func (l partlyLocalQueues) isLocal(endpoint string) bool { return l.local[endpoint] }

func TestEnginesToRead_LocalEnginesInEachRoundAndOthersInRotation(t *testing.T) {
	is := is.New(t)
	var endpoints []entity.Endpoint
	local := make(map[string]bool)
	const engines, localEngines = 50, 3
	for i := range engines {
		name := fmt.Sprintf("engine-%02d", i)
		endpoints = append(endpoints, entity.Endpoint{Name: name, Kind: entity.KindEngine, Models: []string{"m"}})
		local[name] = i < localEngines
	}
	endpoints = append(endpoints, entity.Endpoint{Name: "deposits", Kind: entity.KindTool, Target: "deposits"})
	policy := DefaultPolicy()
	d := newDispatcher("vm", policy, Hooks{}, placement.New(policy.Placement), partlyLocalQueues{local: local})
	d.configure(endpoints, nil)

	const rounds = (engines - localEngines + maxRemoteEngineReads - 1) / maxRemoteEngineReads
	reads := make(map[string]int)
	for range rounds {
		list := d.enginesToRead()
		is.Equal(len(list), localEngines+maxRemoteEngineReads)
		for _, e := range list {
			reads[e.Name]++
		}
	}
	is.Equal(len(reads), engines)
	for name, n := range reads {
		is.True(local[name] == (n == rounds) || !local[name] && n <= 2)
	}
}
