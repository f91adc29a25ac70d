package route

import (
	"sync"
	"time"
)

// PulseConfig holds the bounds of a Pulse.
type PulseConfig struct {
	// WriteGap is the least silence between two events of a stream, and ReadGap
	// the least silence before its first event, that counts as a sign.
	WriteGap time.Duration
	ReadGap  time.Duration
}

const (
	// gapFactor is how many usual gaps a target may be silent: a pass that reads
	// long prompts takes two or three times as long as others.
	gapFactor = 4

	// gapWeight weighs the newest gap in the moving average.
	gapWeight = 0.1
)

// A Pulse notices targets whose streams stand still together. An engine that
// has lost a member accepts requests and answers nothing until it gives up
// after seconds, long before its entry lapses; all its streams fall silent at
// the same moment, while a single slow stream leaves the others going. It is
// safe for concurrent use.
type Pulse struct {
	config PulseConfig

	mutex   sync.Mutex
	targets map[string]*beats
}

// beats is what is known of one target's streams.
type beats struct {
	strokes map[*Stroke]bool

	// last is the latest event of any stream, usual the average gap.
	last  time.Time
	usual time.Duration
}

// A Stroke is one stream in progress.
type Stroke struct {
	pulse  *Pulse
	target string
	since  time.Time
	writes bool
	cancel func()
}

// NewPulse returns a pulse without streams.
func NewPulse(config PulseConfig) *Pulse {
	return &Pulse{config: config, targets: map[string]*beats{}}
}

// Begin counts a stream. cancel is called when its target stands still.
func (pulse *Pulse) Begin(target string, now time.Time, cancel func()) *Stroke {
	stroke := &Stroke{pulse: pulse, target: target, since: now, cancel: cancel}
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	known := pulse.targets[target]
	if known == nil {
		known = &beats{strokes: map[*Stroke]bool{}}
		pulse.targets[target] = known
	}
	known.strokes[stroke] = true
	return stroke
}

// Event says that the stream brought an event.
func (stroke *Stroke) Event(now time.Time) {
	pulse := stroke.pulse
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	known := pulse.targets[stroke.target]
	if known == nil {
		return
	}
	if stroke.writes {
		known.usual += time.Duration(gapWeight * float64(now.Sub(stroke.since)-known.usual))
	}
	stroke.writes = true
	stroke.since = now
	known.last = now
}

// End ends the stream.
func (stroke *Stroke) End() {
	pulse := stroke.pulse
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	known := pulse.targets[stroke.target]
	if known == nil {
		return
	}
	delete(known.strokes, stroke)
	if len(known.strokes) == 0 {
		delete(pulse.targets, stroke.target)
	}
}

// Still cancels the streams of the targets that stand still and returns the
// targets' names.
func (pulse *Pulse) Still(now time.Time) []string {
	pulse.mutex.Lock()
	var names []string
	var cancelled []*Stroke
	for name, known := range pulse.targets {
		if !pulse.still(known, now) {
			continue
		}
		names = append(names, name)
		for stroke := range known.strokes {
			cancelled = append(cancelled, stroke)
		}
	}
	pulse.mutex.Unlock()
	for _, stroke := range cancelled {
		stroke.cancel()
	}
	return names
}

// still reports whether a stream waits too long and no other stream had an
// event meanwhile.
func (pulse *Pulse) still(known *beats, now time.Time) bool {
	for stroke := range known.strokes {
		bound := pulse.config.ReadGap
		if stroke.writes {
			bound = max(pulse.config.WriteGap, gapFactor*known.usual)
		}
		if now.Sub(stroke.since) > bound && now.Sub(known.last) > bound {
			return true
		}
	}
	return false
}
