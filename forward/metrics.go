package forward

import (
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingspoke.org/lacewingspoke/limit"
)

const metricsPrefix = "lacewingspoke_forward_"

type metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	retries  *prometheus.CounterVec
	dials    *prometheus.CounterVec
	resumed  *prometheus.CounterVec
	relayed  *prometheus.CounterVec
	failures *prometheus.CounterVec

	lostServices prometheus.Counter
	rests        prometheus.Counter
	coldRefused  prometheus.Counter

	duration   *prometheus.HistogramVec
	firstEvent prometheus.Histogram

	// predictionError is negative for first events that came later than predicted.
	predictionError prometheus.Histogram
}

// errorBuckets range, in seconds, from first events that came a second late to ones that came
// as much early.
var errorBuckets = []float64{-1, -0.4, -0.2, -0.1, -0.05, -0.02, 0, 0.02, 0.05, 0.1, 0.2, 0.4, 1}

// durationBuckets range, in seconds, from the response time of a plain service
// to the longest timeout.
var durationBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8}

func newMetrics(config Config, bodies *limit.Bytes) (*metrics, error) {
	registered := &metrics{
		requests: newCounterVec("requests_total", "Requests answered.", "kind", "outcome"),
		attempts: newCounterVec("attempts_total", "Attempts at targets.", "kind", "result"),
		retries:  newCounterVec("retries_total", "Retries by decision.", "decision"),
		dials:    newCounterVec("connections_total", "Connections to targets.", "result"),
		relayed:  newCounterVec("relayed_total", "Requests sent to targets for other nodes or by them.", "direction", "outcome"),
		failures: newCounterVec("target_failures_total", "Answers of targets with a status that is no success, by the target's statement that it has not run the request, or its lack.", "class", "statement"),
		lostServices: prometheus.NewCounter(prometheus.CounterOpts{
			Name: metricsPrefix + "lost_services_total", Help: "Times that this node has lost the targets of a service.",
		}),
		rests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: metricsPrefix + "rests_total", Help: "Answers in which a target asked for a rest.",
		}),
		coldRefused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: metricsPrefix + "cold_refused_total", Help: "Requests that were not written to a chosen target because it had become cold.",
		}),
		resumed: newCounterVec("resumed_total", "Started streams that moved to another group, were kept after a stall, or were aborted.", "result"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: metricsPrefix + "duration_seconds", Help: "Time from a request to the end of its answer.", Buckets: durationBuckets,
		}, []string{"kind"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: metricsPrefix + "first_event_seconds", Help: "Time from a request to the first event of its stream.", Buckets: durationBuckets,
		}),
	}
	registered.predictionError = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: metricsPrefix + "first_event_prediction_error_seconds", Help: "Predicted time to a first event minus the observed one.", Buckets: errorBuckets,
	})
	limitedTargets := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: metricsPrefix + "limited_targets", Help: "Targets that name a limit of requests in their answers.",
	}, func() float64 { return float64(config.Limits.Limited()) })
	coldTargets := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: metricsPrefix + "cold_targets", Help: "Targets that are cold or in their slow start.",
	}, func() float64 { return float64(config.Cold.Bounded(config.Now())) })
	heldBytes := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: metricsPrefix + "held_bytes", Help: "Bytes of the bodies of requests and answers that count towards their bound.",
	}, func() float64 { return float64(bodies.Used()) })
	collectors := []prometheus.Collector{
		registered.requests, registered.attempts, registered.retries, registered.dials,
		registered.resumed, registered.relayed, registered.failures, registered.lostServices, registered.rests, registered.duration, registered.firstEvent, registered.predictionError, limitedTargets, coldTargets, registered.coldRefused, heldBytes,
	}
	for _, collector := range collectors {
		if err := config.Registerer.Register(collector); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return registered, nil
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricsPrefix + name, Help: help}, labels)
}
