package rolling

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type count int

func (c count) Plus(o count) count { return c + o }

func TestSum_DropsValuesOlderThanTheWindow(t *testing.T) {
	is := is.New(t)
	const length = 10 * time.Second
	var s Sum[count]
	s.Add(time.Second, length, 3)
	s.Add(9*time.Second, length, 2)
	is.Equal(s.Total(9*time.Second, length), count(5))
	is.Equal(s.Total(12*time.Second, length), count(2))
	is.Equal(s.Total(time.Hour, length), count(0))
}

// TestSum_CoversTheWindow checks a sum against the values of the last nine
// segments, which it must include, and of the last ten, which it must not exceed.
func TestSum_CoversTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = time.Second
		type added struct {
			at time.Duration
			n  count
		}
		var s Sum[count]
		var all []added
		now := time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "values") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			a := added{now, count(rapid.IntRange(1, 9).Draw(t, "n"))}
			s.Add(a.at, length, a.n)
			all = append(all, a)
			var least, most count
			for _, a := range all {
				if now-a.at <= length*9/10 {
					least += a.n
				}
				if now-a.at <= length {
					most += a.n
				}
			}
			if got := s.Total(now, length); got < least || got > most {
				t.Fatalf("sum %d, want %d to %d", got, least, most)
			}
		}
	})
}
