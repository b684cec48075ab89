package railclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the clock of this machine.
type Boot struct {
	started time.Time
}

// New returns the clock; where the machine has no clock that counts suspension, it counts from now on without it.
func New() Boot {
	return Boot{started: time.Now()}
}

// Now returns the time since the machine's start.
func (b Boot) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(b.started)
	}
	return time.Duration(ts.Nano())
}
