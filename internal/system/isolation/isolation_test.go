package isolation

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// fakeNetwork is what a monitored VM can reach.
type fakeNetwork struct {
	store  bool
	silent map[string]bool // VMs whose connections hang
	dcs    [][]string
	pings  int
}

func (n *fakeNetwork) ping(ctx context.Context, address string) error {
	n.pings++
	if n.silent[address] {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Callers of a data centre that was cut off were refused there, while the other data centres
// served: its VMs said that they were ready.
func TestMonitor_IsolatedOnlyWithoutTheStoreAndAllOtherDataCentres(t *testing.T) {
	all := map[string]bool{"b1": true, "b2": true, "c1": true}
	for _, tt := range []struct {
		name    string
		network fakeNetwork
		want    bool
	}{
		{"all is well", fakeNetwork{store: true, dcs: [][]string{{"b1", "b2"}, {"c1"}}}, false},
		{"only the store is away", fakeNetwork{dcs: [][]string{{"b1", "b2"}, {"c1"}}}, false},
		{"only the other data centres are away", fakeNetwork{store: true, silent: all, dcs: [][]string{{"b1", "b2"}, {"c1"}}}, false},
		{"one VM of another data centre answers", fakeNetwork{silent: map[string]bool{"b1": true, "c1": true}, dcs: [][]string{{"b1", "b2"}, {"c1"}}}, false},
		{"the store and all others are away", fakeNetwork{silent: all, dcs: [][]string{{"b1", "b2"}, {"c1"}}}, true},
		{"there is no other data centre", fakeNetwork{}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := tt.network
				m := &Monitor{
					StoreReachable: func() bool { return n.store }, Others: func() [][]string { return n.dcs }, Ping: n.ping, Log: zap.NewNop(),
				}
				go m.Run(t.Context())
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(m.Isolated(), tt.want)
				is.True(!n.store || n.pings == 0) // costs nothing while the store answers
				n.store = true
				time.Sleep(time.Second)
				synctest.Wait()
				is.True(!m.Isolated())
			})
		})
	}
}

// One lost message is no isolation.
func TestMonitor_SeveralChecksHaveToFail(t *testing.T) {
	is := is.New(t)
	m := &Monitor{
		StoreReachable: func() bool { return false }, Others: func() [][]string { return [][]string{{"b1"}} }, Log: zap.NewNop(),
		Ping: func(context.Context, string) error { return errors.New("lost") },
	}
	for i := range failedChecks {
		is.True(!m.Isolated())
		m.check(t.Context())
		is.Equal(m.Isolated(), i == failedChecks-1)
	}
	m.Ping = func(context.Context, string) error { return nil }
	m.check(t.Context())
	is.True(!m.Isolated())
}
