package mirror

import (
	"context"
	"errors"
	"fmt"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/system/journal"
)

// code keeps the errors of a mirror over net/rpc.
type code uint8

const (
	codeOK code = iota
	codeGap
	codeFull
	codeStale
	codeOther
)

func codeOf(err error) code {
	switch {
	case err == nil:
		return codeOK
	case errors.Is(err, journal.ErrMirrorGap):
		return codeGap
	case errors.Is(err, journal.ErrMirrorFull):
		return codeFull
	case errors.Is(err, journal.ErrMirrorStale):
		return codeStale
	default:
		return codeOther
	}
}

func (c code) err() error {
	switch c {
	case codeOK:
		return nil
	case codeGap:
		return journal.ErrMirrorGap
	case codeFull:
		return journal.ErrMirrorFull
	case codeStale:
		return journal.ErrMirrorStale
	default:
		return fmt.Errorf("the mirror refused the records")
	}
}

// PutArgs carry records to keep.
type PutArgs struct {
	Root    entity.ProgramID
	First   uint64
	Records []journal.Record
}

// DropArgs name records that the platform has.
type DropArgs struct {
	Root        entity.ProgramID
	Epoch, UpTo uint64
}

// FetchArgs name families whose records an adopter needs.
type FetchArgs struct{ Families []journal.MirroredFamily }

// FetchReply carries the records by family.
type FetchReply struct {
	Records map[entity.ProgramID][]journal.Record
}

// Reply tells whether records were kept.
type Reply struct{ Code code }

// Service serves the copies that a VM keeps to the other VMs.
type Service struct{ store *journal.MirrorStore }

// NewService wraps a store.
func NewService(store *journal.MirrorStore) *Service { return &Service{store} }

// Put keeps records.
func (s *Service) Put(args PutArgs, reply *Reply) error {
	reply.Code = codeOf(s.store.Put(context.Background(), args.Root, args.First, args.Records))
	return nil
}

// Drop removes records.
func (s *Service) Drop(args DropArgs, _ *Reply) error {
	s.store.Drop(context.Background(), args.Root, args.Epoch, args.UpTo)
	return nil
}

// Fetch returns records and ends their epochs.
func (s *Service) Fetch(args FetchArgs, reply *FetchReply) error {
	records, err := s.store.Fetch(context.Background(), args.Families)
	reply.Records = records
	return err
}
