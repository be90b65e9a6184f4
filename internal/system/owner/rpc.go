package owner

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/mesh"
)

// Service exposes an Owner to other VMs over net/rpc.
type Service struct {
	owner   *Owner
	timeout time.Duration
}

// NewService returns the service of an Owner. Each method is bounded by
// timeout.
func NewService(o *Owner, timeout time.Duration) *Service {
	return &Service{owner: o, timeout: timeout}
}

func (s *Service) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.timeout)
}

// Create creates a program.
func (s *Service) Create(args CreateArgs, reply *ProgramReply) error {
	return s.respondWithProgram(reply, func(ctx context.Context) (ProgramReply, error) { return s.owner.Create(ctx, args) })
}

// Show returns a program.
func (s *Service) Show(args ProgramArgs, reply *ProgramReply) error {
	return s.respondWithProgram(reply, func(ctx context.Context) (ProgramReply, error) { return s.owner.Show(ctx, args) })
}

// Cancel cancels a program and its sub-agents.
func (s *Service) Cancel(args ProgramArgs, reply *ProgramReply) error {
	return s.respondWithProgram(reply, func(ctx context.Context) (ProgramReply, error) { return s.owner.Cancel(ctx, args) })
}

// respondWithProgram makes a request and sets the reply to its result.
func (s *Service) respondWithProgram(reply *ProgramReply, request func(context.Context) (ProgramReply, error)) error {
	ctx, cancel := s.context()
	defer cancel()
	r, err := request(ctx)
	r.Fault, r.OwnerHint = ownerHint(err)
	*reply = r
	return nil
}

// History returns turns of a program.
func (s *Service) History(args HistoryArgs, reply *HistoryReply) error {
	ctx, cancel := s.context()
	defer cancel()
	turns, err := s.owner.History(ctx, args)
	reply.Turns = turns
	reply.Fault, reply.OwnerHint = ownerHint(err)
	return nil
}

// Start starts or joins a call.
func (s *Service) Start(args CallArgs, reply *StartReply) error {
	ctx, cancel := s.context()
	defer cancel()
	hint, err := s.owner.Start(ctx, args)
	reply.OwnerHint = hint
	reply.Fault = mesh.AsFault(err)
	return nil
}

// Read returns the deltas of a call and, once it has ended, its result.
func (s *Service) Read(args ReadArgs, reply *ReadReply) error {
	ctx, cancel := s.context()
	defer cancel()
	*reply = s.owner.Read(ctx, args)
	return nil
}

// Abandon cancels a model call whose caller has disconnected.
func (s *Service) Abandon(args ReadArgs, _ *struct{}) error {
	s.owner.Abandon(args)
	return nil
}

// HandOver releases a family in favour of another VM.
func (s *Service) HandOver(args HandOverArgs, reply *HandOverReply) error {
	*reply = s.owner.HandOver(args)
	return nil
}
