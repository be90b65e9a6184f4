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

// askTimeout bounds a call that doesn't wait for the table service.
const askTimeout = 120 * time.Millisecond

// MeshPeers calls the keepers of other VMs.
type MeshPeers struct {
	Mesh     *mesh.Client
	Suspects *mesh.Suspects
	// Ranked returns the addresses of Relays, with those that don't answer.
	Ranked func(key string) (own []string, others [][]string)
}

var _ Peers = (*MeshPeers)(nil)

// Relays implements Peers.
func (p *MeshPeers) Relays(key string) (own []string, others [][]string) {
	own, ranked := p.Ranked(key)
	for _, dc := range ranked {
		others = append(others, p.answering(dc))
	}
	return p.answering(own), others
}

func (p *MeshPeers) answering(addresses []string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), p.Suspects.Suspected)
}

// Write implements Peers.
func (p *MeshPeers) Write(ctx context.Context, address string, e *EncodedTurn) (out WriteResult, err error) {
	err = p.call(ctx, address, "Hold", relayTimeout, e, &out)
	return out, err
}

// ReachesTable implements Peers.
func (p *MeshPeers) ReachesTable(ctx context.Context, address string) (out bool, err error) {
	err = p.call(ctx, address, "ReachesTable", askTimeout, struct{}{}, &out)
	return out, err
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

// Hold calls Keeper.Write; VMs of earlier releases know it under this name.
func (s *service) Hold(e EncodedTurn, out *WriteResult) (err error) {
	*out, err = s.keeper.Write(e)
	return err
}

// ReachesTable reports whether this VM reaches the table service itself.
func (s *service) ReachesTable(_ struct{}, out *bool) error {
	*out = s.keeper.Reachable()
	return nil
}
