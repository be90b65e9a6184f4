package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLimit_FollowsTheQueueOfItsEndpoint(t *testing.T) {
	const run, places = 200 * time.Millisecond, 6
	observe := func(l Limit, waited time.Duration, n int) Limit {
		for range n {
			l = l.Observe(waited, run, places)
		}
		return l
	}
	t.Run("all places are used while requests begin at once", func(t *testing.T) {
		is := is.New(t)
		is.Equal(Limit{}.Places(places), places)
		is.Equal(observe(Limit{}, run/4, 100).Places(places), places)
	})
	t.Run("it shrinks while they queue, to one place at the least", func(t *testing.T) {
		is := is.New(t)
		is.True(observe(Limit{}, run, 7).Places(places) <= places/2)
		is.Equal(observe(Limit{}, run, 1000).Places(places), 1)
	})
	t.Run("it grows back", func(t *testing.T) {
		is := is.New(t)
		is.Equal(observe(observe(Limit{}, run, 1000), 0, 60).Places(places), places)
	})
	t.Run("an endpoint without places has none", func(t *testing.T) {
		is := is.New(t)
		is.Equal(Limit{}.Places(0), 0)
	})
}
