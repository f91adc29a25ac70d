package peer

import (
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	sent     traffic
	received traffic
	replaced prometheus.Counter
	outdated prometheus.Counter
	links    prometheus.Gauge
	closed   *prometheus.CounterVec
}

// traffic counts the frames and bytes of each kind that were sent or received.
type traffic struct {
	frames [kindEnd]prometheus.Counter
	bytes  [kindEnd]prometheus.Counter
}

func (traffic *traffic) count(kind kind, bytes int) {
	traffic.frames[kind].Inc()
	traffic.bytes[kind].Add(float64(bytes))
}

// newMetrics returns the metrics of a mesh, registered unless registerer is
// nil.
func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	frames := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lacewingspoke_peer_frames_total",
		Help: "Frames by direction and kind.",
	}, []string{"direction", "kind"})
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lacewingspoke_peer_bytes_total",
		Help: "Bytes of frames with their headers by direction and kind.",
	}, []string{"direction", "kind"})
	metrics := &metrics{
		replaced: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingspoke_peer_replaced_frames_total",
			Help: "Queued frames that a newer one of the same subject replaced.",
		}),
		outdated: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingspoke_peer_outdated_frames_total",
			Help: "Frames dropped because a heartbeat received after they were composed had been echoed.",
		}),
		links: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lacewingspoke_peer_links",
			Help: "Links that are up.",
		}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingspoke_peer_closed_total",
			Help: "Connections closed by reason, including those that failed before a link was up.",
		}, []string{"reason"}),
	}
	for number := kindUnknown; number < kindEnd; number++ {
		metrics.sent.frames[number] = frames.WithLabelValues("sent", kindNames[number])
		metrics.sent.bytes[number] = bytes.WithLabelValues("sent", kindNames[number])
		metrics.received.frames[number] = frames.WithLabelValues("received", kindNames[number])
		metrics.received.bytes[number] = bytes.WithLabelValues("received", kindNames[number])
	}
	if registerer == nil {
		return metrics, nil
	}
	for _, collector := range []prometheus.Collector{
		frames, bytes, metrics.replaced, metrics.outdated, metrics.links, metrics.closed,
	} {
		if err := registerer.Register(collector); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return metrics, nil
}
