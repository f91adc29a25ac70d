package route

import (
	"sync"
	"time"
)

// PulseConfig configures a Pulse.
type PulseConfig struct {
	// WriteGap is the minimum time without an event after which a stream that had
	// an event can be reported as stalled. ReadGap is that time for a stream that
	// had none, whose engine may still be reading the prompt.
	WriteGap time.Duration
	ReadGap  time.Duration
}

const (
	// gapFactor is the multiple of the mean gap for which a target may send no
	// events. An engine step that reads long prompts takes two or three times as
	// long as other steps.
	gapFactor = 4

	// gapWeight is the weight of the latest gap in the moving average.
	gapWeight = 0.1
)

// A Pulse detects targets all of whose streams have stalled. An engine that has
// lost a member accepts requests but sends nothing until it fails after several
// seconds, which is long before its entry in the store expires. All its streams
// stall at the same time, while one slow stream does not affect the others. A
// Pulse is safe for concurrent use.
type Pulse struct {
	config PulseConfig

	mutex   sync.Mutex
	targets map[string]*targetStreams
}

// targetStreams holds the streams in progress at one target.
type targetStreams struct {
	streams map[*Stroke]bool

	// lastEvent is the time of the latest event of any stream. meanGap is the
	// moving average of the time between two events of a stream.
	lastEvent time.Time
	meanGap   time.Duration
}

// A Stroke is a stream in progress.
type Stroke struct {
	pulse  *Pulse
	target string

	// waitingSince is the time of the last event, or of the start of a stream
	// without events.
	waitingSince time.Time

	// started is true after the first event.
	started bool
	cancel  func()
}

// NewPulse returns a Pulse without streams.
func NewPulse(config PulseConfig) *Pulse {
	return &Pulse{config: config, targets: map[string]*targetStreams{}}
}

// Begin adds a stream. cancel is called if its target stalls.
func (pulse *Pulse) Begin(target string, now time.Time, cancel func()) *Stroke {
	stroke := &Stroke{pulse: pulse, target: target, waitingSince: now, cancel: cancel}
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	record := pulse.targets[target]
	if record == nil {
		record = &targetStreams{streams: map[*Stroke]bool{}}
		pulse.targets[target] = record
	}
	record.streams[stroke] = true
	return stroke
}

// Event records that an event of the stream was received.
func (stroke *Stroke) Event(now time.Time) {
	pulse := stroke.pulse
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	record := pulse.targets[stroke.target]
	if record == nil {
		return
	}
	if stroke.started {
		record.meanGap += time.Duration(gapWeight * float64(now.Sub(stroke.waitingSince)-record.meanGap))
	}
	stroke.started = true
	stroke.waitingSince = now
	record.lastEvent = now
}

// End removes the stream.
func (stroke *Stroke) End() {
	pulse := stroke.pulse
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	record := pulse.targets[stroke.target]
	if record == nil {
		return
	}
	delete(record.streams, stroke)
	if len(record.streams) == 0 {
		delete(pulse.targets, stroke.target)
	}
}

// Still cancels the streams of stalled targets and returns the names of these
// targets.
func (pulse *Pulse) Still(now time.Time) []string {
	pulse.mutex.Lock()
	var names []string
	var cancelled []*Stroke
	for name, record := range pulse.targets {
		if !pulse.stalled(record, now) {
			continue
		}
		names = append(names, name)
		for stroke := range record.streams {
			cancelled = append(cancelled, stroke)
		}
	}
	pulse.mutex.Unlock()
	for _, stroke := range cancelled {
		stroke.cancel()
	}
	return names
}

// stalled reports whether a stream has had no event for longer than its bound and
// no other stream of the target had one in that time.
func (pulse *Pulse) stalled(record *targetStreams, now time.Time) bool {
	for stroke := range record.streams {
		bound := pulse.config.ReadGap
		if stroke.started {
			bound = max(pulse.config.WriteGap, gapFactor*record.meanGap)
		}
		if now.Sub(stroke.waitingSince) > bound && now.Sub(record.lastEvent) > bound {
			return true
		}
	}
	return false
}
