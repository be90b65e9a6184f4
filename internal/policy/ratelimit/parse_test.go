package ratelimit

import (
	"testing"

	"github.com/matryer/is"
)

func TestParse_TakesPlainDecimalsOnly(t *testing.T) {
	for text, want := range map[string]float64{"8": 8, "9.2": 9.2, "0.25": 0.25, " 6.7 ": 6.7, "0": 0, ".5": .5, "5.": 5} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			got, ok := Parse(text)
			is.True(ok)
			is.Equal(got, want)
		})
	}
	for _, text := range []string{"", " ", ".", "-1", "+1", "1e3", "0x10", "inf", "NaN", "1,5", "5, 6", "1.2.3", "1_0", "five", "5 rps", "12345678901234567890123456789012345"} {
		t.Run("unreadable: "+text, func(t *testing.T) {
			is := is.New(t)
			_, ok := Parse(text)
			is.True(!ok)
		})
	}
}
