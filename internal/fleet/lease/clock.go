package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since an arbitrary start. It never goes back, can't be set,
// and counts the time during which the machine is suspended.
type Clock interface {
	Now() time.Duration
}

// BootClock is the machine's clock since boot, suspend included.
type BootClock struct{}

// Now implements Clock. Go's own monotonic clock stops during suspend, so by it a holder
// that was suspended beyond the end of its lease would still regard the lease as valid.
func (BootClock) Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("lease: no boot-time clock: " + err.Error()) // every Linux since 2.6.39 has it
	}
	return time.Duration(now.Nano())
}
