package isolation

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// fakeNetwork is what a monitored VM can reach.
type fakeNetwork struct {
	store  atomic.Bool
	silent map[string]bool // VMs whose connections hang
	dcs    [][]string
	pings  atomic.Int64
}

func (n *fakeNetwork) ping(ctx context.Context, address string) error {
	n.pings.Add(1)
	if n.silent[address] {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Callers of a data centre that was cut off were refused there, while the other data centres
// served: its VMs said that they were ready.
func TestMonitor_IsolatedOnlyWithoutTheStoreAndAllOtherDataCentres(t *testing.T) {
	both := [][]string{{"b1", "b2"}, {"c1"}}
	all := map[string]bool{"b1": true, "b2": true, "c1": true}
	for _, tt := range []struct {
		name   string
		store  bool
		silent map[string]bool
		dcs    [][]string
		want   bool
	}{
		{"all is well", true, nil, both, false},
		{"only the store is away", false, nil, both, false},
		{"only the other data centres are away", true, all, both, false},
		{"one VM of another data centre answers", false, map[string]bool{"b1": true, "c1": true}, both, false},
		{"the store and all others are away", false, all, both, true},
		{"there is no other data centre", false, nil, nil, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := &fakeNetwork{silent: tt.silent, dcs: tt.dcs}
				n.store.Store(tt.store)
				m := &Monitor{
					StoreReachable: n.store.Load, Others: func() [][]string { return n.dcs }, Ping: n.ping, Log: zap.NewNop(),
				}
				go m.Run(t.Context())
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(m.Isolated(), tt.want)
				is.True(!tt.store || n.pings.Load() == 0) // costs nothing while the store answers
				n.store.Store(true)
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
