package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Shape is a kind of agent program.
type Shape string

// The shapes. Tasting programs are conversations with think time between
// replies. Rounds programs start with a longer context, which they share with
// all programs of their workspace, and half of them call sub-agents.
const (
	Tasting Shape = "tasting"
	Rounds  Shape = "rounds"
)

// Step is one model call of a program.
type Step struct {
	// ThinkTime is the caller's think time before the call; it isn't part of
	// the latency.
	ThinkTime time.Duration
	// ToolTime is the duration of a tool call before the call; it is part of
	// the latency.
	ToolTime time.Duration
	// SubAgents run concurrently before the call.
	SubAgents    []Program
	InputTokens  int // length of the user message
	AnswerTokens int // number of tokens to generate
}

// Program is one agent program, or a sub-agent of one.
type Program struct {
	ID          entity.ProgramID
	Workspace   string
	ArrivalTime time.Duration // since the start of the run
	// SharedTokens is the length in tokens of the context that all programs of
	// the workspace start with.
	SharedTokens int
	Steps        []Step
}

// Work is the minimum that engines must compute for one or more programs.
type Work struct {
	PromptTokens    int64 // prompt tokens that aren't part of an earlier prompt
	GeneratedTokens int64
	Calls           int64
}

func (p *Program) work() Work {
	var w Work
	for i := range p.Steps {
		s := &p.Steps[i]
		w.PromptTokens += int64(s.InputTokens)
		w.GeneratedTokens += int64(s.AnswerTokens)
		w.Calls++
		for j := range s.SubAgents {
			w = w.add(s.SubAgents[j].work())
		}
	}
	return w
}

func (w Work) add(o Work) Work {
	return Work{PromptTokens: w.PromptTokens + o.PromptTokens, GeneratedTokens: w.GeneratedTokens + o.GeneratedTokens, Calls: w.Calls + o.Calls}
}

// Workspace is a workspace and its weight in the distribution of arrivals.
type Workspace struct {
	Name   string
	Weight float64
}

// Plan contains the programs of one run.
type Plan struct {
	Shape      Shape
	Workspaces []Workspace
	Programs   []Program // in order of arrival
}

// PlanConfig configures the generation of a plan.
type PlanConfig struct {
	Shape    Shape
	Seed     uint64
	Rate     float64       // programs per second
	Duration time.Duration // length of the arrival period
}

// meanWorkSamples is the number of programs generated to estimate their mean
// work.
const meanWorkSamples = 4000

// MeanWork returns the mean work of a program of a shape.
func MeanWork(shape Shape) Work {
	g := newGenerator(shape, 1)
	var sum Work
	for i := range meanWorkSamples {
		p := g.generateProgram(i, 0)
		sum = sum.add(p.work())
	}
	return Work{PromptTokens: sum.PromptTokens / meanWorkSamples, GeneratedTokens: sum.GeneratedTokens / meanWorkSamples, Calls: sum.Calls / meanWorkSamples}
}

// NewPlan generates programs with Poisson arrivals.
func NewPlan(c PlanConfig) (*Plan, error) {
	if c.Shape != Tasting && c.Shape != Rounds {
		return nil, fmt.Errorf("unknown shape %q: must be %s or %s", c.Shape, Tasting, Rounds)
	}
	if !(c.Rate > 0) || c.Duration <= 0 {
		return nil, fmt.Errorf("rate and duration must be above 0")
	}
	g := newGenerator(c.Shape, c.Seed)
	plan := &Plan{Shape: c.Shape, Workspaces: g.workspaces}
	var at time.Duration
	for i := 0; ; i++ {
		at += time.Duration(g.rng.ExpFloat64() / c.Rate * float64(time.Second))
		if at >= c.Duration {
			break
		}
		plan.Programs = append(plan.Programs, g.generateProgram(i, at))
	}
	sort.SliceStable(plan.Programs, func(i, j int) bool { return plan.Programs[i].ArrivalTime < plan.Programs[j].ArrivalTime })
	return plan, nil
}

// generator generates programs with random properties.
type generator struct {
	shape       Shape
	rng         *rand.Rand
	workspaces  []Workspace
	totalWeight float64
}

// idDC is the data centre in the ids of the generated programs.
const idDC = "load"

const (
	tastingWorkspaces = 12 // bakeries
	roundsWorkspaces  = 10 // newspaper depots
	maxWeight         = 3  // of a workspace
)

func newGenerator(shape Shape, seed uint64) *generator {
	g := &generator{shape: shape, rng: rand.New(rand.NewPCG(seed, 0x1b15))}
	n, prefix := tastingWorkspaces, "baker"
	if shape == Rounds {
		n, prefix = roundsWorkspaces, "depot"
	}
	for i := range n {
		w := Workspace{Name: fmt.Sprintf("%s-%02d", prefix, i), Weight: float64(1 + i%maxWeight)}
		g.workspaces = append(g.workspaces, w)
		g.totalWeight += w.Weight
	}
	return g
}

func (g *generator) generateProgram(i int, at time.Duration) Program {
	root := fmt.Sprintf("p%06d", i)
	p := Program{
		ID:          entity.NewProgramID(idDC, root, ""),
		Workspace:   g.drawWorkspace(),
		ArrivalTime: at,
	}
	if g.shape == Rounds {
		g.addRoundsSteps(&p, root)
		return p
	}
	g.addTastingSteps(&p)
	return p
}

// drawWorkspace returns the name of a random workspace, drawn by weight.
func (g *generator) drawWorkspace() string {
	x := g.rng.Float64() * g.totalWeight
	for _, w := range g.workspaces {
		x -= w.Weight
		if x < 0 {
			return w.Name
		}
	}
	return g.workspaces[len(g.workspaces)-1].Name
}

// addTastingSteps adds the steps of a conversation with up to maxReplies replies
// to the caller. Some replies are followed by a call of the booking tool and a
// second model call that processes the tool's result.
func (g *generator) addTastingSteps(p *Program) {
	const (
		sharedTokens   = 3000
		maxReplies     = 16
		stopChance     = 0.18 // probability that the conversation ends after a reply
		toolChance     = 0.5  // probability that a reply needs a tool call
		minReplies     = 2
		thinkTimeSigma = 0.5
	)
	p.SharedTokens = sharedTokens
	for reply := range maxReplies {
		think := g.lognormal(5*time.Second, thinkTimeSigma)
		if reply == 0 {
			think = 0
		}
		p.Steps = append(p.Steps, Step{ThinkTime: think, InputTokens: g.between(20, 80), AnswerTokens: g.between(30, 120)})
		if g.rng.Float64() < toolChance {
			p.Steps = append(p.Steps, Step{
				ToolTime: g.lognormal(400*time.Millisecond, 1), InputTokens: g.between(200, 1500), AnswerTokens: g.between(40, 140),
			})
		}
		if reply+1 >= minReplies && g.rng.Float64() < stopChance {
			return
		}
	}
}

// addRoundsSteps adds the steps of either the planning of a depot's round with
// sub-agents, or a short question of a newsagent.
func (g *generator) addRoundsSteps(p *Program, root string) {
	const (
		sharedTokens  = 8000
		questionShare = 0.5 // of the programs
		minAgents     = 2
		maxAgents     = 4
	)
	p.SharedTokens = sharedTokens
	if g.rng.Float64() < questionShare {
		p.Steps = g.toolLoop(1, 3)
		return
	}
	agents := make([]Program, g.between(minAgents, maxAgents))
	for i := range agents {
		agents[i] = Program{
			ID:           entity.NewProgramID(idDC, root, fmt.Sprint("c", i)),
			Workspace:    p.Workspace,
			SharedTokens: sharedTokens,
			Steps:        g.toolLoop(2, 5),
		}
	}
	p.Steps = append(p.Steps, Step{InputTokens: g.between(100, 300), AnswerTokens: g.between(60, 160)})
	p.Steps = append(p.Steps, Step{SubAgents: agents, InputTokens: g.between(200, 600), AnswerTokens: g.between(100, 250)})
	p.Steps = append(p.Steps, g.toolLoop(0, 2)...)
}

// toolLoop returns the steps of one model call followed by least to most further
// model calls, each after a tool call.
func (g *generator) toolLoop(least, most int) []Step {
	steps := []Step{{InputTokens: g.between(40, 150), AnswerTokens: g.between(30, 100)}}
	for range g.between(least, most) {
		steps = append(steps, Step{
			ToolTime: g.lognormal(300*time.Millisecond, 1), InputTokens: g.between(200, 1200), AnswerTokens: g.between(30, 120),
		})
	}
	return steps
}

func (g *generator) between(low, high int) int { return low + g.rng.IntN(high-low+1) }

// lognormal draws a log-normally distributed duration; sigma is the standard
// deviation of its logarithm.
func (g *generator) lognormal(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*g.rng.NormFloat64()))
}
