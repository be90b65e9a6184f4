// Package route calls the VM that currently owns a program on behalf of callers,
// and follows the ownership when it moves.
package route

import (
	"context"
	"errors"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/owner"
)

// Timing and limits of routing.
const (
	// readWait is how long one Read may wait at the owner for new deltas.
	readWait = time.Second
	// retryInterval is the pause between attempts while the VMs' membership views differ.
	retryInterval = 50 * time.Millisecond
	// noOwnerTimeout is how long a lookup continues while no VM may own the
	// program according to this VM's view: long enough for a new view to be
	// formed, short enough that the caller soon gets a retry-after.
	noOwnerTimeout = 500 * time.Millisecond
	// maxHops bounds the ownership hints that are followed in a row.
	maxHops = 6
)

// Mesh calls other VMs.
type Mesh interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Options are the dependencies and limits of a Router.
type Options struct {
	SelfAddr string // mesh address of this VM
	Owner    *owner.Owner
	Mesh     Mesh
	// PreferredOwner returns the VM that should own the family of a root
	// program, in this VM's membership view. It returns false if no VM may own the
	// family.
	PreferredOwner func(root entity.ProgramID) (entity.VM, bool)
	// Suspect reports to membership that the VM at addr could not be reached.
	Suspect func(addr string)
	// LookupTimeout bounds the lookup of the owner, calls included.
	LookupTimeout time.Duration
}

// Router looks up the owner of a program and calls it. The lookup continues while
// VMs fail, join or disagree, until LookupTimeout.
type Router struct{ options Options }

// New returns a Router.
func New(o Options) *Router { return &Router{o} }

// attemptFunc calls one VM. If it fails with CodeNotOwner, hint is the address of the
// likely owner, or empty.
type attemptFunc func(ctx context.Context, addr string) (hint string, err error)

// callOwner calls VMs until one of them serves the request. Requests are
// idempotent by their request id, so one whose reply was lost is resent.
func (r *Router) callOwner(ctx context.Context, root entity.ProgramID, attempt attemptFunc) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.LookupTimeout)
	defer cancel()
	lookup := ownerLookup{router: r, root: root}
	for {
		addr, ok := lookup.nextAddr()
		if ok {
			hint, err := attempt(ctx, addr)
			if !lookup.mayRetry(addr, hint, err) {
				return err
			}
		}
		if lookup.ownerTimedOut() || !lookup.pause(ctx) {
			return lookup.failure()
		}
	}
}

// ownerLookup is the state of a lookup.
type ownerLookup struct {
	router *Router
	root   entity.ProgramID
	hint   string // address of the likely owner, to call next; empty if none
	hops   int    // calls that failed with CodeNotOwner
	// mayHaveRun is set once a request may have reached an owner and its reply was
	// lost: from then on the request can't be refused as not run.
	mayHaveRun bool
	// noOwnerSince is zero while some VM may own the program.
	noOwnerSince time.Time
	lastErr      error
}

// nextAddr returns the address to call next: the hint, or else that of the preferred
// owner. It returns false if no VM may own the program.
func (l *ownerLookup) nextAddr() (string, bool) {
	if l.hint != "" {
		addr := l.hint
		l.hint = ""
		return addr, true
	}
	vm, ok := l.router.options.PreferredOwner(l.root)
	switch {
	case ok:
		l.noOwnerSince = time.Time{}
	case l.noOwnerSince.IsZero():
		l.noOwnerSince = time.Now()
	}
	if !ok {
		l.lastErr = mesh.NewFault(mesh.CodeNotRun, "no VM may own the program now")
	}
	return vm.MeshAddr, ok
}

// ownerTimedOut reports whether no VM has been able to own the program for noOwnerTimeout.
func (l *ownerLookup) ownerTimedOut() bool {
	return !l.noOwnerSince.IsZero() && time.Since(l.noOwnerSince) > noOwnerTimeout
}

// mayRetry updates the lookup after an attempt and reports whether to make another one.
func (l *ownerLookup) mayRetry(addr, hint string, err error) bool {
	switch {
	case err == nil:
		return false
	case mesh.HasCode(err, mesh.CodeNotOwner):
		l.hops++
		if hint != "" && l.hops%maxHops != 0 {
			l.hint = hint
		}
	case errors.Is(err, mesh.ErrReplyLost):
		l.mayHaveRun = true
		l.router.options.Suspect(addr)
	case errors.Is(err, mesh.ErrNotSent):
		l.router.options.Suspect(addr)
	default:
		return false
	}
	l.lastErr = err
	return true
}

// pause waits before the next attempt unless there is a hint to follow. It reports whether ctx is still alive.
func (l *ownerLookup) pause(ctx context.Context) bool {
	if l.hint != "" {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryInterval):
		return true
	}
}

// failure returns the error of a lookup that found no owner in time. Its code is
// CodeOutcomeUnknown if the request may have run, and CodeNotRun if not.
func (l *ownerLookup) failure() error {
	code := mesh.CodeNotRun
	if l.mayHaveRun {
		code = mesh.CodeOutcomeUnknown
	}
	f := mesh.NewFault(code, "the program's owner could not be reached: %v", l.lastErr)
	f.RetryAfter = time.Second
	return f
}

// isLocal reports whether an address is that of this VM.
func (r *Router) isLocal(addr string) bool { return addr == r.options.SelfAddr }

// Create creates a program.
func (r *Router) Create(ctx context.Context, args owner.CreateArgs) (owner.ProgramReply, error) {
	root := args.ID
	if args.Parent != "" {
		root = args.Parent.Root()
	}
	return r.callProgram(ctx, root, "Create", args, func(s *owner.Service, reply *owner.ProgramReply) error {
		return s.Create(args, reply)
	})
}

// Show returns a program.
func (r *Router) Show(ctx context.Context, args owner.ProgramArgs) (owner.ProgramReply, error) {
	return r.callProgram(ctx, args.ID.Root(), "Show", args, func(s *owner.Service, reply *owner.ProgramReply) error {
		return s.Show(args, reply)
	})
}

// Cancel ends a program.
func (r *Router) Cancel(ctx context.Context, args owner.ProgramArgs) (owner.ProgramReply, error) {
	return r.callProgram(ctx, args.ID.Root(), "Cancel", args, func(s *owner.Service, reply *owner.ProgramReply) error {
		return s.Cancel(args, reply)
	})
}

// callProgram calls a method that replies with a program. local calls the method on
// this VM, if this VM is the owner.
func (r *Router) callProgram(ctx context.Context, root entity.ProgramID, method string, args any, local func(*owner.Service, *owner.ProgramReply) error) (owner.ProgramReply, error) {
	var out owner.ProgramReply
	err := r.callOwner(ctx, root, func(ctx context.Context, addr string) (string, error) {
		var reply owner.ProgramReply
		err := r.invoke(ctx, addr, method, args, &reply, func(s *owner.Service) error { return local(s, &reply) })
		if err != nil {
			return "", err
		}
		out = reply
		return reply.OwnerHint, reply.Fault.Err()
	})
	return out, err
}

// History returns turns of a program's history.
func (r *Router) History(ctx context.Context, args owner.HistoryArgs) ([]entity.Turn, error) {
	var out owner.HistoryReply
	err := r.callOwner(ctx, args.ID.Root(), func(ctx context.Context, addr string) (string, error) {
		var reply owner.HistoryReply
		err := r.invoke(ctx, addr, "History", args, &reply, func(s *owner.Service) error { return s.History(args, &reply) })
		if err != nil {
			return "", err
		}
		out = reply
		return reply.OwnerHint, reply.Fault.Err()
	})
	return out.Turns, err
}

// invoke calls a method of the owner at addr: by RPC or, if addr is that of this VM,
// by local. The reply is written to reply.
func (r *Router) invoke(ctx context.Context, addr, method string, args, reply any, local func(*owner.Service) error) error {
	if r.isLocal(addr) {
		return local(owner.NewService(r.options.Owner, r.options.LookupTimeout))
	}
	return r.options.Mesh.Call(ctx, addr, owner.ServiceName+"."+method, args, reply)
}
