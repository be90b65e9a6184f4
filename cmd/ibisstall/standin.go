package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"ibisstall.example/ibisstall/internal/standin/platformsvc"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

func init() {
	register(command{
		name:     "standin",
		short:    "run a stand-in of an outside system",
		long:     "Runs a small stand-in for the platform's services, a model engine, a tool or a plain service, for tests and demonstrations. All state is kept in memory. Faults are injected with PUT /_control.",
		examples: []string{"ibisstall standin platform --listen 127.0.0.1:7000", "ibisstall standin engine --name e1 --models small --listen 127.0.0.1:7001"},
		sub: []command{
			{
				name: "platform", short: "table service, object store and VM list", handler: &standinPlatform{},
				examples: []string{"ibisstall standin platform --listen 127.0.0.1:7000"},
			},
			{
				name: "engine", short: "model engine", handler: &standinEngine{},
				examples: []string{"ibisstall standin engine --name e1 --models small --listen 127.0.0.1:7001"},
			},
			{
				name: "tool", short: "tool service", handler: &standinTool{},
				examples: []string{"ibisstall standin tool --name t1 --listen 127.0.0.1:7002"},
			},
			{
				name: "service", short: "plain service", handler: &standinService{},
				examples: []string{"ibisstall standin service --name s1 --listen 127.0.0.1:7003"},
			},
		},
	})
}

// standinServer is the listener option that all stand-ins share.
type standinServer struct {
	Listen string `long:"listen" default:"127.0.0.1:0" value-name:"ADDR" description:"address to listen on; the bound one is printed"`
}

// serve prints the listening address and serves h until SIGTERM or SIGINT.
func (l *standinServer) serve(h http.Handler) error {
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type standinPlatform struct {
	standinServer
}

// Execute implements flags.Commander.
func (c *standinPlatform) Execute([]string) error {
	return c.serve(platformsvc.NewServer(platformsvc.NewStore()))
}

type standinEngine struct {
	standinServer
	Name          string        `long:"name" required:"true" description:"name of the engine"`
	Models        string        `long:"models" required:"true" description:"models that it has loaded, separated by commas"`
	Slots         int           `long:"slots" default:"16" description:"largest number of calls that decode together"`
	CacheTokens   int64         `long:"cache-tokens" default:"262144" description:"capacity of the prefix cache"`
	Prefill       time.Duration `long:"prefill" default:"100us" description:"time for one prompt token that is not cached"`
	Decode        time.Duration `long:"decode" default:"10ms" description:"time for one decode step"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the answers"`
	ChecksFencing bool          `long:"checks-fencing" description:"refuse orders with an old fencing number"`
}

// streamRetention is how long a stream continues without a reader.
const streamRetention = 30 * time.Second

// Execute implements flags.Commander.
func (c *standinEngine) Execute([]string) error {
	return c.serve(runner.NewEngine(runner.EngineOptions{
		Name:            c.Name,
		Models:          strings.Split(c.Models, ","),
		Slots:           c.Slots,
		CacheTokens:     c.CacheTokens,
		PrefillPerToken: c.Prefill,
		DecodePerToken:  c.Decode,
		Seed:            c.Seed,
		ChecksFencing:   c.ChecksFencing,
		StreamTTL:       streamRetention,
	}))
}

type standinTool struct {
	standinServer
	Name string `long:"name" required:"true" description:"name of the runner"`
}

// Execute implements flags.Commander.
func (c *standinTool) Execute([]string) error {
	return c.serve(runner.NewToolService(runner.ServiceOptions{Name: c.Name}))
}

type standinService struct {
	standinServer
	Name string `long:"name" required:"true" description:"name of the runner"`
}

// Execute implements flags.Commander.
func (c *standinService) Execute([]string) error {
	return c.serve(runner.NewPlainService(runner.ServiceOptions{Name: c.Name}))
}
