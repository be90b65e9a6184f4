package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSystem_NowAdvancesByTheTimeWaited(t *testing.T) {
	is := is.New(t)
	const wait = 20 * time.Millisecond
	before := System{}.Now()
	<-System{}.After(wait)
	is.True(System{}.Now()-before >= wait)
	is.True(!System{}.Wall().IsZero())
}
