package route

import (
	"bytes"
	"context"
	"errors"

	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/owner"
)

// Stream reads the response of one call. If the call's owner is lost, the stream
// starts the call at the new owner, which resumes it or responds from the program's
// history, and continues after the last delta received.
type Stream struct {
	router    *Router
	args      owner.CallArgs
	ownerAddr string // owner that the call was started at; empty if none

	received [][]byte // all deltas so far
	next     int      // index of the next delta to read from the current owner
	restarts int      // value of Restarted in the current owner's last reply
}

// ErrDiverged means that a regenerated answer differs from the part that the
// caller has already received.
var ErrDiverged = errors.New("the answer was generated anew and differs")

// Call starts a call and returns its stream.
func (r *Router) Call(ctx context.Context, args owner.CallArgs) (*Stream, error) {
	s := &Stream{router: r, args: args}
	return s, s.start(ctx)
}

// start starts the call at the program's owner. At an owner other than the last one
// it also resets the stream.
func (s *Stream) start(ctx context.Context) error {
	return s.router.callOwner(ctx, s.args.Program.Root(), func(ctx context.Context, addr string) (string, error) {
		var reply owner.StartReply
		err := s.router.invoke(ctx, addr, "Start", s.args, &reply, func(o *owner.Service) error { return o.Start(s.args, &reply) })
		if err != nil {
			return "", err
		}
		if err := reply.Fault.Err(); err != nil {
			return reply.OwnerHint, err
		}
		if addr != s.ownerAddr {
			s.reset()
		}
		s.ownerAddr = addr
		return "", nil
	})
}

// reset makes the stream read from the first delta again: another owner numbers the
// deltas from zero.
func (s *Stream) reset() {
	s.next = 0
	s.restarts = 0
}

// Update holds new deltas of a stream, and the result once Done is set.
type Update struct {
	Deltas [][]byte
	Done   bool
	Result owner.Result
}

// Next waits for an update. A fault of the result is returned as an error.
func (s *Stream) Next(ctx context.Context) (Update, error) {
	for {
		reply, err := s.read(ctx)
		if err != nil {
			return Update{}, err
		}
		if reply.Hint.CallID != "" {
			s.args.Hint = reply.Hint
		}
		if reply.Restarted != s.restarts {
			s.restarts = reply.Restarted
			s.next = 0
			continue
		}
		newDeltas, err := s.skipReceived(reply.Deltas)
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
			return Update{Deltas: newDeltas, Done: true, Result: reply.Result}, reply.Result.Fault.Err()
		}
		if len(newDeltas) > 0 {
			return Update{Deltas: newDeltas}, nil
		}
	}
}

// skipReceived returns the deltas that the caller has not received yet, and records
// them. It fails with ErrDiverged if one that the caller has received is different
// now.
func (s *Stream) skipReceived(deltas [][]byte) ([][]byte, error) {
	var newDeltas [][]byte
	for _, d := range deltas {
		if s.next < len(s.received) {
			if !bytes.Equal(d, s.received[s.next]) {
				return nil, ErrDiverged
			}
		} else {
			s.received = append(s.received, d)
			newDeltas = append(newDeltas, d)
		}
		s.next++
	}
	return newDeltas, nil
}

// read reads from the current owner. If the owner is lost or no longer has the
// call, it starts the call at the next owner.
func (s *Stream) read(ctx context.Context) (owner.ReadReply, error) {
	for {
		if err := ctx.Err(); err != nil {
			return owner.ReadReply{}, err
		}
		args := owner.ReadArgs{Program: s.args.Program, RequestID: s.args.RequestID, From: s.next, Wait: readWait}
		var reply owner.ReadReply
		err := s.router.invoke(ctx, s.ownerAddr, "Read", args, &reply, func(o *owner.Service) error { return o.Read(args, &reply) })
		if err == nil && reply.Fault.Code == mesh.CodeNone {
			return reply, nil
		}
		if err != nil {
			s.router.options.Suspect(s.ownerAddr)
		}
		if err := s.start(ctx); err != nil {
			return owner.ReadReply{}, err
		}
	}
}

// Received returns the number of deltas received.
func (s *Stream) Received() int { return len(s.received) }

// Abandon cancels the call if it is still running, for a caller that has
// disconnected and can't request the answer later.
func (s *Stream) Abandon(ctx context.Context) {
	args := owner.ReadArgs{Program: s.args.Program, RequestID: s.args.RequestID}
	// If this request is lost, the call ends at its deadline.
	_ = s.router.invoke(ctx, s.ownerAddr, "Abandon", args, &struct{}{}, func(o *owner.Service) error {
		return o.Abandon(args, nil)
	})
}
