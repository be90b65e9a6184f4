package vm

import (
	"context"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/system/config"
)

// configService is the name of the net/rpc service for the table of weights
// and limits.
const configService = "Config"

// buildConfig makes the system that keeps the table in force.
func (v *VM) buildConfig() error {
	var err error
	v.table, err = config.New(config.Options{
		Self:         v.id,
		DC:           v.s.VM.DC,
		Table:        v.batch,
		Members:      v.members,
		Fetch:        v.fetchConfig,
		PollInterval: v.s.Platform.ConfigInterval,
		Timeout:      v.s.Platform.RequestTimeout,
		Recorder:     v.recorder,
		Logger:       v.log,
		Metrics:      v.metrics.Set(),
	})
	return err
}

// fetchConfig asks another VM for its version in force.
func (v *VM) fetchConfig(ctx context.Context, vm entity.VM, atLeast uint64) (*entity.Config, error) {
	var reply entity.Config
	err := v.meshOut.Call(ctx, vm.MeshAddr, configService+".Fetch", FetchConfigArgs{AtLeast: atLeast}, &reply)
	return &reply, err
}

// FetchConfigArgs ask for a version of at least a number.
type FetchConfigArgs struct{ AtLeast uint64 }

// configRPC serves the net/rpc methods.
type configRPC struct{ v *VM }

// Fetch returns the version in force.
func (r *configRPC) Fetch(args FetchConfigArgs, reply *entity.Config) error {
	c, err := r.v.table.Serve(args.AtLeast)
	if err != nil {
		return err
	}
	*reply = *c
	return nil
}

// followConfig passes new versions on to the queues.
func (v *VM) followConfig(ctx context.Context) {
	for {
		changed := v.table.Changed()
		v.setEndpoints()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// config returns the version in force.
func (v *VM) config() *entity.Config { return v.table.InForce() }
