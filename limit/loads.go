package limit

import "time"

// LoadsConfig holds the bounds of Loads.
type LoadsConfig struct {
	// Window bounds the loads that begin in any span.
	Window WindowConfig

	// Parallel is this node's part of the loads beyond which each takes
	// proportionally longer.
	Parallel int

	// Announce is how long a load that was granted may take to show in the
	// reports.
	Announce time.Duration
}

// Loads decides when a load from the shared weight store may begin. Beyond
// Parallel loads at once nothing is gained and every group waits for all of
// them; one after the other, the first groups serve after one load time. It
// answers the steady loss of members after which each broken group asks for a
// load.
//
// Loads that nothing waits for take half of the places at most, so that a group
// that lacks a member does not wait for one. It is not safe for concurrent use.
type Loads struct {
	config  LoadsConfig
	window  *Window
	granted map[string]time.Time
}

// aheadDivisor is the inverse of the part of the places that loads take which
// nothing waits for.
const aheadDivisor = 2

// NewLoads returns loads of which none has begun.
func NewLoads(config LoadsConfig) *Loads {
	return &Loads{config: config, window: NewWindow(config.Window), granted: map[string]time.Time{}}
}

// SetBounds changes the loads that may begin in a window, and at once.
func (loads *Loads) SetBounds(bound, parallel int) {
	loads.window.SetBound(bound)
	loads.config.Parallel = parallel
}

// Take asks for a load on a target; ahead says that nothing waits for it. loading
// are the targets that load now.
// It returns how long to wait, 0 when the load may begin.
func (loads *Loads) Take(now time.Time, target string, ahead bool, loading map[string]bool) time.Duration {
	running := len(loading)
	for name, at := range loads.granted {
		if now.Sub(at) >= loads.config.Announce {
			delete(loads.granted, name)
			continue
		}
		if !loading[name] {
			running++
		}
	}
	places := loads.config.Parallel
	if ahead {
		places /= aheadDivisor
	}
	if places > 0 && running >= places || loads.config.Parallel > 0 && places == 0 {
		return loads.config.Announce
	}
	if wait := loads.window.Take(now); wait > 0 {
		return wait
	}
	loads.granted[target] = now
	return 0
}
