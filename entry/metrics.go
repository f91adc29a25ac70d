package entry

import (
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const metricsPrefix = "lacewingspoke_entry_"

type metrics struct {
	requests  *prometheus.CounterVec
	refused   *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	resumed   *prometheus.CounterVec
	dropped   *prometheus.CounterVec
	cut       *prometheus.CounterVec
	bookings  *prometheus.CounterVec
	finishes  *prometheus.CounterVec
	pieces    prometheus.Counter
	cancelled prometheus.Counter
	firstText prometheus.Histogram
	held      prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	registered := &metrics{
		requests:  counters("requests_total", "Requests answered.", "kind", "outcome"),
		refused:   counters("not_admitted_total", "Requests refused by admission.", "cause"),
		attempts:  counters("attempts_total", "Attempts at targets.", "kind", "result"),
		retries:   counters("retries_total", "Retries by decision of the retry budget.", "decision"),
		resumed:   counters("resumptions_total", "Drafts that went on at another attempt after delivered pieces.", "cause"),
		dropped:   counters("dropped_pieces_total", "Pieces that were not delivered.", "cause"),
		cut:       counters("cut_streams_total", "Streams that were reset before their end.", "cause"),
		bookings:  counters("bookings_total", "Requests with an idempotency key.", "result"),
		finishes:  counters("claim_writes_total", "Completions and removals of claims.", "result"),
		pieces:    prometheus.NewCounter(prometheus.CounterOpts{Name: metricsPrefix + "pieces_total", Help: "Pieces delivered."}),
		cancelled: prometheus.NewCounter(prometheus.CounterOpts{Name: metricsPrefix + "cancels_total", Help: "Cancels sent to engines."}),
		firstText: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    metricsPrefix + "first_text_seconds",
			Help:    "Time from the request to the first delivered piece.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}),
		held: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    metricsPrefix + "held_end_seconds",
			Help:    "Time for which the final marker waited for a confirming grant.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
	}
	collectors := []prometheus.Collector{
		registered.requests, registered.refused, registered.attempts, registered.retries, registered.resumed,
		registered.dropped, registered.cut, registered.bookings, registered.finishes, registered.pieces,
		registered.cancelled, registered.firstText, registered.held,
	}
	for _, collector := range collectors {
		if err := registerer.Register(collector); err != nil {
			return nil, errors.Annotate(err, "entry metrics")
		}
	}
	return registered, nil
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricsPrefix + name, Help: help}, labels)
}
