package dispatch

import (
	"slices"
	"sort"
	"time"

	"ibisstall.example/ibisstall/internal/metric"
	"ibisstall.example/ibisstall/internal/policy/fairshare"
	"ibisstall.example/ibisstall/internal/policy/scheduling"
)

// This file implements how workspaces that compete share the slots of a service.

// maxRefusalWorkspaces bounds the label values of the counter of refusals.
const maxRefusalWorkspaces = 64

// NewRefusalCounter returns the counter of refused requests by workspace.
func NewRefusalCounter(r *metric.Registry) *metric.CounterVec {
	return r.CounterVec("ibisstall_place_refusals_total", "workspace", maxRefusalWorkspaces)
}

// joinShares lets a request compete as one of its workspace. Requests without one compete
// as another workspace, once there are any.
func (p *pool) joinShares(r *request, now time.Duration) {
	if p.shares == nil {
		if r.args.Workspace == "" {
			return
		}
		p.shares = fairshare.New(now)
	}
	r.flow = p.shares.Flow(fairshare.Key{Workspace: r.args.Workspace, Priority: r.args.Priority}, now)
	if r.startsProgram() {
		r.flow.Ask(now)
	}
	r.policyRequest.Independent = r.args.Program == ""
}

// enqueue adds a request to the queue. Among workspaces that compete it is placed by its
// rank at once: shed would otherwise refuse a newcomer for those that rank behind it.
func (p *pool) enqueue(r *request, now time.Duration) {
	at := len(p.waiting)
	if r.flow != nil {
		p.rankFlow(r, now)
		at = sort.Search(at, func(i int) bool {
			return scheduling.Before(&r.policyRequest, &p.waiting[i].policyRequest, now, p.meanRun)
		})
	}
	p.waiting = slices.Insert(p.waiting, at, r)
}

// rankFlows updates the ranks of the waiting requests among workspaces that compete.
func (p *pool) rankFlows(now time.Duration) {
	if p.shares == nil {
		return
	}
	for _, r := range p.waiting {
		p.rankFlow(r, now)
	}
}

func (p *pool) rankFlow(r *request, now time.Duration) {
	if r.flow == nil {
		return
	}
	rank := r.flow.Rank(now, p.meanRun)
	r.policyRequest.Urgency, r.policyRequest.ShareUse, r.policyRequest.Unusual = rank.Urgency, rank.Use, rank.Unusual
}

// dropIdleFlows forgets workspaces that were idle for long.
func (p *pool) dropIdleFlows(now time.Duration) {
	if p.shares != nil && !p.shares.DropIdle(now) {
		p.shares = nil
	}
}

// recordShareRefusal counts the refusal of a request and tells how much of its share its
// workspace uses.
func (s *Scheduler) recordShareRefusal(r *request, now time.Duration) {
	if r.args.Workspace == "" {
		return
	}
	r.response.ShareUse = r.flow.Use(now, r.pool.meanRun)
	if s.Refusals != nil {
		s.Refusals.With(r.args.Workspace).Inc()
	}
}
