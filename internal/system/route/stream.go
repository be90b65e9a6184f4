package route

import (
	"bytes"
	"context"
	"errors"

	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/owner"
)

// Stream reads the answer of one call. It outlives the call's owner: when the
// owner is lost, the call is started anew at the next one, which resumes it or
// answers from the history, and the stream goes on behind the last delta that
// was taken.
type Stream struct {
	router *Router
	args   owner.CallArgs
	addr   string // owner that the call was started at; empty if unknown

	seen      [][]byte // deltas taken so far
	from      int      // next delta to read at the present owner
	restarted int
}

// ErrDiverged means that an answer was generated anew and differs from what
// the caller has got already.
var ErrDiverged = errors.New("the answer was generated anew and differs")

// Call starts a call and returns its stream.
func (r *Router) Call(ctx context.Context, args owner.CallArgs) (*Stream, error) {
	s := &Stream{router: r, args: args}
	return s, s.start(ctx)
}

func (s *Stream) start(ctx context.Context) error {
	return s.router.find(ctx, s.args.Program.Root(), func(ctx context.Context, addr string) (string, error) {
		var reply owner.StartReply
		err := s.router.invoke(ctx, addr, "Start", s.args, &reply, func(o *owner.Service) error { return o.Start(s.args, &reply) })
		if err != nil {
			return "", err
		}
		if err := reply.Fault.Err(); err != nil {
			return reply.OwnerHint, err
		}
		if addr != s.addr {
			s.rewind()
		}
		s.addr = addr
		return "", nil
	})
}

// rewind prepares for an owner that numbers the deltas anew.
func (s *Stream) rewind() {
	s.from = 0
	s.restarted = 0
}

// Update is what a stream yields: deltas, and the result once Done.
type Update struct {
	Deltas [][]byte
	Done   bool
	Result owner.Result
}

// Next waits for news. The result's own fault is returned as an error.
func (s *Stream) Next(ctx context.Context) (Update, error) {
	for {
		reply, err := s.read(ctx)
		if err != nil {
			return Update{}, err
		}
		if reply.Hint.CallID != "" {
			s.args.Hint = reply.Hint
		}
		if reply.Restarted != s.restarted {
			s.restarted = reply.Restarted
			s.from = 0
			continue
		}
		fresh, err := s.take(reply.Deltas)
		if err != nil {
			return Update{}, err
		}
		if reply.Done && reply.Result.Fault.Code == mesh.CodeNotOwner {
			if err := s.start(ctx); err != nil {
				return Update{}, err
			}
			continue
		}
		if reply.Done {
			return Update{Deltas: fresh, Done: true, Result: reply.Result}, reply.Result.Fault.Err()
		}
		if len(fresh) > 0 {
			return Update{Deltas: fresh}, nil
		}
	}
}

// take skips the deltas that the caller has got and returns the others.
func (s *Stream) take(deltas [][]byte) ([][]byte, error) {
	var fresh [][]byte
	for _, d := range deltas {
		if s.from < len(s.seen) {
			if !bytes.Equal(d, s.seen[s.from]) {
				return nil, ErrDiverged
			}
		} else {
			s.seen = append(s.seen, d)
			fresh = append(fresh, d)
		}
		s.from++
	}
	return fresh, nil
}

// read reads at the present owner, starting the call anew where the owner is
// lost or has forgotten it.
func (s *Stream) read(ctx context.Context) (owner.ReadReply, error) {
	for {
		if err := ctx.Err(); err != nil {
			return owner.ReadReply{}, err
		}
		args := owner.ReadArgs{Program: s.args.Program, RequestID: s.args.RequestID, From: s.from, Wait: pollWait}
		var reply owner.ReadReply
		err := s.router.invoke(ctx, s.addr, "Read", args, &reply, func(o *owner.Service) error { return o.Read(args, &reply) })
		if err == nil && reply.Fault.Code == mesh.CodeNone {
			return reply, nil
		}
		if err != nil {
			s.router.o.Suspect(s.addr)
		}
		if err := s.start(ctx); err != nil {
			return owner.ReadReply{}, err
		}
	}
}

// Received returns the number of deltas taken.
func (s *Stream) Received() int { return len(s.seen) }

// Abandon cancels the call if it still runs; for a caller that has gone and
// can't ask for the answer again.
func (s *Stream) Abandon(ctx context.Context) {
	args := owner.ReadArgs{Program: s.args.Program, RequestID: s.args.RequestID}
	// The call ends at its deadline if this is lost.
	_ = s.router.invoke(ctx, s.addr, "Abandon", args, &struct{}{}, func(o *owner.Service) error {
		return o.Abandon(args, nil)
	})
}
