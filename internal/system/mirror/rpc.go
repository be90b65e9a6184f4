package mirror

import (
	"context"
	"errors"
	"fmt"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/system/journal"
)

// resultCode identifies an error of a mirror in a reply, since net/rpc transmits only
// the text of an error.
type resultCode uint8

const (
	codeOK resultCode = iota
	codeGap
	codeFull
	codeStale
	codeOther
)

// codeOf returns the code of an error of journal.MirrorStore.
func codeOf(err error) resultCode {
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

// err returns the error that codeOf converted.
func (c resultCode) err() error {
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

// PutArgs contains the arguments of journal.Mirror.Put.
type PutArgs struct {
	Root    entity.ProgramID
	First   uint64 // number of the family's oldest buffered record
	Records []journal.Record
}

// DropArgs contains the arguments of journal.Mirror.Drop.
type DropArgs struct {
	Root        entity.ProgramID
	Epoch, UpTo uint64 // the epoch and the last number of the records to remove
}

// FetchArgs lists the families whose records an adopter needs.
type FetchArgs struct{ Families []journal.MirroredFamily }

// FetchReply contains the records of each family.
type FetchReply struct {
	Records map[entity.ProgramID][]journal.Record
}

// Reply is the reply to Put and Drop.
type Reply struct{ Code resultCode }

// Service is the net/rpc service by which other VMs store, remove and fetch copies on
// this VM.
type Service struct{ store *journal.MirrorStore }

// NewService returns a Service for a store.
func NewService(store *journal.MirrorStore) *Service { return &Service{store} }

// Put stores records, as journal.Mirror.Put does. reply.Code contains the error.
func (s *Service) Put(args PutArgs, reply *Reply) error {
	reply.Code = codeOf(s.store.Put(context.Background(), args.Root, args.First, args.Records))
	return nil
}

// Drop removes records, as journal.Mirror.Drop does.
func (s *Service) Drop(args DropArgs, _ *Reply) error {
	s.store.Drop(context.Background(), args.Root, args.Epoch, args.UpTo)
	return nil
}

// Fetch returns the records of families and ends the given epochs, as
// journal.Mirror.Fetch does.
func (s *Service) Fetch(args FetchArgs, reply *FetchReply) error {
	records, err := s.store.Fetch(context.Background(), args.Families)
	reply.Records = records
	return err
}
