package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// A BootClock measures time since the machine's boot, including the time during
// which the machine is suspended. The Go runtime's monotonic clock stops during
// suspension, so a lease or a fence that expired meanwhile would still appear
// valid.
type BootClock struct {
	base  time.Time
	start time.Duration
}

// NewBootClock returns a clock whose times can be compared only with each other.
// It returns nil if the system has no CLOCK_BOOTTIME.
func NewBootClock() *BootClock {
	start, err := sinceBoot()
	if err != nil {
		return nil
	}
	return &BootClock{base: time.Now().Round(0), start: start}
}

// Now returns the current time, without a monotonic clock reading.
func (clock *BootClock) Now() time.Time {
	elapsed, err := sinceBoot()
	if err != nil {
		// NewBootClock has read the clock successfully, so Linux cannot return
		// an error here.
		panic("timer: read boot clock: " + err.Error())
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
