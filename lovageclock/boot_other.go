//go:build !linux

package lovageclock

import "time"

var start = time.Now()

// Boot returns the time since the process was started. On this system it may leave out suspensions.
func Boot() time.Duration { return time.Since(start) }
