package limit

import (
	"math"
	"time"
)

// A correction is the time that first events of a pool take in addition to what the pace of
// its engine and its load explain. It answers constant costs that no field of the
// configuration names, as 93 ms for the first event of each request at one deployment: every
// group then looked a third as loaded as it was.
//
// It follows the lower part of what was measured (correctionUp and correctionDown): constant
// costs are part of every first event, while a queue that the node does not see or a target
// that hangs is part of some. It holds for correctionHold after a measurement, then fades, so
// that a node that refuses everything because of it sends requests again.
type correction struct {
	value time.Duration
	at    time.Time
}

const (
	// maxCorrection bounds a correction. Greater differences are failures of targets, which
	// other decisions handle.
	maxCorrection = 250 * time.Millisecond

	// maxCorrectionStep bounds the difference that one measurement adds, so that a single
	// late first event hardly counts.
	maxCorrectionStep = 50 * time.Millisecond

	// correctionUp and correctionDown are the weights of a measurement above and below the
	// correction. With these it settles where a quarter of the differences lie below it.
	correctionUp   = 0.05
	correctionDown = 0.15

	// correctionHold is how long a correction holds without a measurement, and
	// correctionHalfLife the time in which it then halves.
	correctionHold     = 2 * time.Second
	correctionHalfLife = 2 * time.Second
)

// current returns the correction at a time.
func (measured *correction) current(now time.Time) time.Duration {
	idle := now.Sub(measured.at) - correctionHold
	if idle <= 0 {
		return measured.value
	}
	return time.Duration(float64(measured.value) * math.Exp2(-idle.Seconds()/correctionHalfLife.Seconds()))
}

// correction returns what is added to the predictions of a pool.
func (forecast *Forecast) correction(pool string, now time.Time) time.Duration {
	if measured := forecast.corrections[pool]; measured != nil {
		return measured.current(now)
	}
	return 0
}

// Correction returns what is added to the predictions of a pool.
func (forecast *Forecast) Correction(pool string, now time.Time) time.Duration {
	forecast.mutex.Lock()
	defer forecast.mutex.Unlock()
	return forecast.correction(pool, now)
}

// observe records the difference between a first event of a pool and what was predicted for
// it without a correction.
func (forecast *Forecast) observe(pool string, difference time.Duration, now time.Time) {
	measured := forecast.corrections[pool]
	if measured == nil {
		forecast.dropEndedCorrections(now)
		measured = &correction{}
		forecast.corrections[pool] = measured
	}
	value := measured.current(now)
	step, weight := min(difference-value, maxCorrectionStep), correctionUp
	if step < 0 {
		step, weight = max(step, -maxCorrectionStep), correctionDown
	}
	measured.value = min(max(0, value+time.Duration(weight*float64(step))), maxCorrection)
	measured.at = now
}

// dropEndedCorrections drops the corrections that have faded.
func (forecast *Forecast) dropEndedCorrections(now time.Time) {
	for pool, measured := range forecast.corrections {
		if measured.current(now) < time.Millisecond {
			delete(forecast.corrections, pool)
		}
	}
}
