package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	deadly, beside, other = uint64(1), uint64(2), uint64(3) // requests
	path, otherPath       = uint64(101), uint64(102)
)

// end records the end of an endpoint under requests of path that started just before.
func end(m *Memory, endpoint string, now time.Duration, requests ...uint64) []uint64 {
	var runs []Run
	for _, r := range requests {
		runs = append(runs, Run{Request: r, Path: path, Started: now - 1})
	}
	return m.RecordEnd(endpoint, runs, now)
}

func level(m *Memory, request uint64, now time.Duration) Level {
	l, _ := m.Level(request, otherPath, now)
	return l
}

func TestMemory_LevelFollowsTheEndpointsThatEnded(t *testing.T) {
	is := is.New(t)
	var m Memory
	is.Equal(level(&m, deadly, 0), Free)
	end(&m, "a", 10, deadly)
	is.Equal(level(&m, deadly, 10), Spread)
	end(&m, "b", 20, deadly)
	is.Equal(level(&m, deadly, 20), Alone)
	is.Equal(end(&m, "c", 30, deadly), []uint64{deadly})
	l, left := m.Level(deadly, otherPath, 30)
	is.Equal(l, Rejected)
	is.Equal(left, firstHold)
}

func TestMemory_EndsThatAreNotOneAfterTheOtherCountOnce(t *testing.T) {
	t.Run("the same endpoint, reported again", func(t *testing.T) {
		is := is.New(t)
		var m Memory
		for now := time.Duration(10); now < 50; now += 10 {
			end(&m, "a", now, deadly)
		}
		is.Equal(level(&m, deadly, 50), Spread)
	})
	t.Run("endpoints that end together under equal requests", func(t *testing.T) {
		is := is.New(t)
		var m Memory
		for i := range 9 {
			m.RecordEnd(fmt.Sprint(i), []Run{{Request: deadly, Path: path, Started: 5}}, time.Duration(10+i))
		}
		is.Equal(level(&m, deadly, 50), Spread)
	})
}

// A request that had only run beside one that crashes endpoints was suspected for ever.
func TestMemory_CompletionClearsARequestAndItsPath(t *testing.T) {
	is := is.New(t)
	var m Memory
	end(&m, "a", 10, deadly, beside)
	end(&m, "b", 20, deadly, beside)
	m.RecordCompletion(beside, path, 25)
	end(&m, "c", 30, deadly)
	is.Equal(level(&m, beside, 30), Free)
	is.Equal(level(&m, deadly, 30), Rejected)
	l, _ := m.Level(other, path, 30)
	is.Equal(l, Free)
}

func TestMemory_GroupOfRequests(t *testing.T) {
	t.Run("is not rejected for one of its requests, however often that ends endpoints", func(t *testing.T) {
		is := is.New(t)
		var m Memory
		for i := range 5 {
			end(&m, fmt.Sprint(i), time.Duration(10*(i+1)), deadly)
		}
		l, _ := m.Level(other, path, 60)
		is.Equal(l, Alone)
	})
	t.Run("is not rejected for requests of it that ran beside one that ends endpoints", func(t *testing.T) {
		is := is.New(t)
		var m Memory
		for i := range 5 {
			end(&m, fmt.Sprint(i), time.Duration(10*(i+1)), deadly, beside)
		}
		l, _ := m.Level(other, path, 60)
		is.Equal(l, Alone)
	})
	t.Run("is rejected if different requests of it end endpoints and none completes", func(t *testing.T) {
		is := is.New(t)
		var m Memory
		for i := range 3 {
			end(&m, fmt.Sprint(i), time.Duration(10*(i+1)), deadly)
		}
		l, _ := m.Level(other, path, 30)
		is.Equal(l, Alone)
		is.Equal(end(&m, "3", 40, beside), []uint64{path})
		l, _ = m.Level(other, path, 40)
		is.Equal(l, Rejected)
		l, _ = m.Level(other, otherPath, 40)
		is.Equal(l, Free)
	})
}

func TestMemory_HoldEndsAndIsLongerEachTime(t *testing.T) {
	is := is.New(t)
	var m Memory
	for i := range 3 {
		end(&m, fmt.Sprint(i), time.Duration(10*(i+1)), deadly)
	}
	now, hold := time.Duration(30), firstHold
	for i := range 5 {
		is.Equal(level(&m, deadly, now+hold-1), Rejected)
		now += hold
		is.Equal(level(&m, deadly, now), Alone)
		end(&m, fmt.Sprint(10+i), now, deadly)
		hold = min(holdGrowth*hold, maxHold)
	}
	m.RecordCompletion(deadly, path, now+1)
	is.Equal(level(&m, deadly, now), Free)
}

func TestMemory_IsBoundedInTimeAndSize(t *testing.T) {
	is := is.New(t)
	var m Memory
	for i := range 3 {
		end(&m, fmt.Sprint(i), time.Duration(10*(i+1)), deadly)
	}
	for i := range uint64(3 * maxRecords) {
		m.RecordEnd("x", []Run{{Request: 1000 + i, Path: 1_000_000 + i, Started: 99}}, time.Duration(100+i))
	}
	is.True(len(m.records) <= maxRecords)
	is.Equal(level(&m, deadly, 100), Rejected) // suspicions yield first
	m.Expire(firstHold + retention)
	is.Equal(level(&m, deadly, firstHold+retention), Alone)
	is.Equal(len(m.records), 1)
	m.Expire(firstHold + 2*retention)
	is.Equal(len(m.records), 0)
}

// Keys of dropped records were kept for ever while nothing could be saved.
func TestMemory_KeysThatWaitToBeSavedAreBounded(t *testing.T) {
	is := is.New(t)
	var m Memory
	for i := range uint64(2 * maxRecords) {
		for n := range 2 {
			now := time.Duration(10*i+uint64(n)) + 10
			m.RecordEnd(fmt.Sprint(n), []Run{{Request: 1 + i, Started: now}}, now)
		}
	}
	is.True(len(m.unsaved) <= maxRecords)
}

// A saved record counted as expired before the one in memory.
func TestShared_ExpiresWithTheRecord(t *testing.T) {
	is := is.New(t)
	r := Record{Ends: []End{{Process: "a", Known: 1}, {Process: "b", Started: 2, Known: 3}, {Process: "c", Started: 4, Known: 5}}, Holds: 3, HeldUntil: time.Hour}
	for _, now := range []time.Duration{0, time.Hour, time.Hour + 2*retention, 24 * time.Hour} {
		e := entry{Record: r}
		shared := e.share(1, now)
		is.Equal(shared.Expired(), r.expired(now))
	}
}

// Schedulers that were cut off from each other counted the ends under a request each for itself.
func TestMemory_EndsThatSeveralSchedulersSawCountTogether(t *testing.T) {
	const origin = time.Hour // of the clock of the VM that learns from all
	schedulers := make([]Memory, 3)
	learn := func() *Memory {
		var all Memory
		for i := range schedulers {
			list, _ := schedulers[i].Since(0, 10, 100)
			all.Merge(list, origin)
		}
		return &all
	}
	t.Run("if they came one after the other", func(t *testing.T) {
		is := is.New(t)
		for i := range schedulers {
			schedulers[i] = Memory{}
			end(&schedulers[i], fmt.Sprint(i), time.Duration(10*i+10), deadly)
		}
		is.Equal(level(learn(), deadly, origin), Rejected)
	})
	t.Run("but as one if their runs overlapped", func(t *testing.T) {
		is := is.New(t)
		for i := range schedulers {
			schedulers[i] = Memory{}
			schedulers[i].RecordEnd(fmt.Sprint(i), []Run{{Request: deadly, Path: path, Started: 5}}, time.Duration(10*i+10))
		}
		is.Equal(level(learn(), deadly, origin), Spread)
	})
	t.Run("as often as endpoints ended, whoever saw it", func(t *testing.T) {
		is := is.New(t)
		for i := range schedulers {
			schedulers[i] = Memory{}
			schedulers[i].RecordOwnRun("a", Run{Request: deadly, Path: path, Started: time.Duration(10 * i)}, time.Duration(10*i+5))
		}
		is.Equal(level(learn(), deadly, origin), Spread)
	})
	t.Run("and not if a run was served since, wherever", func(t *testing.T) {
		is := is.New(t)
		for i := range schedulers {
			schedulers[i] = Memory{}
			end(&schedulers[i], fmt.Sprint(i), time.Duration(10*i+10), deadly)
		}
		schedulers[0].RecordCompletion(deadly, path, 50)
		all := learn()
		is.Equal(level(all, deadly, origin), Free)
		l, _ := all.Level(other, path, origin)
		is.Equal(l, Free)
	})
}

// What VMs tell each other again and again, each time a little later, is no news.
func TestMemory_ExchangesComeToAnEnd(t *testing.T) {
	is := is.New(t)
	const delay = 100 * time.Millisecond // of a message
	var a, b Memory
	now := time.Duration(0)
	for i := range 4 {
		now += delay
		end(&a, fmt.Sprint(i), now, deadly, beside)
	}
	a.RecordCompletion(beside, 0, now+1)
	var told, seen uint64
	for range 20 {
		list, upTo := a.Since(told, 10, now)
		now += delay
		b.Merge(list, now)
		list, version := b.Since(seen, 10, now)
		now += delay
		a.Merge(list, now)
		told, seen = upTo, version
	}
	aVersion, bVersion := a.Version(), b.Version()
	list, _ := a.Since(0, 10, now)
	b.Merge(list, now+delay)
	list, _ = b.Since(0, 10, now)
	a.Merge(list, now+delay)
	is.Equal(a.Version(), aVersion)
	is.Equal(b.Version(), bVersion)
	is.Equal(level(&b, beside, now), Free)
	is.Equal(level(&b, deadly, now), Rejected)
}

func TestMemory_EndsOfARecordAreBounded(t *testing.T) {
	is := is.New(t)
	var m Memory
	end(&m, "first", 10, deadly)
	for i := range 100 { // together with each other
		m.RecordEnd(fmt.Sprint(i), []Run{{Request: deadly, Started: 20}}, time.Duration(30+i))
		is.True(len(m.records[deadly].Ends) <= maxEnds)
	}
	end(&m, "last", 1000, deadly)
	is.Equal(level(&m, deadly, 1000), Rejected)
	is.True(len(m.records[deadly].Ends) <= maxEnds)
}

func TestMemory_RecordsSpreadToOtherMemories(t *testing.T) {
	const clockOffset = time.Hour
	is := is.New(t)
	var a, b Memory
	end(&a, "a", 10, deadly)
	list, version := a.Since(0, 10, 20)
	is.Equal(len(list), 2) // other schedulers may have seen the other ends
	end(&a, "b", 20, deadly)
	list, version = a.Since(version, 10, 20)
	is.Equal(len(list), 2)
	b.Merge(list, clockOffset)
	is.Equal(level(&b, deadly, clockOffset), Alone)

	end(&b, "c", clockOffset+10, deadly)
	is.Equal(level(&b, deadly, clockOffset+10), Rejected)
	end(&a, "d", 30, deadly)
	back, _ := b.Since(0, 10, clockOffset+10)
	a.Merge(back, 40)
	is.Equal(len(a.records[deadly].Ends), 4) // those that either has seen
	var c Memory
	c.Merge(back, 40)
	_, left := c.Level(deadly, otherPath, 40)
	is.Equal(left, firstHold)

	list, next := a.Since(version, 1, 40)
	is.Equal(len(list), 1)
	rest, next := a.Since(next, 10, 40)
	is.Equal(len(rest), 1)
	list, _ = a.Since(next, 10, 40)
	is.Equal(len(list), 0)
	is.Equal(next, a.Version())
}
