// Package route brings the requests of callers to the VM that owns their
// program, wherever that is at the moment, and the answers back.
package route

import (
	"context"
	"errors"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/owner"
)

// Times of routing.
const (
	// pollWait is how long one Read waits at the owner for news.
	pollWait = time.Second
	// retryPause separates attempts while views of the fleet differ.
	retryPause = 50 * time.Millisecond
	// noOwnerPatience is how long a search goes on while nobody may own the
	// program by this VM's view: long enough for a view in the making, short
	// enough that the caller learns at once to come back later.
	noOwnerPatience = 500 * time.Millisecond
	// maxHops bounds how often VMs may point to each other in a row.
	maxHops = 6
)

// Mesh calls other VMs.
type Mesh interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Options are the dependencies of a Router.
type Options struct {
	SelfAddr string // mesh address of this VM
	Owner    *owner.Owner
	Mesh     Mesh
	// PreferredOwner returns the VM that should own a family in the present view.
	PreferredOwner func(root entity.ProgramID) (entity.VM, bool)
	// Suspect tells membership of a VM that could not be reached.
	Suspect func(addr string)
	// LookupTimeout bounds the search for the owner.
	LookupTimeout time.Duration
}

// Router finds the owner of a program and calls it. The search goes on while
// VMs die, join or disagree, until FindLimit.
type Router struct{ o Options }

// New makes a Router.
func New(o Options) *Router { return &Router{o} }

// attempt tries one VM; hint is where it points to on CodeNotOwner.
type attempt func(ctx context.Context, addr string) (hint string, err error)

// find tries VMs until one serves the request. Requests are idempotent by
// their request id, so that one whose answer was lost is tried again.
func (r *Router) find(ctx context.Context, root entity.ProgramID, try attempt) error {
	ctx, cancel := context.WithTimeout(ctx, r.o.LookupTimeout)
	defer cancel()
	search := search{router: r, root: root}
	for {
		addr, ok := search.next()
		if ok {
			hint, err := try(ctx, addr)
			if !search.goOn(addr, hint, err) {
				return err
			}
		}
		if search.hopeless() || !search.pause(ctx) {
			return search.giveUp()
		}
	}
}

// search is the state of looking for an owner.
type search struct {
	router *Router
	root   entity.ProgramID
	hint   string
	hops   int
	// maybeRan is true once a request may have reached an owner and its
	// answer was lost: it can't be refused as not run any more.
	maybeRan bool
	// ownerless is since when nobody may own the program; zero if somebody may.
	ownerless time.Time
	last      error
}

// next returns the address to try.
func (s *search) next() (string, bool) {
	if s.hint != "" {
		addr := s.hint
		s.hint = ""
		return addr, true
	}
	vm, ok := s.router.o.PreferredOwner(s.root)
	switch {
	case ok:
		s.ownerless = time.Time{}
	case s.ownerless.IsZero():
		s.ownerless = time.Now()
	}
	if !ok {
		s.last = mesh.NewFault(mesh.CodeNotRun, "no VM may own the program now")
	}
	return vm.MeshAddr, ok
}

// hopeless reports whether the search has gone on without an owner in view for
// long enough.
func (s *search) hopeless() bool {
	return !s.ownerless.IsZero() && time.Since(s.ownerless) > noOwnerPatience
}

// goOn tells whether to try again after an attempt.
func (s *search) goOn(addr, hint string, err error) bool {
	switch {
	case err == nil:
		return false
	case mesh.HasCode(err, mesh.CodeNotOwner):
		s.hops++
		if hint != "" && s.hops%maxHops != 0 {
			s.hint = hint
		}
	case errors.Is(err, mesh.ErrReplyLost):
		s.maybeRan = true
		s.router.o.Suspect(addr)
	case errors.Is(err, mesh.ErrNotSent):
		s.router.o.Suspect(addr)
	default:
		return false
	}
	s.last = err
	return true
}

// pause waits before the next attempt, unless there is a hint to follow.
func (s *search) pause(ctx context.Context) bool {
	if s.hint != "" {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryPause):
		return true
	}
}

func (s *search) giveUp() error {
	code := mesh.CodeNotRun
	if s.maybeRan {
		code = mesh.CodeOutcomeUnknown
	}
	f := mesh.NewFault(code, "the program's owner could not be reached: %v", s.last)
	f.RetryAfter = time.Second
	return f
}

// local reports whether an address is this VM's.
func (r *Router) local(addr string) bool { return addr == r.o.SelfAddr }

// Create makes a program.
func (r *Router) Create(ctx context.Context, args owner.CreateArgs) (owner.ProgramReply, error) {
	root := args.ID
	if args.Parent != "" {
		root = args.Parent.Root()
	}
	return r.program(ctx, root, "Create", args, func(s *owner.Service, reply *owner.ProgramReply) error {
		return s.Create(args, reply)
	})
}

// Show returns a program.
func (r *Router) Show(ctx context.Context, args owner.ProgramArgs) (owner.ProgramReply, error) {
	return r.program(ctx, args.ID.Root(), "Show", args, func(s *owner.Service, reply *owner.ProgramReply) error {
		return s.Show(args, reply)
	})
}

// Cancel ends a program.
func (r *Router) Cancel(ctx context.Context, args owner.ProgramArgs) (owner.ProgramReply, error) {
	return r.program(ctx, args.ID.Root(), "Cancel", args, func(s *owner.Service, reply *owner.ProgramReply) error {
		return s.Cancel(args, reply)
	})
}

func (r *Router) program(ctx context.Context, root entity.ProgramID, method string, args any, here func(*owner.Service, *owner.ProgramReply) error) (owner.ProgramReply, error) {
	var out owner.ProgramReply
	err := r.find(ctx, root, func(ctx context.Context, addr string) (string, error) {
		var reply owner.ProgramReply
		err := r.invoke(ctx, addr, method, args, &reply, func(s *owner.Service) error { return here(s, &reply) })
		if err != nil {
			return "", err
		}
		out = reply
		return reply.OwnerHint, reply.Fault.Err()
	})
	return out, err
}

// History returns turns of a program.
func (r *Router) History(ctx context.Context, args owner.HistoryArgs) ([]entity.Turn, error) {
	var out owner.HistoryReply
	err := r.find(ctx, args.ID.Root(), func(ctx context.Context, addr string) (string, error) {
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

// invoke calls a method of the owner at addr, without the network if it is
// this VM.
func (r *Router) invoke(ctx context.Context, addr, method string, args, reply any, here func(*owner.Service) error) error {
	if r.local(addr) {
		return here(owner.NewService(r.o.Owner, r.o.LookupTimeout))
	}
	return r.o.Mesh.Call(ctx, addr, owner.ServiceName+"."+method, args, reply)
}
