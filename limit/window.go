package limit

import "time"

// WindowConfig holds the bounds of a Window.
type WindowConfig struct {
	Length time.Duration

	// Bound is the number of events that may begin in any span of Length.
	Bound int
}

// A Window bounds the events in every span of its length, wherever the span
// begins. It answers bursts that follow a quiet time, which a token bucket of
// the same rate would let through twice over. It is not safe for concurrent
// use.
type Window struct {
	config WindowConfig
	taken  []time.Time
}

// NewWindow returns a window in which nothing has begun.
func NewWindow(config WindowConfig) *Window { return &Window{config: config} }

// SetBound changes the number of events that may begin.
func (window *Window) SetBound(bound int) { window.config.Bound = bound }

// Take counts an event that begins now. It returns how long to wait when the
// window is full, 0 when the event was counted.
func (window *Window) Take(now time.Time) time.Duration {
	window.forget(now)
	if len(window.taken) < window.config.Bound {
		window.taken = append(window.taken, now)
		return 0
	}
	if len(window.taken) == 0 {
		return window.config.Length
	}
	return max(window.taken[0].Add(window.config.Length).Sub(now), time.Millisecond)
}

func (window *Window) forget(now time.Time) {
	kept := 0
	for kept < len(window.taken) && now.Sub(window.taken[kept]) >= window.config.Length {
		kept++
	}
	window.taken = window.taken[kept:]
}
