package conversations

import (
	"context"
	"errors"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/mesh"
)

// serviceName is the net/rpc service name.
const serviceName = "Conversations"

// findTimeout bounds a call to a witness that doesn't wait for the table service.
const findTimeout = 120 * time.Millisecond

// MeshPeers calls the keepers of other VMs.
type MeshPeers struct {
	Mesh     *mesh.Client
	Suspects *mesh.Suspects
	// Ranked returns the addresses of Witnesses, with those that don't answer.
	Ranked func(key string) (own []string, others [][]string)
}

var _ Peers = (*MeshPeers)(nil)

// Witnesses implements Peers.
func (p *MeshPeers) Witnesses(key string) (own []string, others [][]string) {
	own, ranked := p.Ranked(key)
	for _, dc := range ranked {
		others = append(others, p.answering(dc))
	}
	return p.answering(own), others
}

func (p *MeshPeers) answering(addresses []string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), p.Suspects.Suspected)
}

// Hold implements Peers.
func (p *MeshPeers) Hold(ctx context.Context, address string, c *Copy) (out HoldResult, err error) {
	err = p.call(ctx, address, "Hold", holdTimeout, c, &out)
	return out, err
}

// Find implements Peers.
func (p *MeshPeers) Find(ctx context.Context, address string, i [16]byte) (out FindResult, err error) {
	err = p.call(ctx, address, "Find", findTimeout, i, &out)
	return out, err
}

// Drop implements Peers.
func (p *MeshPeers) Drop(ctx context.Context, address string, ids [][16]byte) error {
	var ok bool
	return p.call(ctx, address, "Drop", findTimeout, ids, &ok)
}

func (p *MeshPeers) call(ctx context.Context, address, method string, timeout time.Duration, args, reply any) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout+p.Suspects.Lag.TimeoutExtension())
	defer cancel()
	err := p.Mesh.Call(callCtx, address, serviceName+"."+method, args, reply)
	var answered *mesh.Fault
	if err != nil && ctx.Err() == nil && !errors.As(err, &answered) {
		p.Suspects.Suspect(address, err)
	}
	return err
}

// service serves calls of other VMs over net/rpc.
type service struct{ keeper *Keeper }

// Register makes a keeper available to the other VMs.
func Register(server *mesh.Server, k *Keeper) error {
	return server.Register(serviceName, &service{k})
}

// Hold calls Keeper.Hold.
func (s *service) Hold(c Copy, out *HoldResult) (err error) {
	*out, err = s.keeper.Hold(c)
	return err
}

// Find calls Keeper.Find.
func (s *service) Find(i [16]byte, out *FindResult) error {
	*out = s.keeper.Find(i)
	return nil
}

// Drop calls Keeper.Drop.
func (s *service) Drop(ids [][16]byte, _ *bool) error {
	s.keeper.Drop(ids)
	return nil
}
