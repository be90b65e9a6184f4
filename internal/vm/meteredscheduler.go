package vm

import (
	"context"
	"errors"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/provisioning"
	"ibisstall.example/ibisstall/internal/system/orders"
	"ibisstall.example/ibisstall/internal/system/queue"
	"ibisstall.example/ibisstall/internal/system/sweep"
)

// noTool is recorded as the tool of a program between the end of a model call and the
// program's next call.
const noTool = ""

// meteredScheduler wraps a Scheduler. It reports to the sweeper when programs
// pause and return, and measures the demand for models.
type meteredScheduler struct {
	queue.Scheduler
	sweeper    *sweep.Sweeper
	meter      *orders.DemandMeter
	onNoEngine func(provisioning.Assignment) // called when no engine serves a model

	mu    sync.Mutex
	calls map[string]permittedCall // by permit id
}

// permittedCall is a call that holds a permit.
type permittedCall struct {
	program   entity.ProgramID
	kind      entity.CallKind
	target    string
	grantedAt time.Time // when the permit was granted, by this VM's clock
}

func newMeteredScheduler(s queue.Scheduler, sweeper *sweep.Sweeper, meter *orders.DemandMeter, onNoEngine func(provisioning.Assignment)) *meteredScheduler {
	return &meteredScheduler{Scheduler: s, sweeper: sweeper, meter: meter, onNoEngine: onNoEngine, calls: make(map[string]permittedCall)}
}

// Acquire implements queue.Scheduler.
func (m *meteredScheduler) Acquire(ctx context.Context, req queue.Request) (queue.Permit, error) {
	if req.Kind == entity.CallModel {
		m.sweeper.RecordReturn(req.Program)
	}
	permit, err := m.Scheduler.Acquire(ctx, req)
	if err != nil {
		if req.Kind == entity.CallModel && errors.Is(err, queue.ErrNoEndpoint) {
			m.onNoEngine(modelAssignment(req.Target))
		}
		return permit, err
	}
	if req.Kind != entity.CallModel {
		m.sweeper.RecordPause(req.Program, req.Target)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[permit.ID] = permittedCall{program: req.Program, kind: req.Kind, target: req.Target, grantedAt: time.Now()}
	return permit, nil
}

// Release implements queue.Scheduler.
func (m *meteredScheduler) Release(p queue.Permit, res queue.Result) {
	m.Scheduler.Release(p, res)
	m.mu.Lock()
	call, ok := m.calls[p.ID]
	delete(m.calls, p.ID)
	m.mu.Unlock()
	if !ok || call.kind != entity.CallModel {
		return
	}
	m.meter.RecordCall(modelAssignment(call.target), time.Since(call.grantedAt))
	if res.Err == nil {
		m.sweeper.RecordPause(call.program, noTool)
	}
}

// ProgramEnded implements queue.Scheduler.
func (m *meteredScheduler) ProgramEnded(id entity.ProgramID) {
	m.sweeper.RecordEnd(id)
	m.Scheduler.ProgramEnded(id)
}

func modelAssignment(name string) provisioning.Assignment {
	return provisioning.Assignment{Kind: endpoint.OrderLoadModel, Name: name}
}
