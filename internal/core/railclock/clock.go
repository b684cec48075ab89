package railclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock reads the boot clock of this VM. It must be created with New.
type BootClock struct {
	createdAt time.Time
}

// New returns a boot clock. If the VM has no boot clock, the time is counted from this call and excludes suspension.
func New() BootClock {
	return BootClock{createdAt: time.Now()}
}

// Now returns the time since the VM was booted, including the time it was suspended.
func (b BootClock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(b.createdAt)
	}
	return time.Duration(ts.Nano())
}
