package entry

import (
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const metricsPrefix = "lacewingspoke_entry_"

type metrics struct {
	requests         *prometheus.CounterVec
	notAdmitted      *prometheus.CounterVec
	attempts         *prometheus.CounterVec
	retries          *prometheus.CounterVec
	resumptions      *prometheus.CounterVec
	droppedPieces    *prometheus.CounterVec
	cutStreams       *prometheus.CounterVec
	bookings         *prometheus.CounterVec
	claimWrites      *prometheus.CounterVec
	promptTokens     *prometheus.CounterVec
	pieces           prometheus.Counter
	cancels          prometheus.Counter
	firstText        prometheus.Histogram
	confirmationWait prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	registered := &metrics{
		requests:      newCounterVec("requests_total", "Requests answered.", "kind", "outcome"),
		notAdmitted:   newCounterVec("not_admitted_total", "Requests refused by admission.", "cause"),
		attempts:      newCounterVec("attempts_total", "Attempts at targets.", "kind", "result"),
		retries:       newCounterVec("retries_total", "Retries by decision of the retry budget.", "decision"),
		resumptions:   newCounterVec("resumptions_total", "Drafts that went on at another attempt after delivered pieces.", "cause"),
		droppedPieces: newCounterVec("dropped_pieces_total", "Pieces that were not delivered.", "cause"),
		cutStreams:    newCounterVec("cut_streams_total", "Streams that were reset before their end.", "cause"),
		bookings:      newCounterVec("bookings_total", "Requests with an idempotency key.", "result"),
		claimWrites:   newCounterVec("claim_writes_total", "Completions and removals of claims.", "result"),
		promptTokens:  newCounterVec("prompt_tokens_total", "Prompt tokens sent to groups, by whether the group was believed to hold them.", "believed"),
		pieces:        prometheus.NewCounter(prometheus.CounterOpts{Name: metricsPrefix + "pieces_total", Help: "Pieces delivered."}),
		cancels:       prometheus.NewCounter(prometheus.CounterOpts{Name: metricsPrefix + "cancels_total", Help: "Cancels sent to engines."}),
		firstText: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    metricsPrefix + "first_text_seconds",
			Help:    "Time from the request to the first delivered piece.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}),
		confirmationWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    metricsPrefix + "held_end_seconds",
			Help:    "Time for which the final marker waited for a confirming grant.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
	}
	collectors := []prometheus.Collector{
		registered.requests, registered.notAdmitted, registered.attempts, registered.retries, registered.resumptions,
		registered.droppedPieces, registered.cutStreams, registered.bookings, registered.claimWrites, registered.pieces,
		registered.cancels, registered.promptTokens, registered.firstText, registered.confirmationWait,
	}
	for _, collector := range collectors {
		if err := registerer.Register(collector); err != nil {
			return nil, errors.Annotate(err, "register entry metrics")
		}
	}
	return registered, nil
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricsPrefix + name, Help: help}, labels)
}
