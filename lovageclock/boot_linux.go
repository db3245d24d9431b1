package lovageclock

import (
	"time"

	"golang.org/x/sys/unix"
)

var start = time.Now()

// Boot returns the time since the machine was booted, suspensions included. If the kernel has no such clock, it returns the
// time since the process was started, without suspensions.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
