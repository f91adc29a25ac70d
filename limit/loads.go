package limit

import "time"

// LoadsConfig holds the bounds of Loads.
type LoadsConfig struct {
	// Window bounds the loads that begin in any span of its length.
	Window WindowConfig

	// Parallel is this node's part of the number of concurrent loads up to
	// which the store does not slow down. Beyond that number each load takes
	// proportionally longer.
	Parallel int

	// Announce is the longest time until a granted load is contained in the
	// reports of loading targets.
	Announce time.Duration
}

// Loads decides when a load of weights from the shared weight store may begin.
// More than Parallel concurrent loads do not increase the throughput, and every
// group waits until all loads are done. If fewer loads run at once, the first
// groups serve after one load time. This matters when members are lost
// continually, because each broken group then requests a load.
//
// Preloads, which no group waits for, use at most half of the places, so that a
// group that lacks a member does not wait for a preload.
//
// It is not safe for concurrent use.
type Loads struct {
	config    LoadsConfig
	window    *Window
	grantedAt map[string]time.Time
}

// preloadDivisor limits preloads to 1/preloadDivisor of the concurrent loads.
const preloadDivisor = 2

// NewLoads returns a Loads without granted loads.
func NewLoads(config LoadsConfig) *Loads {
	return &Loads{config: config, window: NewWindow(config.Window), grantedAt: map[string]time.Time{}}
}

// SetBounds changes the number of loads that may begin in a window and the
// number of concurrent loads.
func (loads *Loads) SetBounds(bound, parallel int) {
	loads.window.SetBound(bound)
	loads.config.Parallel = parallel
}

// Take requests a load on a target. preload is true if no group waits for the
// load. loading contains the targets that are reported as loading. Take returns
// 0 if the load may begin, and otherwise the time to wait before the next
// request.
func (loads *Loads) Take(now time.Time, target string, preload bool, loading map[string]bool) time.Duration {
	running := len(loading)
	for name, at := range loads.grantedAt {
		if now.Sub(at) >= loads.config.Announce {
			delete(loads.grantedAt, name)
			continue
		}
		if !loading[name] {
			running++
		}
	}
	places := loads.config.Parallel
	if preload {
		places /= preloadDivisor
	}
	if places > 0 && running >= places || loads.config.Parallel > 0 && places == 0 {
		return loads.config.Announce
	}
	if wait := loads.window.Take(now); wait > 0 {
		return wait
	}
	loads.grantedAt[target] = now
	return 0
}
