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

// idle is the pause of a program that has had its turn and calls no tool.
const idle = ""

// meteredQueue is a Scheduler that tells the sweep when programs pause and
// return, and the orders what models are asked for.
type meteredQueue struct {
	queue.Scheduler
	sweeper *sweep.Sweeper
	meter   *orders.DemandMeter
	refused func(provisioning.Assignment) // for want of an engine

	mu   sync.Mutex
	held map[string]heldCall // by permit id
}

// heldCall is a call that holds a permit.
type heldCall struct {
	program entity.ProgramID
	kind    entity.CallKind
	target  string
	since   time.Time // by this VM's clock
}

func newMeteredQueue(s queue.Scheduler, sweeper *sweep.Sweeper, meter *orders.DemandMeter, refused func(provisioning.Assignment)) *meteredQueue {
	return &meteredQueue{Scheduler: s, sweeper: sweeper, meter: meter, refused: refused, held: make(map[string]heldCall)}
}

// Acquire implements queue.Scheduler.
func (m *meteredQueue) Acquire(ctx context.Context, req queue.Request) (queue.Permit, error) {
	if req.Kind == entity.CallModel {
		m.sweeper.RecordReturn(req.Program)
	}
	permit, err := m.Scheduler.Acquire(ctx, req)
	if err != nil {
		if req.Kind == entity.CallModel && errors.Is(err, queue.ErrNoEndpoint) {
			m.refused(modelItem(req.Target))
		}
		return permit, err
	}
	if req.Kind != entity.CallModel {
		m.sweeper.RecordPause(req.Program, req.Target)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held[permit.ID] = heldCall{program: req.Program, kind: req.Kind, target: req.Target, since: time.Now()}
	return permit, nil
}

// Release implements queue.Scheduler.
func (m *meteredQueue) Release(p queue.Permit, res queue.Result) {
	m.Scheduler.Release(p, res)
	m.mu.Lock()
	call, ok := m.held[p.ID]
	delete(m.held, p.ID)
	m.mu.Unlock()
	if !ok || call.kind != entity.CallModel {
		return
	}
	m.meter.RecordCall(modelItem(call.target), time.Since(call.since))
	if res.Err == nil {
		m.sweeper.RecordPause(call.program, idle)
	}
}

// ProgramEnded implements queue.Scheduler.
func (m *meteredQueue) ProgramEnded(id entity.ProgramID) {
	m.sweeper.RecordEnd(id)
	m.Scheduler.ProgramEnded(id)
}

func modelItem(name string) provisioning.Assignment {
	return provisioning.Assignment{Kind: endpoint.OrderLoadModel, Name: name}
}
