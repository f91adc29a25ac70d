package control

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of the control thread.
type metrics struct {
	generation      prometheus.Gauge
	storeBehind     prometheus.Gauge
	ledDomains      prometheus.Gauge
	commits         prometheus.Counter
	orders          *prometheus.CounterVec
	storeFailures   prometheus.Counter
	storeReturns    prometheus.Counter
	serviceFailures prometheus.Counter
	staleFrames     prometheus.Counter
	unknownFrames   prometheus.Counter
	badRecords      prometheus.Counter
	conflicts       prometheus.Counter
	targetChanges   prometheus.Counter
	endings         prometheus.Counter
	quarantined     prometheus.Gauge
	evacuated       prometheus.Gauge
	coldTargets     prometheus.Counter
	poolReplicas    *prometheus.GaugeVec
	poolWork        *prometheus.GaugeVec
	conversions     prometheus.Counter
	unannouncedAge  prometheus.Histogram
}

const metricsPrefix = "lacewingspoke_control_"

func newMetrics(registerer prometheus.Registerer) *metrics {
	collected := &metrics{
		generation:      gauge("generation", "Generation of the configuration in force."),
		storeBehind:     gauge("store_behind", "1 while the store holds a lower generation than this node."),
		ledDomains:      gauge("led_domains", "Fabric domains that this node leads."),
		commits:         counter("placement_commits_total", "Writes of placement records."),
		storeFailures:   counter("watch_failures_total", "Watches of the store that failed."),
		storeReturns:    counter("store_returns_total", "Outages of the store of at least a second that ended."),
		serviceFailures: counter("service_report_failures_total", "Service runners that did not report in time."),
		staleFrames:     counter("stale_frames_total", "Frames with an old version or fencing number."),
		unknownFrames:   counter("unknown_frames_total", "Frames of a kind that is not handled."),
		badRecords:      counter("bad_records_total", "Store records that are not valid."),
		targetChanges:   counter("target_changes_total", "Changed and removed reports of targets."),
		endings:         counter("target_endings_total", "Targets that ended under requests of this node."),
		quarantined:     gauge("quarantined_parts", "Parts of prompts in quarantine."),
		coldTargets:     counter("cold_targets_total", "Times that a target has become cold."),
		evacuated:       gauge("evacuated_failure_domains", "Failure domains that the operators have evacuated."),
		conflicts:       counter("generation_conflicts_total", "Offers of another configuration with the generation in force."),
	}
	collected.orders = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: metricsPrefix + "orders_total",
		Help: "Orders to engines by action.",
	}, []string{"action"})
	collected.poolReplicas = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: metricsPrefix + "pool_replicas",
		Help: "Groups of a model in all fabric domains by state: placed, ready, target. At leaders.",
	}, []string{"pool", "state"})
	collected.poolWork = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: metricsPrefix + "pool_work",
		Help: "Mean work of a model, in groups that are busy all the time. At leaders.",
	}, []string{"pool"})
	collected.conversions = counter("conversions_total", "Conversions of groups to another model that this node began.")
	collected.unannouncedAge = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    metricsPrefix + "target_end_age_seconds",
		Help:    "Time from the last reading that contained a target to the one that shows that its announcement has ended.",
		Buckets: []float64{0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2, 3, 5},
	})
	if registerer != nil {
		registerer.MustRegister(collected.unannouncedAge)
		registerer.MustRegister(collected.poolReplicas, collected.poolWork, collected.conversions)
		registerer.MustRegister(collected.generation, collected.storeBehind, collected.ledDomains,
			collected.commits, collected.orders, collected.storeFailures, collected.serviceFailures,
			collected.staleFrames, collected.unknownFrames, collected.badRecords, collected.conflicts, collected.targetChanges,
			collected.endings, collected.quarantined, collected.storeReturns, collected.evacuated, collected.coldTargets)
	}
	return collected
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: metricsPrefix + name, Help: help})
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: metricsPrefix + name, Help: help})
}
