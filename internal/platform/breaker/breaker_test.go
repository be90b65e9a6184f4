package breaker

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBreaker_OpensProbesAndCloses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := New(Settings{FailureThreshold: 3, OpenDuration: time.Second, MaxOpenDuration: 3 * time.Second})

	for range 3 {
		is.True(b.Allow(now))
		b.Failure(now)
	}
	is.Equal(b.State(), Open)
	is.True(!b.Allow(now.Add(999 * time.Millisecond))) // still open

	now = now.Add(time.Second)
	is.True(b.Allow(now))  // the probe
	is.True(!b.Allow(now)) // only one probe at a time
	b.Failure(now)
	is.True(!b.Allow(now.Add(time.Second))) // the open duration has doubled

	now = now.Add(2 * time.Second)
	is.True(b.Allow(now))
	b.Success()
	is.Equal(b.State(), Closed)
	is.True(b.Allow(now))
	is.True(b.Allow(now))
}

func TestBreaker_AdmitsAnotherProbeAfterAnAbandonedOne(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := New(Settings{FailureThreshold: 1, OpenDuration: time.Second})
	b.Failure(now)
	now = now.Add(time.Second)
	is.True(b.Allow(now))
	b.Abandon(now)
	is.True(b.Allow(now)) // the next caller probes at once
}

func TestBreaker_SuccessResetsTheFailureCount(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := New(Settings{FailureThreshold: 2})
	b.Failure(now)
	b.Success()
	b.Failure(now)
	is.Equal(b.State(), Closed)
}
