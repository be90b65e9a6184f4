package journal

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// A probe that passed over a family whose goroutine was still buffering left it
// down after the platform was back.
func TestFamily_AProbeWaitsForTheGoroutineThatBuffers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFamily(testRoot, 1, "vm-1", nil)
		is.True(f.begin())
		f.down = true
		probed := make(chan bool, 1)
		go func() { probed <- f.beginProbe() }()
		synctest.Wait()
		is.Equal(len(probed), 0)
		_, _, err := f.next(false) // nothing left to buffer
		is.NoErr(err)
		is.True(<-probed)
	})
}
