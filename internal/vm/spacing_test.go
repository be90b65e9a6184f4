package vm

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSpacingFor_KeepsTheFleetsWriteRate(t *testing.T) {
	cases := []struct {
		name string
		dcs  int
		want time.Duration
	}{
		{"one data centre uses the configured interval", 1, 20 * time.Millisecond},
		{"three data centres use the configured interval", 3, 20 * time.Millisecond},
		{"twelve data centres each write a quarter as often", 12, 80 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(spacingFor(20*time.Millisecond, c.dcs), c.want)
		})
	}
}
