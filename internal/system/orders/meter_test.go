package orders

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/policy/provisioning"
)

func TestDemandMeter_DemandIsInEngines(t *testing.T) {
	is := is.New(t)
	model := provisioning.Assignment{Kind: endpoint.OrderLoadModel, Name: "atlas"}
	unknown := provisioning.Assignment{Kind: endpoint.OrderLoadModel, Name: "borealis"}
	m := NewDemandMeter(time.Minute, 4)
	for range 60 {
		m.RecordCall(model, 8*time.Second) // 8 calls in flight on average
	}
	m.RecordRefusal(unknown)
	demand := m.Demand()
	is.Equal(demand[model], 2.0)
	is.True(demand[unknown] > 0)

	sum := demand.Add(provisioning.Demand{model: 1})
	is.Equal(sum[model], 3.0)
	is.Equal(demand[model], 2.0)
}

func TestDemandMeter_RemovesAssignmentsWithoutCalls(t *testing.T) {
	is := is.New(t)
	m := NewDemandMeter(10*time.Millisecond, 1)
	m.RecordCall(provisioning.Assignment{Kind: endpoint.OrderLoadModel, Name: "atlas"}, time.Second)
	deadline := time.Now().Add(5 * time.Second)
	for len(m.Demand()) > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(m.Demand()), 0)
	is.Equal(len(m.byAssignment), 0)
}
