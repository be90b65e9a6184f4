package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// monotonic reads CLOCK_BOOTTIME, which unlike CLOCK_MONOTONIC includes the time
// during which the machine was suspended.
func monotonic() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(origin)
	}
	return time.Duration(ts.Nano())
}

// origin is the origin of the time on kernels without CLOCK_BOOTTIME.
var origin = time.Now()
