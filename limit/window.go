package limit

import "time"

// WindowConfig holds the bounds of a Window.
type WindowConfig struct {
	Length time.Duration

	// Bound is the number of events that may begin in any span of Length.
	Bound int
}

// A Window bounds the number of events in every span of its length, wherever
// the span begins. After an idle time, a token bucket of the same rate would
// allow twice the bound in such a span.
//
// It is not safe for concurrent use.
type Window struct {
	config WindowConfig
	events []time.Time
}

// NewWindow returns a window without events.
func NewWindow(config WindowConfig) *Window { return &Window{config: config} }

// SetBound changes the number of events that may begin in a span.
func (window *Window) SetBound(bound int) { window.config.Bound = bound }

// Take records an event that begins now and returns 0, or, if the window is
// full, returns the time to wait without recording the event.
func (window *Window) Take(now time.Time) time.Duration {
	window.dropExpired(now)
	if len(window.events) < window.config.Bound {
		window.events = append(window.events, now)
		return 0
	}
	if len(window.events) == 0 {
		return window.config.Length
	}
	return max(window.events[0].Add(window.config.Length).Sub(now), time.Millisecond)
}

// Fill records events that others may have begun, as if they began now.
func (window *Window) Fill(count int, now time.Time) {
	for range count {
		window.events = append(window.events, now)
	}
}

// Full reports whether no event may begin now.
func (window *Window) Full(now time.Time) bool {
	window.dropExpired(now)
	return len(window.events) >= window.config.Bound
}

func (window *Window) dropExpired(now time.Time) {
	kept := 0
	for kept < len(window.events) && now.Sub(window.events[kept]) >= window.config.Length {
		kept++
	}
	window.events = window.events[kept:]
}
