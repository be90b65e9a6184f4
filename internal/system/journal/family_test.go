package journal

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// A flush must wait for a family's writer that is still buffering. If the flush
// skipped the family instead, platformDown would stay set after the platform is
// available again.
func TestFamily_RetryWaitsForTheWriterThatBuffers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFamily(testRoot, 1, "vm-1", nil)
		is.True(f.claimWriter())
		f.platformDown = true
		claimed := make(chan bool, 1)
		go func() { claimed <- f.claimWriterForRetry() }()
		synctest.Wait()
		is.Equal(len(claimed), 0)
		_, _, err := f.nextWork(false) // no entry left to buffer
		is.NoErr(err)
		is.True(<-claimed)
	})
}
