package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLag_RisesAtOnceAndDecaysSlowly(t *testing.T) {
	is := is.New(t)
	var l Lag
	is.Equal(l.TimeoutExtension(), time.Duration(0))
	l.Observe(3 * time.Millisecond) // usual delay of a timer
	is.Equal(l.TimeoutExtension(), time.Duration(0))
	l.Observe(100 * time.Millisecond)
	is.Equal(l.Current(), 100*time.Millisecond)
	for range 10 {
		l.Observe(0)
	}
	is.True(l.Current() > 50*time.Millisecond)
	for range 200 {
		l.Observe(0)
	}
	is.Equal(l.Current(), time.Duration(0))
	is.Equal((*Lag)(nil).TimeoutExtension(), time.Duration(0))
}
