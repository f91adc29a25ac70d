package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// A BootClock reads the time since the machine's start, which goes on while
// the machine is suspended. The runtime's monotonic clock does not, so that a
// lease or a fence that lapsed meanwhile would still look valid.
type BootClock struct {
	base  time.Time
	start time.Duration
}

// NewBootClock returns a clock whose times are comparable with each other only.
// It returns nil when the system has no such clock.
func NewBootClock() *BootClock {
	start, err := sinceBoot()
	if err != nil {
		return nil
	}
	return &BootClock{base: time.Now().Round(0), start: start}
}

// Now returns the time. It carries no monotonic reading.
func (clock *BootClock) Now() time.Time {
	elapsed, err := sinceBoot()
	if err != nil {
		// The clock worked at the start, so this cannot fail on Linux.
		panic("timer: boot clock: " + err.Error())
	}
	return clock.base.Add(elapsed - clock.start)
}

func sinceBoot() (time.Duration, error) {
	var value unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &value); err != nil {
		return 0, err
	}
	return time.Duration(value.Nano()), nil
}
