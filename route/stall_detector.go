package route

import (
	"sync"
	"time"
)

// StallDetectorConfig configures a StallDetector.
type StallDetectorConfig struct {
	// MinEventGap is the minimum time without an event after which a stream that
	// had an event can be reported as stalled. MinFirstEventGap is that time for
	// a stream that had none, whose engine may still be reading the prompt.
	MinEventGap      time.Duration
	MinFirstEventGap time.Duration
}

const (
	// gapFactor is the multiple of the mean gap for which a target may send no
	// events. A pass of an engine that reads long prompts takes two or three times
	// as long as other passes.
	gapFactor = 4

	// gapWeight is the weight of the latest gap in the moving average.
	gapWeight = 0.1
)

// A StallDetector detects targets all of whose streams have stalled. An engine
// that has lost a member accepts requests but sends nothing until it fails after
// several seconds, which is long before its entry in the store expires. All its
// streams stall at the same time, while one slow stream does not affect the
// others. A StallDetector is safe for concurrent use.
type StallDetector struct {
	config StallDetectorConfig

	mutex   sync.Mutex
	targets map[string]*targetStreams
}

// targetStreams holds the streams in progress at one target.
type targetStreams struct {
	streams map[*MonitoredStream]bool

	// lastEvent is the time of the latest event of any stream. meanGap is the
	// moving average of the time between two events of a stream.
	lastEvent time.Time
	meanGap   time.Duration
}

// A MonitoredStream is a stream in progress.
type MonitoredStream struct {
	detector *StallDetector
	target   string

	// waitingSince is the time of the last event, or of the start of a stream
	// without events.
	waitingSince time.Time

	// started is true after the first event.
	started bool
	cancel  func()
}

// NewStallDetector returns a detector without streams.
func NewStallDetector(config StallDetectorConfig) *StallDetector {
	return &StallDetector{config: config, targets: map[string]*targetStreams{}}
}

// Begin adds a stream. cancel is called if its target stalls.
func (detector *StallDetector) Begin(target string, now time.Time, cancel func()) *MonitoredStream {
	stream := &MonitoredStream{detector: detector, target: target, waitingSince: now, cancel: cancel}
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	record := detector.targets[target]
	if record == nil {
		record = &targetStreams{streams: map[*MonitoredStream]bool{}}
		detector.targets[target] = record
	}
	record.streams[stream] = true
	return stream
}

// Event records that an event of the stream was received.
func (stream *MonitoredStream) Event(now time.Time) {
	detector := stream.detector
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	record := detector.targets[stream.target]
	if record == nil {
		return
	}
	if stream.started {
		record.meanGap += time.Duration(gapWeight * float64(now.Sub(stream.waitingSince)-record.meanGap))
	}
	stream.started = true
	stream.waitingSince = now
	record.lastEvent = now
}

// End removes the stream.
func (stream *MonitoredStream) End() {
	detector := stream.detector
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	record := detector.targets[stream.target]
	if record == nil {
		return
	}
	delete(record.streams, stream)
	if len(record.streams) == 0 {
		delete(detector.targets, stream.target)
	}
}

// A StalledTarget is a target whose streams have stalled.
type StalledTarget struct {
	Name string

	// Streams is the number of its streams, and Silence the time since the latest event of
	// any of them.
	Streams int
	Silence time.Duration
}

// CancelStalled cancels the streams of stalled targets and returns these targets.
func (detector *StallDetector) CancelStalled(now time.Time) []StalledTarget {
	detector.mutex.Lock()
	var targets []StalledTarget
	var cancelled []*MonitoredStream
	for name, record := range detector.targets {
		if !detector.stalled(record, now) {
			continue
		}
		targets = append(targets, StalledTarget{Name: name, Streams: len(record.streams), Silence: now.Sub(record.lastEvent)})
		for stream := range record.streams {
			cancelled = append(cancelled, stream)
		}
	}
	detector.mutex.Unlock()
	for _, stream := range cancelled {
		stream.cancel()
	}
	return targets
}

// stalled reports whether a stream has had no event for longer than its bound and
// no other stream of the target had one in that time.
func (detector *StallDetector) stalled(record *targetStreams, now time.Time) bool {
	for stream := range record.streams {
		bound := detector.config.MinFirstEventGap
		if stream.started {
			bound = max(detector.config.MinEventGap, gapFactor*record.meanGap)
		}
		if now.Sub(stream.waitingSince) > bound && now.Sub(record.lastEvent) > bound {
			return true
		}
	}
	return false
}
