package callermemory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const testMemory = 120 << 20

// receiving opens a connection from a source that has received a part of a body at a time.
func receiving(b *Budget, source string, bytes int64, at time.Duration) (*Holder, bool) {
	h, _, ok := b.Open(source, at)
	if !ok {
		return nil, false
	}
	b.Enter(h, Body, at)
	_, ok = b.Take(h, Bodies, bytes, at)
	return h, ok
}

func TestBudget_WhatMakesNoProgressGoesFirstTheOldestFirst(t *testing.T) {
	is := is.New(t)
	b := New(LimitsOf(testMemory, 0))
	first, _ := receiving(b, "a", 5<<20, time.Second)
	second, _ := receiving(b, "b", 5<<20, 2*time.Second)
	b.Received(first, progressBytes, 3*time.Second)
	third, _, ok := b.Open("c", 3*time.Second)
	is.True(ok)
	b.Enter(third, Body, 3*time.Second)
	evicted, ok := b.Take(third, Bodies, 6<<20, 3*time.Second)
	is.True(ok)
	is.Equal(evicted, []*Holder{second})
	is.True(!first.Evicted())
}

func TestBudget_BodyWithoutRoomIsRefusedAndEndsNothing(t *testing.T) {
	is := is.New(t)
	b := New(LimitsOf(testMemory, 0))
	busy := 0
	for range 64 {
		if _, ok := receiving(b, "a", 4<<20, time.Second); ok {
			busy++
		}
	}
	is.Equal(busy, 3) // the share of one source
	is.True(b.Used(Bodies) <= b.Limits.Bytes)
	_, ok := receiving(b, "a", smallBytes, time.Second) // of its source, but small
	is.True(ok)
}

func TestBudget_TheOnlyLargeBodyMayFillTheRoom(t *testing.T) {
	is := is.New(t)
	b := New(LimitsOf(testMemory, 0))
	h, ok := receiving(b, "a", 16<<20, 0)
	is.True(ok)
	_, ok = b.Take(h, Bodies, 16<<20, 0)
	is.True(ok)
	b.Close(h)
	b.Give(h, Bodies, -1)
	is.Equal(b.Used(Bodies)+b.Used(Connections), int64(0))
}

func TestBudget_ConnectionsBeyondTheDescriptorsCloseTheLongestIdleOne(t *testing.T) {
	is := is.New(t)
	b := New(LimitsOf(testMemory, reservedFiles+4))
	first, _, _ := b.Open("a", 0)
	_, _, ok := b.Open("a", time.Second)
	is.True(ok)
	_, evicted, ok := b.Open("a", time.Second)
	is.True(ok)
	is.Equal(evicted, []*Holder{first})
	_, evicted, ok = b.Open("a", time.Second) // all are new
	is.True(!ok)
	is.Equal(len(evicted), 0)
}

func TestBudget_OverdueConnectionsEndUnlessTheVMWasPaused(t *testing.T) {
	is := is.New(t)
	b := New(Limits{IdleTimeout: 4 * time.Second, HeadTimeout: time.Second})
	idle, _, _ := b.Open("a", 0)
	head, _, _ := b.Open("a", 0)
	b.Enter(head, Head, 0)
	is.Equal(len(b.Overdue(2*time.Second)), 1)
	is.True(head.Evicted())
	is.Equal(len(b.Overdue(8*time.Second)), 0)
	is.Equal(b.Overdue(9*time.Second), []*Holder{idle})
}

// A VM without limits in its settings accepts what comes.
func TestBudget_WithoutLimitsAcceptsAll(t *testing.T) {
	is := is.New(t)
	b := New(LimitsOf(0, 0))
	_, ok := receiving(b, "a", 1<<40, 0)
	is.True(ok)
	is.Equal(len(b.Overdue(time.Second)), 0)
}
