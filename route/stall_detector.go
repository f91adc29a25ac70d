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

	// MaxEventGap is the time without an event after which a single stream that had an
	// event is suspected, whatever the other streams of its target do.
	MaxEventGap time.Duration
}

const (
	// gapFactor is the multiple of the mean gap for which a target may send no
	// events. A pass of an engine that reads long prompts takes two or three times
	// as long as other passes.
	gapFactor = 4

	// gapWeight is the weight of the latest gap in the moving average.
	gapWeight = 0.1

	// suspicionInterval is the time after which a stream that still has no event is
	// suspected again.
	suspicionInterval = time.Second
)

// A StallDetector detects targets all of whose streams have stalled. An engine
// that has lost a member accepts requests but sends nothing until it fails after
// several seconds, which is long before its entry in the store expires. All its
// streams stall at the same time, while one slow stream does not affect the
// others. It also detects single streams without events for long. A sound engine may
// be silent for a second and go on, so that a stall is a suspicion only. A
// StallDetector is safe for concurrent use.
type StallDetector struct {
	config StallDetectorConfig

	mutex   sync.Mutex
	targets map[string]*targetStreams
}

// targetStreams holds the streams in progress at one target.
type targetStreams struct {
	streams map[*MonitoredStream]bool

	// lastEvent is the time of the latest event of any stream, or of the start of the first
	// stream while there was none. meanGap is the
	// moving average of the time between two events of a stream.
	lastEvent time.Time
	meanGap   time.Duration

	// reportedAt is when the target was last reported as stalled, zero after an event.
	reportedAt time.Time
}

// A MonitoredStream is a stream in progress.
type MonitoredStream struct {
	detector *StallDetector
	target   string

	// waitingSince is the time of the last event, or of the start of a stream
	// without events. held is true while the last one waits for the caller.
	waitingSince time.Time
	held         bool

	// started is true after the first event. maxFirstGap is the time without one after
	// which the stream is suspected.
	started     bool
	maxFirstGap time.Duration

	// suspectedAt is when the stream was last suspected, zero after an event.
	suspectedAt time.Time
	suspect     func()
}

// NewStallDetector returns a detector without streams.
func NewStallDetector(config StallDetectorConfig) *StallDetector {
	return &StallDetector{config: config, targets: map[string]*targetStreams{}}
}

// Begin adds a stream. suspect is called if its target stalls, or if it has no first event
// for maxFirstGap, and again while that lasts.
func (detector *StallDetector) Begin(target string, maxFirstGap time.Duration, now time.Time, suspect func()) *MonitoredStream {
	stream := &MonitoredStream{detector: detector, target: target, waitingSince: now, maxFirstGap: maxFirstGap, suspect: suspect}
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	record := detector.targets[target]
	if record == nil {
		record = &targetStreams{streams: map[*MonitoredStream]bool{}, lastEvent: now}
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
	stream.suspectedAt = time.Time{}
	record.lastEvent = now
	record.reportedAt = time.Time{}
}

// Hold records that the last event waits for the caller, who reads slowly. The stream is not
// suspected until the next call of Await.
func (stream *MonitoredStream) Hold() {
	detector := stream.detector
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	stream.held = true
}

// Await records that the last event was passed on and the next one is awaited.
func (stream *MonitoredStream) Await(now time.Time) {
	detector := stream.detector
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	stream.held = false
	stream.waitingSince = now
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
	// any of them, or since the first of them began.
	Streams int
	Silence time.Duration
}

// SuspectStalled suspects the streams of stalled targets and single streams without events
// for long. It returns the targets whose streams stalled or are still stalled after
// suspicionInterval.
func (detector *StallDetector) SuspectStalled(now time.Time) []StalledTarget {
	detector.mutex.Lock()
	var targets []StalledTarget
	var suspected []*MonitoredStream
	for name, record := range detector.targets {
		stalled := detector.stalled(record, now)
		for stream := range record.streams {
			if stream.held || !stalled && !detector.overdue(stream, now) || now.Sub(stream.suspectedAt) < suspicionInterval {
				continue
			}
			stream.suspectedAt = now
			suspected = append(suspected, stream)
		}
		if stalled && now.Sub(record.reportedAt) >= suspicionInterval {
			record.reportedAt = now
			targets = append(targets, StalledTarget{Name: name, Streams: len(record.streams), Silence: now.Sub(record.lastEvent)})
		}
	}
	detector.mutex.Unlock()
	for _, stream := range suspected {
		stream.suspect()
	}
	return targets
}

// overdue reports whether a single stream has had no event for too long.
func (detector *StallDetector) overdue(stream *MonitoredStream, now time.Time) bool {
	bound := stream.maxFirstGap
	if stream.started {
		bound = detector.config.MaxEventGap
	}
	return now.Sub(stream.waitingSince) > bound
}

// stalled reports whether a stream has had no event for longer than its bound and
// no other stream of the target had one in that time.
func (detector *StallDetector) stalled(record *targetStreams, now time.Time) bool {
	for stream := range record.streams {
		bound := detector.config.MinFirstEventGap
		if stream.started {
			bound = max(detector.config.MinEventGap, gapFactor*record.meanGap)
		}
		if !stream.held && now.Sub(stream.waitingSince) > bound && now.Sub(record.lastEvent) > bound {
			return true
		}
	}
	return false
}
