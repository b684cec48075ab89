package railclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock reads the clock of this VM that starts at boot and includes time suspended.
type BootClock struct {
	started time.Time
}

// New returns the clock; where the machine has no clock that counts suspension, it counts from now on without it.
func New() BootClock {
	return BootClock{started: time.Now()}
}

// Now returns the time since the machine's start.
func (b BootClock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(b.started)
	}
	return time.Duration(ts.Nano())
}
