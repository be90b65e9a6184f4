package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	step   = 10 * time.Millisecond
	window = 5 * time.Second
)

// fleet is the VMs and the keepers of one workspace's shares, in virtual time.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	limit  Limit
	shares []*Share        // by data centre; nil while there is no keeper
	paused []time.Duration // by data centre: until then the keeper's time stands still
	vms    []*vm
	used   []time.Duration // when requests ran
}

// vm has a question under way while answerAt is set.
type vm struct {
	purse    Purse
	waiting  int
	askedAt  time.Duration
	answerAt time.Duration
	answer   Answer
	cut      bool
}

// run lets the VMs send a number of requests a second in all, while keepers and links fail.
func (f *fleet) run(until time.Duration, perSecond float64, troubled bool) {
	for ; f.now < until; f.now += step {
		if troubled {
			f.disturb()
		}
		for _, v := range f.vms {
			for range poisson(f.random, perSecond*step.Seconds()/float64(len(f.vms))) {
				v.purse.Observe(f.now)
				v.waiting++
			}
			f.serve(v, troubled)
		}
	}
}

// disturb lets a keeper die, which another one replaces at once or later, or hand its share
// over, or pauses it, or cuts a VM off.
func (f *fleet) disturb() {
	dc := f.random.IntN(len(f.shares))
	switch f.random.IntN(1500) {
	case 0, 1:
		f.shares[dc] = NewShare(f.limit, len(f.shares), f.now, f.now)
	case 2:
		f.shares[dc] = nil
	case 3:
		f.paused[dc] = f.now + time.Duration(f.random.IntN(4000))*time.Millisecond
	case 4:
		v := f.vms[f.random.IntN(len(f.vms))]
		v.cut = !v.cut
	}
	if f.shares[dc] == nil && f.random.IntN(100) == 0 {
		f.shares[dc] = NewShare(f.limit, len(f.shares), f.now, f.now)
	}
}

// serve uses the tokens of a VM, takes in an answer that has arrived and asks the next question.
func (f *fleet) serve(v *vm, troubled bool) {
	if v.answerAt > 0 && f.now >= v.answerAt {
		v.purse.Add(v.answer.Others+v.answer.Spare, v.askedAt)
		v.answerAt = 0
	}
	for v.waiting > 0 && v.purse.Take(f.now) {
		v.waiting--
		f.used = append(f.used, f.now)
	}
	spare := v.purse.Spare(f.now)
	if v.answerAt > 0 || v.cut || v.waiting == 0 && spare == 0 {
		return
	}
	dc := f.random.IntN(len(f.shares))
	if f.shares[dc] == nil || f.paused[dc] > f.now {
		return
	}
	v.askedAt, v.answerAt = f.now, f.now+step
	if troubled && f.random.IntN(20) == 0 { // the VM is paused, or the question or the answer is late
		v.askedAt -= time.Duration(f.random.IntN(1000)) * time.Millisecond
		v.answerAt += time.Duration(f.random.IntN(4000)) * time.Millisecond
	}
	v.answer = f.shares[dc].Grant(f.limit, len(f.shares), Ask{Others: v.waiting, Spare: spare}, f.now)
	v.waiting = 0 // the others were refused
	v.waiting += v.answer.Others
	if troubled && f.random.IntN(20) == 0 { // the answer is lost
		v.answer = Answer{}
	}
}

func newFleet(seed uint64, limit Limit, dcs, vms int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), limit: limit, shares: make([]*Share, dcs), paused: make([]time.Duration, dcs)}
	for i := range f.shares {
		f.shares[i] = NewShare(limit, dcs, 0, 0)
	}
	for range vms {
		f.vms = append(f.vms, &vm{})
	}
	return f
}

func poisson(random *rand.Rand, mean float64) (n int) {
	for p := random.Float64(); p > math.Exp(-mean); n++ {
		p *= random.Float64()
	}
	return n
}

// most returns the largest number of uses in any window, from a time on.
func most(used []time.Duration, from time.Duration) (n int) {
	first := 0
	for i, t := range used {
		for used[first] < max(from, t-window) {
			first++
			if first > i {
				break
			}
		}
		n = max(n, i-first+1)
	}
	return n
}

func allowed(l Limit) int {
	return int((l.PerSecond*window.Seconds()+l.Burst)*1.1 + 20)
}

// The load comes in bursts of several times the quota, for which tokens accumulate.
func TestShare_HoldsTheQuotaInAnyWindowWhateverFails(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			perSecond := math.Exp(random.Float64() * 6)
			limit := Limit{perSecond, perSecond * 2 * random.Float64()}
			f := newFleet(seed, limit, 1+random.IntN(12), 1+random.IntN(40))
			for f.now < 30*time.Second {
				f.run(f.now+time.Duration(random.IntN(4000))*time.Millisecond, 0, true)
				f.run(f.now+time.Duration(random.IntN(6000))*time.Millisecond, perSecond*(1+6*random.Float64())+30, true)
			}
			dcs := len(f.shares)
			_, capacity := limit.share(dcs)
			granted := int(limit.PerSecond*(window+Validity).Seconds() + capacity*float64(dcs))
			if n := most(f.used, 0); n > granted || n > allowed(limit) {
				t.Errorf("%d requests in a window, %d granted, %d allowed by %+v in %d data centres", n, granted, allowed(limit), limit, dcs)
			}
		})
	}
}

func TestShare_LetsTheWholeQuotaBeUsed(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, Limit{300, 300}, 3, 40)
	f.run(20*time.Second, 2000, false)
	is.True(len(f.used) > 300*20*95/100)
}

// A workspace that sends what it usually does is refused nothing, however small it is.
func TestShare_RefusesNothingBelowTheQuota(t *testing.T) {
	for _, perSecond := range []float64{3, 30, 527} {
		is := is.New(t)
		const sent = 60 * 1.0 / 1.6
		f := newFleet(2, Limit{perSecond, perSecond}, 3, 117)
		f.run(10*time.Second, 0, false) // the buckets fill
		f.run(70*time.Second, perSecond/1.6, false)
		is.True(float64(len(f.used)) > perSecond*sent*0.97-3*math.Sqrt(perSecond*sent)) // sent at random
	}
}

func TestShare_LowerLimitBindsWithinAWindowAndAHigherOneAtOnce(t *testing.T) {
	is := is.New(t)
	high, middle, low := Limit{400, 400}, Limit{100, 100}, Limit{10, 10}
	f := newFleet(3, high, 3, 20)
	f.run(10*time.Second, 2000, false)
	f.limit = middle
	f.run(12*time.Second, 2000, false)
	f.limit = low
	f.run(30*time.Second, 2000, false)
	is.True(most(f.used, 17*time.Second) <= allowed(low))
	is.True(most(f.used, 12*time.Second+Validity) <= allowed(low))
	f.limit, f.used = high, nil
	f.run(35*time.Second, 2000, false)
	is.True(len(f.used) > 400*5*95/100)
}

func TestShare_PauseOfTheKeeperMintsNoMoreThanItsCapacity(t *testing.T) {
	is := is.New(t)
	limit := Limit{30, 60}
	s := NewShare(limit, 3, 0, 0)
	is.Equal(s.Grant(limit, 3, Ask{Others: 100}, 0).Others, 0) // empty when it begins
	is.Equal(s.Grant(limit, 3, Ask{Others: 100}, time.Hour).Others, 20)
	is.Equal(s.Grant(limit, 3, Ask{Others: 100}, time.Minute).Others, 0) // time doesn't go back
}

func TestShare_TakesAnyLimit(t *testing.T) {
	for _, l := range []Limit{{math.Inf(1), math.Inf(1)}, {5, math.NaN()}, {5, -3}, {1e300, 1e300}, {1e-300, 0}, {math.SmallestNonzeroFloat64, 1}} {
		is := is.New(t)
		s := NewShare(l, 3, 0, time.Hour)
		a := s.Grant(l, 3, Ask{Programs: []uint64{1, 2, 3}, Others: 1 << 30, Spare: 1}, time.Hour)
		is.True(a.Others >= 0 && a.Others < 1e7)
		is.True(a.WaitMore > 0 && a.WaitMore <= maxWait)
		is.True(a.WaitNew > 0 && a.WaitNew <= maxWait || a.Granted[2])
	}
	is.New(t).True(!Limit{PerSecond: math.NaN()}.Limited() && !Limit{PerSecond: -1}.Limited() && !Limit{Burst: 5}.Limited())
}

// programs lets programs of a number of requests begin; each sends one request a turn. It
// returns how many requests that don't begin a program were granted and refused, and how many
// programs ended.
func programs(s *Share, limit Limit, length int, beginPerSecond float64, turn, until time.Duration) (granted, refused, ended int) {
	random := rand.New(rand.NewPCG(7, 7))
	type program struct {
		id   uint64
		left int
		next time.Duration
	}
	var running []*program
	var usage Usage
	id := uint64(0)
	for now := time.Minute; now < time.Minute+until; now += step {
		for range poisson(random, beginPerSecond*step.Seconds()) {
			id++
			a := s.Grant(limit, 1, Ask{Programs: []uint64{id}, Usage: usage}, now)
			usage = Usage{}
			if a.Granted[0] {
				usage = Usage{Begun: 1, Requests: 1}
				running = append(running, &program{id, length - 1, now + turn})
			}
		}
		for _, p := range running {
			if now < p.next {
				continue
			}
			p.next, p.left = now+turn, p.left-1
			if s.Grant(limit, 1, Ask{Programs: []uint64{p.id}}, now).Granted[0] {
				granted, usage.Requests = granted+1, usage.Requests+1
				if p.left == 0 {
					ended++
				}
			} else {
				refused, p.left = refused+1, 0 // the program fails
			}
		}
		running = slices.DeleteFunc(running, func(p *program) bool { return p.left == 0 })
	}
	return granted, refused, ended
}

// If first requests are granted like others, most programs of such a workspace are cut off in
// the middle, and few end.
func TestShare_TurnsFirstRequestsAwayRatherThanLaterOnes(t *testing.T) {
	for _, length := range []int{3, 5, 10} {
		t.Run(fmt.Sprint(length, " requests a program"), func(t *testing.T) {
			is := is.New(t)
			limit := Limit{100, 100}
			const seconds = 60
			begin := 5 * limit.PerSecond / float64(length) // five times the quota
			s := NewShare(limit, 1, 0, time.Minute)
			granted, refused, ended := programs(s, limit, length, begin, 700*time.Millisecond, seconds*time.Second)
			t.Logf("granted %d later requests, refused %d; %d programs ended", granted, refused, ended)
			is.True(refused < granted/50)
			is.True(ended > int(limit.PerSecond)*seconds/length*8/10)
		})
	}
}

func TestShare_ServesAllProgramsBelowTheQuota(t *testing.T) {
	for _, perSecond := range []float64{3, 100} {
		is := is.New(t)
		limit := Limit{perSecond, perSecond}
		s := NewShare(limit, 1, 0, time.Minute)
		const seconds = 120
		begin := perSecond / 1.6 / 5
		_, refused, ended := programs(s, limit, 5, begin, 700*time.Millisecond, seconds*time.Second)
		is.Equal(refused, 0)
		is.True(float64(ended) > begin*seconds*0.95-3*math.Sqrt(begin*seconds))
	}
}

// After the loss of all VMs, when the buckets are empty, programs begin as soon as there are tokens.
func TestShare_ProgramsBeginWhileTheBucketOfANewKeeperFills(t *testing.T) {
	is := is.New(t)
	limit := Limit{100, 100}
	s := NewShare(limit, 1, time.Minute, time.Minute)
	_, refused, ended := programs(s, limit, 5, 12, 700*time.Millisecond, 10*time.Second)
	is.Equal(refused, 0)
	is.True(ended > 12*10/2) // those of the last seconds are under way
	s = NewShare(limit, 1, time.Minute, time.Minute)
	is.True(s.Grant(limit, 1, Ask{Programs: []uint64{1}}, time.Minute+20*time.Millisecond).Granted[0])
}

func TestShare_RetryAfterIsWhenTheQuotaServesThoseRefusedBefore(t *testing.T) {
	is := is.New(t)
	limit := Limit{10, 10}
	s := NewShare(limit, 1, 0, 0)
	var last time.Duration
	for range 50 {
		a := s.Grant(limit, 1, Ask{Others: 1}, 0)
		is.Equal(a.Others, 0)
		is.True(a.WaitMore >= last)
		last = a.WaitMore
	}
	is.Equal(last, 5*time.Second)
}

func TestShare_IsForgottenOnlyWhenItWouldBeTheSameAnew(t *testing.T) {
	is := is.New(t)
	limit := Limit{10, 10}
	s := NewShare(limit, 1, 0, time.Hour)
	is.True(s.Grant(limit, 1, Ask{Programs: []uint64{1}}, time.Hour).Granted[0])
	is.True(!s.Forgettable(time.Hour + 30*time.Second)) // the program may go on
	is.True(s.Forgettable(time.Hour + 2*generationTime))
}

func TestPurse_TakesAheadWhatIsUsedSoonAndOneAtATimeOtherwise(t *testing.T) {
	for _, tt := range []struct {
		perSecond int
		spare     int
	}{{1, 0}, {5, 0}, {20, 6}, {100, 30}, {5000, maxSpare}} {
		is := is.New(t)
		p := &Purse{}
		var now time.Duration
		for range 20 * tt.perSecond {
			now += time.Second / time.Duration(tt.perSecond)
			p.Observe(now)
		}
		is.True(math.Abs(float64(p.Spare(now)-tt.spare)) <= 1)
		if tt.spare > 1 {
			p.Add(tt.spare, now)
			is.Equal(p.Spare(now), 0) // enough are left
		}
	}
}

func TestPurse_DropsTokensAfterTheirValidityFromTheQuestion(t *testing.T) {
	is := is.New(t)
	p := &Purse{}
	p.Add(2, time.Second)
	is.True(p.Take(time.Second + Validity))
	is.True(!p.Take(time.Second + Validity + 1))
}

// Guards against programs of small workspaces that are refused while their workspace uses a third of
// its quota: the turns of their sub-agents and their tools come at the same time.
func TestShare_RequestsOfASmallWorkspaceMayComeInClusters(t *testing.T) {
	is := is.New(t)
	const dcs = 3
	limit := Limit{PerSecond: 5, Burst: 5}
	var shares []*Share
	for range dcs {
		shares = append(shares, NewShare(limit, dcs, 0, 0))
	}
	for now := window; now <= 4*window; now += window { // 18 of the 30 requests of a window at once
		granted := 0
		for _, s := range shares {
			granted += s.Grant(limit, dcs, Ask{Others: 18 - granted}, now).Others
		}
		is.Equal(granted, 18)
	}
}
