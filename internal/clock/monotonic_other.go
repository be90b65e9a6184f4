//go:build !linux

package clock

import "time"

var origin = time.Now()

// monotonic returns the time since the start of the process. Whether it includes the
// time during which the machine was suspended depends on the operating system.
func monotonic() time.Duration { return time.Since(origin) }
