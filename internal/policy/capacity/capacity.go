// Package capacity learns how much each endpoint of a service takes well: its run time,
// relative to the service, over the requests in flight. The load it answers: endpoints that
// differ in speed by a factor of two, that slow down for half a second at any time, and some
// of which slow down long before their slots are taken, while run times of single requests
// spread by a factor of e. It performs no I/O and reads no clock.
package capacity

import (
	"math"
	"time"
)

const (
	// levels is the number of ranges of requests in flight that a model tells apart.
	levels = 8
	// minSpeedWeight, minLevelWeight and minServiceWeight are the minimum weights of a new
	// sample in the moving averages. The nth sample has weight 1/n until that is below it.
	minSpeedWeight   = 0.05
	minLevelWeight   = 0.02
	minServiceWeight = 0.02
	// initialSpread, minSpread and maxSpread are of the natural logarithm of run times.
	initialSpread, minSpread, maxSpread = 0.7, 0.1, 1.2
	// deviationPerMean is the standard deviation of a normal distribution over its mean
	// absolute deviation.
	deviationPerMean = 1.2533
	// maxResidual bounds one sample, in spreads: a hanging request is one sample as well.
	maxResidual = 3
	// changeAllowance is what each sample may deviate, in spreads, without counting towards a
	// change of speed; slowerThreshold and fasterThreshold are the sums that prove one.
	changeAllowance = 0.5
	slowerThreshold = 4
	fasterThreshold = 8
	// recoveryWeight multiplies the weight of a faster sample after a slow-down, until the
	// endpoint has proven to be faster.
	recoveryWeight = 0.5
	// steadyThreshold is the sum above which samples don't count towards the curve: a slow
	// endpoint has more requests in flight as well.
	steadyThreshold = 2
	// provenDeviations is by how many standard deviations a slow-down at a level is proven.
	provenDeviations = 2
	// minLevelSamples is the number below which a level says nothing.
	minLevelSamples = 8
	// kneeShare is the share of the best throughput that the limit must reach.
	kneeShare = 0.95
	// exploreInterval is the time after which one request may run above the limit.
	exploreInterval = 250 * time.Millisecond
	// idleHalfLife is the time in which the slowness of an idle endpoint counts half.
	idleHalfLife = 500 * time.Millisecond
	// maxAge is the time without a sample after which a model is forgotten.
	maxAge = 30 * time.Second
)

// Service is what all endpoints of a service have in common. The zero value knows nothing.
type Service struct {
	mean    float64 // of the logarithm of the time in seconds, less what is the endpoint's
	spread  float64 // mean absolute deviation from it
	samples float64
}

// Known reports whether there was a sample.
func (s Service) Known() bool { return s.samples > 0 }

// deviation returns the estimated standard deviation of the logarithm of a time.
func (s Service) deviation() float64 {
	return min(max(s.spread*deviationPerMean, minSpread), maxSpread)
}

// Model is what is known of one process of an endpoint. The zero value knows nothing.
type Model struct {
	speed          float64 // logarithm of the time relative to the service, at the lowest level
	samples        float64
	slower, faster change
	slowed         bool // the last change was to slower
	levels         [levels]level
	slowdown       [levels]float64 // proven, by level, relative to the lowest; never falls
	slots, knee    int
	last           time.Duration // last sample
}

// change is a cumulative sum of deviations in one direction, in spreads.
type change struct{ sum, samples float64 }

func (c change) add(deviation float64) change {
	c.sum, c.samples = c.sum+deviation-changeAllowance, c.samples+1
	if c.sum <= 0 {
		return change{}
	}
	return c
}

// mean returns the mean deviation since the change began.
func (c change) mean() float64 { return c.sum/c.samples + changeAllowance }

// level is a moving average of the logarithm of the time at a range of requests in flight,
// relative to the endpoint's speed.
type level struct {
	mean, samples, fitted float64
	last                  time.Duration
}

// levelOf returns the level of a number of requests in flight.
func levelOf(inFlight, slots int) int {
	if slots <= levels {
		return min(max(inFlight, 1), levels) - 1
	}
	return min((max(inFlight, 1)-1)*levels/slots, levels-1)
}

// levelEnd returns the largest number of requests in flight of a level.
func levelEnd(level, slots int) int {
	if slots <= levels {
		return level + 1
	}
	return ((level+1)*slots + levels - 1) / levels
}

// Observe returns the model and the service after a request that took a time, normalised by
// the size of the request where that is known, and was one of inFlight when it was assigned.
func (m Model) Observe(s Service, took time.Duration, inFlight, slots int, now time.Duration) (Model, Service) {
	if took <= 0 || slots <= 0 {
		return m, s
	}
	if m.slots != slots || m.aged(now) {
		m = Model{slots: slots}
	}
	sample := math.Log(took.Seconds())
	if !s.Known() {
		s.mean, s.spread = sample, initialSpread/deviationPerMean
	}
	l := &m.levels[levelOf(inFlight, slots)]
	bound := maxResidual * s.deviation()
	clamp := func(x float64) float64 { return min(max(x, -bound), bound) }
	relative := sample - s.mean - m.speed
	residual := clamp(relative - l.fitted)

	s.samples++
	weight := max(minServiceWeight, 1/s.samples)
	s.mean += weight * residual
	s.spread += weight * (math.Abs(residual) - s.spread)

	m.last, l.last = now, now
	if m.slower.sum < steadyThreshold && m.faster.sum < steadyThreshold {
		l.samples++
		l.mean += max(minLevelWeight, 1/l.samples) * clamp(relative-l.mean)
	}
	m.samples++
	weight = max(minSpeedWeight, 1/(m.samples+1))
	if m.slowed && residual < 0 {
		weight *= recoveryWeight
	}
	m.speed += weight * residual
	m.detectChange(residual, s.deviation())
	m.fit(s.deviation())
	m.knee = m.kneeOf(slots)
	return m, s
}

// detectChange moves the speed at once when samples prove that it has changed.
func (m *Model) detectChange(residual, deviation float64) {
	m.slower, m.faster = m.slower.add(residual/deviation), m.faster.add(-residual/deviation)
	switch {
	case m.slower.sum > slowerThreshold:
		m.speed += m.slower.mean() * deviation
		m.samples, m.slowed = m.slower.samples, true
	case m.faster.sum > fasterThreshold:
		m.speed -= m.faster.mean() * deviation
		m.samples, m.slowed = m.faster.samples, false
	default:
		return
	}
	m.slower, m.faster = change{}, change{}
}

// fit computes the curve over the levels: the least squares one that never falls (pool
// adjacent violators), and how much of it is proven.
func (m *Model) fit(deviation float64) {
	type block struct {
		mean, samples float64
		last          int
	}
	var blocks [levels]block
	n := 0
	for i := range m.levels {
		l := &m.levels[i]
		if l.samples < minLevelSamples {
			continue
		}
		b := block{mean: l.mean, samples: min(l.samples, 1/minLevelWeight), last: i}
		for n > 0 && blocks[n-1].mean >= b.mean {
			n--
			sum := blocks[n].samples + b.samples
			b.mean, b.samples = (blocks[n].mean*blocks[n].samples+b.mean*b.samples)/sum, sum
		}
		blocks[n] = b
		n++
	}
	if n == 0 {
		return
	}
	at := 0
	for i := range m.levels {
		if i > blocks[at].last && at < n-1 {
			at++
		}
		b := blocks[at]
		m.levels[i].fitted = b.mean - blocks[0].mean
		m.slowdown[i] = 0
		if at > 0 {
			m.slowdown[i] = max(m.slowdown[i-1], m.levels[i].fitted-provenDeviations*deviation*math.Sqrt(1/b.samples+1/blocks[0].samples))
		}
	}
}

// aged reports whether the model is too old to say anything.
func (m *Model) aged(now time.Duration) bool { return m.samples > 0 && now-m.last > maxAge }

// Expected returns the expected time of a request that would be one of inFlight. An idle
// endpoint that was slow counts as less slow with time, so that it gets single requests by
// which it is found well again.
func (m *Model) Expected(s Service, inFlight, slots int, now time.Duration) time.Duration {
	exponent := s.mean
	if m.slots == slots && !m.aged(now) {
		speed := m.speed
		if speed > 0 && inFlight <= 1 {
			speed *= math.Exp2(-float64(now-m.last) / float64(idleHalfLife))
		}
		exponent += speed + m.slowdown[levelOf(inFlight, slots)]
	}
	return time.Duration(math.Exp(exponent) * float64(time.Second))
}

// kneeOf returns the least number of requests in flight, at the end of a level, with nearly the
// best throughput that is known.
func (m *Model) kneeOf(slots int) int {
	last, best := levelOf(slots, slots), 0.0
	throughput := func(level int) float64 { return float64(levelEnd(level, slots)) / math.Exp(m.slowdown[level]) }
	for level := range last + 1 {
		best = max(best, throughput(level))
	}
	for level := range last {
		if throughput(level) >= kneeShare*best {
			return levelEnd(level, slots)
		}
	}
	return slots
}

// Knee returns how many requests in flight the endpoint takes well; at most slots.
func (m *Model) Knee(slots int, now time.Duration) int {
	if m.slots != slots || m.knee == 0 || m.aged(now) {
		return slots
	}
	return m.knee
}

// RelativeRunTime returns the run time of requests over the usual one of the service, with few
// requests in flight.
func (m *Model) RelativeRunTime() float64 { return math.Exp(m.speed) }

// Limit returns how many requests may run at the endpoint at once: the knee, and from time
// to time one more, by which room is given back.
func (m *Model) Limit(slots int, now time.Duration) int {
	knee := m.Knee(slots, now)
	if knee < slots && now-m.levels[levelOf(knee+1, slots)].last > exploreInterval {
		return knee + 1
	}
	return knee
}
