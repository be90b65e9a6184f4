package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"ibisstall.example/ibisstall/internal/load"
	"ibisstall.example/ibisstall/internal/settings"
)

func init() {
	register(command{
		name:  "load",
		short: "generate the load of agent programs and measure it",
		long: "Generates seeded, open-loop arrivals of agent programs and prints program latency, time to first token, " +
			"wasted prefix cache, refusals and fairness. With --local it runs against stand-in engines in this process, " +
			"faster than real time by --scale. Program latency includes tool pauses, but not the callers' think time.",
		examples: []string{
			"ibisstall load --local --shape rounds --compare",
			"ibisstall load --local --suite",
			"ibisstall load --local --shape tasting --load 1.1 --json tasting.json --plot tasting.svg",
		},
		handler: &loadCommand{},
	})
}

// realTimeScale is the time scale of a run against a running system.
const realTimeScale = 1

// endpointListDelay is the time after which the endpoint list reflects the loss
// of engines.
const endpointListDelay = 10 * time.Second

type loadCommand struct {
	Shape    string        `long:"shape" choice:"tasting" choice:"rounds" default:"tasting" description:"kind of programs"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrivals and programs"`
	Local    bool          `long:"local" description:"run against stand-in engines in this process"`
	URL      string        `long:"url" description:"run against the system at this URL, in real time, as one workspace"`
	KeyFile  string        `long:"key-file" value-name:"FILE" description:"file with the workspace's key, closed to others; for --url"`
	Model    string        `long:"model" default:"agent" description:"model to call; for --url"`
	Rate     float64       `long:"rate" default:"0.2" description:"programs a second; for --url"`
	Engines  int           `long:"engines" default:"10" description:"number of stand-in engines"`
	Load     float64       `long:"load" default:"0.9" description:"arrival rate as a share of the engines' capacity"`
	Duration time.Duration `long:"duration" default:"4m" description:"time of arrivals, in the time of the workload"`
	Scale    float64       `long:"scale" default:"20" description:"how many times faster than real time to run"`
	Without  []string      `long:"without" choice:"order" choice:"placement" choice:"admission" choice:"spill" choice:"retention" choice:"sessions" description:"switch a part of the policy to the baseline's; may be repeated"`
	Compare  bool          `long:"compare" description:"run the plain baseline on the same arrivals too"`
	Lose     float64       `long:"lose" value-name:"SHARE" description:"take this share of the engines away at half time; the endpoint list shows it 10 s later"`
	Transfer float64       `long:"transfer" value-name:"RATE" description:"let KV cache move between engines at this many tokens a second"`
	Suite    bool          `long:"suite" description:"run both shapes with 10 and 8 engines at 70, 90 and 110 % against the baseline, and print a Markdown table"`
	JSON     string        `long:"json" value-name:"FILE" description:"write the results as JSON"`
	Plot     string        `long:"plot" value-name:"FILE.svg" description:"write the results as a chart"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	if err := c.validate(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Suite {
		return c.runSuite(ctx)
	}
	if c.URL != "" {
		return c.runRemote(ctx)
	}
	profile := load.DefaultEngine()
	profile.TransferRate = c.Transfer
	report, err := load.RunScenario(ctx, load.Scenario{
		Shape: load.Shape(c.Shape), Seed: c.Seed, Engines: c.Engines, LoadShare: c.Load,
		Profile: profile, Scale: c.Scale, Duration: c.Duration, Disabled: c.disabledParts(),
		Loss: load.EngineLoss{Fraction: c.Lose, At: c.Duration / 2, ListLag: endpointListDelay},
	}, c.Compare)
	if err != nil {
		return fmt.Errorf("run load: %w", err)
	}
	return c.writeReport(report)
}

func (c *loadCommand) runSuite(ctx context.Context) error {
	err := load.RunSuite(ctx, os.Stdout, load.SuiteConfig{
		Seed: c.Seed, Profile: load.DefaultEngine(), Scale: c.Scale, Duration: c.Duration,
	})
	if err != nil {
		return fmt.Errorf("run load: %w", err)
	}
	return nil
}

// runRemote generates load for a running system and reports the results.
func (c *loadCommand) runRemote(ctx context.Context) error {
	key, err := settings.ReadSecret(c.KeyFile)
	if err != nil {
		return fmt.Errorf("read workspace's key: %w", err)
	}
	target := load.NewRemoteTarget(c.URL, string(key.Reveal()), c.Model, &http.Client{})
	report, err := load.RunRemote(ctx, load.PlanConfig{
		Shape: load.Shape(c.Shape), Seed: c.Seed, Rate: c.Rate, Duration: c.Duration,
	}, realTimeScale, target)
	if err != nil {
		return fmt.Errorf("run load: %w", err)
	}
	return c.writeReport(report)
}

func (c *loadCommand) disabledParts() []load.PolicyPart {
	parts := make([]load.PolicyPart, len(c.Without))
	for i, name := range c.Without {
		parts[i] = load.PolicyPart(name)
	}
	return parts
}

func (c *loadCommand) validate() error {
	switch {
	case c.Local == (c.URL != ""):
		return &usageError{"load needs either --local or --url"}
	case c.URL != "" && c.KeyFile == "":
		return &usageError{"--url needs --key-file"}
	case c.URL != "" && (c.Compare || c.Suite || c.Lose > 0 || len(c.Without) > 0):
		return &usageError{"--compare, --suite, --lose and --without need --local"}
	case !(c.Rate > 0):
		return &usageError{"--rate must be above 0"}
	case c.Engines <= 0:
		return &usageError{"--engines must be above 0"}
	case !(c.Load > 0):
		return &usageError{"--load must be above 0"}
	case !(c.Scale > 0):
		return &usageError{"--scale must be above 0"}
	case !(c.Transfer >= 0):
		return &usageError{"--transfer must not be negative"}
	case !(c.Lose >= 0 && c.Lose < 1):
		return &usageError{"--lose must be at least 0 and below 1"}
	case c.Duration <= 0:
		return &usageError{"--duration must be above 0"}
	}
	return nil
}

func (c *loadCommand) writeReport(report *load.Report) error {
	if err := load.WriteTable(os.Stdout, report); err != nil {
		return fmt.Errorf("print results: %w", err)
	}
	if c.JSON != "" {
		if err := load.WriteJSON(c.JSON, report); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		return load.WritePlot(c.Plot, report)
	}
	return nil
}
