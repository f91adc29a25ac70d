package limit

import "time"

// LoadLimiterConfig holds the bounds of a LoadLimiter.
type LoadLimiterConfig struct {
	// Window bounds the loads that begin in any span of its length.
	Window WindowConfig

	// Parallel is this node's part of the number of concurrent loads up to
	// which the store does not slow down. Beyond that number each load takes
	// proportionally longer.
	Parallel int

	// ReportDelay is the longest time until a granted load is contained in the
	// reports of loading targets.
	ReportDelay time.Duration
}

// A LoadLimiter decides when a load of weights from the shared weight store may
// begin. More than Parallel concurrent loads do not increase the throughput,
// and every group waits until all loads are done. If fewer loads run at once,
// the first groups serve after one load time. This matters when members are
// lost continually, because each broken group then requests a load.
//
// Preloads, which no group waits for, use at most half of the places, so that a
// group that lacks a member does not wait for a preload.
//
// It is not safe for concurrent use.
type LoadLimiter struct {
	config    LoadLimiterConfig
	window    *Window
	grantedAt map[string]time.Time
}

// preloadDivisor limits preloads to 1/preloadDivisor of the concurrent loads.
const preloadDivisor = 2

// NewLoadLimiter returns a limiter without granted loads.
func NewLoadLimiter(config LoadLimiterConfig) *LoadLimiter {
	return &LoadLimiter{config: config, window: NewWindow(config.Window), grantedAt: map[string]time.Time{}}
}

// SetBounds changes the number of loads that may begin in a window and the
// number of concurrent loads.
func (limiter *LoadLimiter) SetBounds(bound, parallel int) {
	limiter.window.SetBound(bound)
	limiter.config.Parallel = parallel
}

// Take requests a load on a target. preload is true if no group waits for the
// load. loading contains the targets that are reported as loading. Take returns
// 0 if the load may begin, and otherwise the time to wait before the next
// request.
func (limiter *LoadLimiter) Take(now time.Time, target string, preload bool, loading map[string]bool) time.Duration {
	running := len(loading)
	for name, at := range limiter.grantedAt {
		if now.Sub(at) >= limiter.config.ReportDelay {
			delete(limiter.grantedAt, name)
			continue
		}
		if !loading[name] {
			running++
		}
	}
	places := limiter.config.Parallel
	if preload {
		places /= preloadDivisor
	}
	if places > 0 && running >= places || limiter.config.Parallel > 0 && places == 0 {
		return limiter.config.ReportDelay
	}
	if wait := limiter.window.Take(now); wait > 0 {
		return wait
	}
	limiter.grantedAt[target] = now
	return 0
}
