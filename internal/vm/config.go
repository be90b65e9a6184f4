package vm

import (
	"context"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/system/config"
)

// configService is the name of the net/rpc service for the configuration, which
// is the table of weights and limits.
const configService = "Config"

// buildConfigManager creates the manager of the configuration in force.
func (v *VM) buildConfigManager() error {
	var err error
	v.configManager, err = config.New(config.Options{
		Self:         v.id,
		DC:           v.settings.VM.DC,
		Table:        v.committer,
		Members:      v.members,
		Fetch:        v.fetchConfig,
		PollInterval: v.settings.Platform.ConfigInterval,
		Timeout:      v.settings.Platform.RequestTimeout,
		Recorder:     v.recorder,
		Logger:       v.log,
		Metrics:      v.metrics.Set(),
	})
	return err
}

// fetchConfig fetches the configuration in force on another VM. It returns an error
// if the version there is lower than atLeast.
func (v *VM) fetchConfig(ctx context.Context, vm entity.VM, atLeast uint64) (*entity.Config, error) {
	var reply entity.Config
	err := v.meshClient.Call(ctx, vm.MeshAddr, configService+".Fetch", FetchConfigArgs{AtLeast: atLeast}, &reply)
	return &reply, err
}

// FetchConfigArgs are the arguments of Fetch. AtLeast is the lowest acceptable
// version of the configuration.
type FetchConfigArgs struct{ AtLeast uint64 }

// configRPC implements the net/rpc service configService.
type configRPC struct{ v *VM }

// Fetch returns the configuration in force on this VM, or an error if its version
// is lower than args.AtLeast.
func (r *configRPC) Fetch(args FetchConfigArgs, reply *entity.Config) error {
	c, err := r.v.configManager.Serve(args.AtLeast)
	if err != nil {
		return err
	}
	*reply = *c
	return nil
}

// applyConfigChanges configures the scheduler with each new version of the
// configuration.
func (v *VM) applyConfigChanges(ctx context.Context) {
	for {
		changed := v.configManager.Changed()
		v.configureScheduler()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// config returns the configuration in force.
func (v *VM) config() *entity.Config { return v.configManager.InForce() }
