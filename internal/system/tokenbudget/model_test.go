package tokenbudget

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	modelSeed  = flag.Uint64("model.seed", 1, "first seed of the model")
	modelSeeds = flag.Uint64("model.seeds", 4, "number of seeds of the model")
)

// openTurn is a turn that runs.
type openTurn struct {
	*Reservation
	generated int64
}

// model plays programs that never stop against VMs that are killed, leave, start again at their
// addresses and forget, and a table service that is away, loses answers and makes writes late.
type model struct {
	t        *testing.T
	f        *fleet
	random   *rand.Rand
	vms      []*testVM
	programs map[string]int64 // budgets
	used     map[string]int64
	open     []openTurn
	log      []string
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{
		t: t, f: newFleet(t, "dc-1", "dc-2"), random: rand.New(rand.NewPCG(seed, 7)),
		programs: map[string]int64{"p": 2 * maxTurnTokens, "q": 1300, "r": 3000}, used: make(map[string]int64),
	}
	for i := range 4 {
		m.vms = append(m.vms, m.f.start(fmt.Sprintf("vm-%d", i), m.f.dcs[i%2]))
	}
	m.f.assignKeepers()
	return m
}

func (m *model) note(format string, args ...any) { m.log = append(m.log, fmt.Sprintf(format, args...)) }

// turn begins a turn of a program at any VM. Half of them end at once.
func (m *model) turn(program string, most int64) {
	vm := m.vms[m.random.IntN(len(m.vms))]
	r, err := vm.ledger.Reserve(context.Background(), reserveRequest(program, m.programs[program]))
	if err != nil {
		if !errors.Is(err, ErrSpent) && !errors.Is(err, ErrUnavailable) {
			m.t.Error(err)
		}
		return
	}
	generated := 1 + m.random.Int64N(min(most, r.Tokens()))
	m.used[program] += generated
	m.note("%s generates %d at %s: %d", program, generated, vm.process, m.used[program])
	m.open = append(m.open, openTurn{r, generated})
	if m.random.IntN(2) == 0 {
		m.settle(len(m.open) - 1)
	}
}

func (m *model) settle(i int) {
	m.open[i].Settle(m.open[i].generated)
	m.open = append(m.open[:i], m.open[i+1:]...)
}

// restart ends a VM's process, in order or not, and starts the next one at its address. The other
// VMs may not have read that.
func (m *model) restart() {
	i := m.random.IntN(len(m.vms))
	old := m.vms[i]
	if m.random.IntN(3) == 0 {
		old.quotas.HandOverBuckets(context.Background())
		old.ledger.ReturnUnused(context.Background(), time.Time{})
	}
	m.f.kill(old)
	m.vms[i] = m.f.startAt(old.name, old.dc, old.addr)
	m.f.mu.Lock()
	if m.random.IntN(2) == 0 {
		m.f.unread[old.process] = old.addr
	}
	m.f.mu.Unlock()
	m.note("%s is %s", old.process, m.vms[i].process)
}

// pass lets a time pass in which each program goes on.
func (m *model) pass() {
	m.f.mu.Lock()
	clear(m.f.unread)
	m.f.mu.Unlock()
	for range 1 + m.random.IntN(4) {
		d := time.Duration(1+m.random.IntN(55)) * time.Second
		m.note("%s pass", d)
		m.f.pass(d)
		m.f.assignKeepers()
		for program := range m.programs {
			m.turn(program, 1)
		}
	}
}

func (m *model) step() {
	switch m.random.IntN(16) {
	case 0, 1:
		m.restart()
	case 2:
		m.f.store.setDown(true)
		m.note("the store is away")
	case 3, 4:
		m.f.store.setDown(false)
		for _, vm := range m.vms {
			vm.awaitStore()
		}
		m.f.assignKeepers()
		m.note("the store is there")
	case 5:
		m.f.store.mu.Lock()
		m.f.store.loseNext = 1
		m.f.store.mu.Unlock()
	case 6:
		m.f.store.mu.Lock()
		m.f.store.delay = true
		m.f.store.mu.Unlock()
	case 7:
		m.f.store.applyDelayed()
	case 8:
		m.pass()
	case 9:
		if len(m.open) > 0 {
			m.settle(m.random.IntN(len(m.open)))
		}
	default:
		for program := range m.programs {
			m.turn(program, maxTurnTokens)
		}
	}
}

// Guards against programs that get more than their budget and the most of one turn since somebody
// has forgotten what they used, or takes one process for another.
func TestModel_BudgetHoldsWhateverIsForgotten(t *testing.T) {
	for seed := *modelSeed; seed < *modelSeed+*modelSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			m := newModel(t, seed)
			for range 40 {
				m.step()
				for program, budget := range m.programs {
					if m.used[program] > budget+maxTurnTokens {
						t.Fatalf("%s got %d of %d\n%s", program, m.used[program], budget, m.log)
					}
				}
			}
			is.True(m.used["r"] > 0)
		})
	}
}
