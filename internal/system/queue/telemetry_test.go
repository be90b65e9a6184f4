package queue

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/system/placement"
)

// someLines has the queues of some endpoints on this VM.
type someLines struct {
	lines
	own map[string]bool
}

func (l someLines) owns(endpoint string) bool { return l.own[endpoint] }

func TestToRead_OwnEnginesEachTimeAndAllOthersInTurn(t *testing.T) {
	is := is.New(t)
	var endpoints []entity.Endpoint
	own := make(map[string]bool)
	const engines, mine = 50, 3
	for i := range engines {
		name := fmt.Sprintf("engine-%02d", i)
		endpoints = append(endpoints, entity.Endpoint{Name: name, Kind: entity.KindEngine, Models: []string{"m"}})
		own[name] = i < mine
	}
	endpoints = append(endpoints, entity.Endpoint{Name: "deposits", Kind: entity.KindTool, Target: "deposits"})
	policy := DefaultPolicy()
	d := newDispatcher("vm", policy, Hooks{}, placement.New(policy.Placement), someLines{own: own})
	d.set(endpoints, nil)

	const rounds = (engines - mine + maxOthersRead - 1) / maxOthersRead
	reads := make(map[string]int)
	for range rounds {
		list := d.toRead()
		is.Equal(len(list), mine+maxOthersRead)
		for _, e := range list {
			reads[e.Name]++
		}
	}
	is.Equal(len(reads), engines)
	for name, n := range reads {
		is.True(own[name] == (n == rounds) || !own[name] && n <= 2)
	}
}
