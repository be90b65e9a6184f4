package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLag_IsNotedAtOnceAndForgottenSlowly(t *testing.T) {
	is := is.New(t)
	var l Lag
	is.Equal(l.Allow(), time.Duration(0))
	l.Note(3 * time.Millisecond) // as at any time
	is.Equal(l.Allow(), time.Duration(0))
	l.Note(100 * time.Millisecond)
	is.Equal(l.Late(), 100*time.Millisecond)
	for range 10 {
		l.Note(0)
	}
	is.True(l.Late() > 50*time.Millisecond)
	for range 200 {
		l.Note(0)
	}
	is.Equal(l.Late(), time.Duration(0))
	is.Equal((*Lag)(nil).Allow(), time.Duration(0))
}
