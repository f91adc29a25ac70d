package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingspoke.org/lacewingspoke/httpsend"
)

// ControlConfig is the configuration of a ControlClient.
type ControlConfig struct {
	// Timeout bounds one call; 0 means DefaultControlTimeout. An earlier
	// deadline of the call's context takes precedence.
	Timeout time.Duration

	// Registerer is optional.
	Registerer prometheus.Registerer
}

// DefaultControlTimeout is the default time limit of one control call.
const DefaultControlTimeout = time.Second

const (
	// maxControlBytes bounds the response to a control call; a report takes
	// about 300 bytes.
	maxControlBytes = 64 << 10

	// controlConnections is the number of idle connections kept to each
	// engine: one for reports and one for orders.
	controlConnections = 2
)

// A ControlClient reads reports from engines and sends orders to them. It makes
// each call once and leaves retries to its owner. After a failed call, the next
// call to the same engine opens a new connection. Its methods are safe for
// concurrent use. Addresses have the form IP:port.
type ControlClient struct {
	timeout time.Duration
	sender  *httpsend.Client
	calls   *prometheus.CounterVec
}

// An OrderOutcome is the result of sending an order. It is OrderAccepted,
// OrderFenced, OrderExpired, OrderRefused or OrderUnknown.
type OrderOutcome interface{ orderOutcome() }

// OrderAccepted means that the engine accepted the order.
type OrderAccepted struct {
	// Begun is true when an engine that counts its orders has started this
	// one. It is false when the order required no action.
	Begun bool

	// Leaving is true if the engine's answer contains that it leaves, here and below.
	Leaving bool
}

// OrderFenced means that the engine refused the order because it has received
// a higher fencing number, Fence.
type OrderFenced struct {
	Fence   uint64
	Leaving bool
}

// OrderExpired means that the engine refused the order because it had expired.
type OrderExpired struct{}

// OrderRefused means that the engine did not accept the order: the engine
// responded that it is over its limits, or no byte of the order was sent.
type OrderRefused struct {
	Err     error
	Leaving bool
}

// OrderUnknown means that the engine may or may not have accepted the order.
type OrderUnknown struct{ Err error }

// ReportsLeaving reports whether the answer to the order contained that the engine leaves.
func ReportsLeaving(outcome OrderOutcome) bool {
	switch outcome := outcome.(type) {
	case OrderAccepted:
		return outcome.Leaving
	case OrderFenced:
		return outcome.Leaving
	case OrderRefused:
		return outcome.Leaving
	default:
		return false
	}
}

func (OrderAccepted) orderOutcome() {}
func (OrderFenced) orderOutcome()   {}
func (OrderExpired) orderOutcome()  {}
func (OrderRefused) orderOutcome()  {}
func (OrderUnknown) orderOutcome()  {}

// NewControlClient returns a client. It fails when its metrics cannot be
// registered.
func NewControlClient(config ControlConfig) (*ControlClient, error) {
	if config.Timeout == 0 {
		config.Timeout = DefaultControlTimeout
	}
	client := &ControlClient{
		timeout: config.Timeout,
		sender:  httpsend.New(httpsend.Config{IdlePerAddress: controlConnections}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingspoke_engine_control_calls_total",
			Help: "Control calls to engines by kind and result.",
		}, []string{"call", "result"}),
	}
	if config.Registerer == nil {
		return client, nil
	}
	if err := config.Registerer.Register(client.calls); err != nil {
		return nil, errors.Trace(err)
	}
	return client, nil
}

// Close closes idle connections.
func (client *ControlClient) Close() { client.sender.Close() }

// Report reads the report of the engine at the address. The engine composes the
// report after the call starts, so the start of the call is a lower bound of
// the report's time.
func (client *ControlClient) Report(ctx context.Context, address string) (Report, error) {
	reply, err := client.sender.Do(ctx, httpsend.Request{
		Method:        http.MethodGet,
		Address:       address,
		Path:          "/v1/report",
		Timeout:       client.timeout,
		MaxReplyBytes: maxControlBytes,
	})
	report, err := reportOf(reply, err)
	client.count("report", err == nil)
	return report, errors.Annotatef(err, "read report of engine %s", address)
}

// SendOrder sends an order to the engine at the address.
func (client *ControlClient) SendOrder(ctx context.Context, address string, order Order) OrderOutcome {
	body, err := json.Marshal(order)
	if err != nil {
		return OrderRefused{Err: errors.Trace(err)}
	}
	reply, err := client.sender.Do(ctx, httpsend.Request{
		Method:        http.MethodPost,
		Address:       address,
		Path:          "/v1/order",
		Body:          body,
		ContentType:   "application/json",
		Timeout:       client.timeout,
		MaxReplyBytes: maxControlBytes,
	})
	outcome := orderOutcomeOf(reply, err)
	_, accepted := outcome.(OrderAccepted)
	client.count("order", accepted)
	return outcome
}

func (client *ControlClient) count(call string, succeeded bool) {
	result := "failed"
	if succeeded {
		result = "ok"
	}
	client.calls.WithLabelValues(call, result).Inc()
}

// reportOf returns the report that a call returned, or the call's error.
func reportOf(reply httpsend.Reply, err error) (Report, error) {
	if err != nil {
		return Report{}, err
	}
	if reply.Status != http.StatusOK {
		return Report{}, errors.Errorf("status %d", reply.Status)
	}
	var report Report
	if err := json.Unmarshal(reply.Body, &report); err != nil {
		return Report{}, errors.NewNotValid(err, "decode report")
	}
	if err := checkReport(report); err != nil {
		return Report{}, err
	}
	return report, nil
}

// checkReport rejects a report that does not identify a VM, such as the
// response of a service that is not an engine.
func checkReport(report Report) error {
	if report.VM == "" || report.Incarnation == "" {
		return errors.NotValidf("report without VM or incarnation")
	}
	switch report.State {
	case StateIdle, StateLoading, StateReady, StateDraining:
		return nil
	default:
		return errors.NotValidf("report with state %q", report.State)
	}
}

// fenceMessage is the body of the response to an order whose fencing number is
// too low.
type fenceMessage struct {
	Fence uint64 `json:"fence"`
}

// acceptedMessage is the body of the response to an accepted order.
type acceptedMessage struct {
	Accepted bool `json:"accepted"`
}

// orderOutcomeOf returns the outcome of an order from the response to it or
// from the error of the call.
func orderOutcomeOf(reply httpsend.Reply, err error) OrderOutcome {
	if err != nil && !httpsend.MayHaveBeenSent(err) {
		return OrderRefused{Err: err}
	}
	if err != nil {
		return OrderUnknown{Err: err}
	}
	switch reply.Status {
	case http.StatusOK:
		return acceptedOutcome(reply.Body)
	case http.StatusConflict:
		return fencedOutcome(reply.Body)
	case http.StatusGone:
		return OrderExpired{}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return OrderRefused{Err: errors.Errorf("engine refused the order: status %d", reply.Status)}
	default:
		return OrderUnknown{Err: errors.Errorf("unexpected response of the engine to the order: status %d", reply.Status)}
	}
}

func acceptedOutcome(body []byte) OrderOutcome {
	var message acceptedMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return OrderUnknown{Err: errors.NewNotValid(err, "decode response to order")}
	}
	if !message.Accepted {
		return OrderUnknown{Err: errors.NotValidf("response to order without \"accepted\": true")}
	}
	return OrderAccepted{}
}

func fencedOutcome(body []byte) OrderOutcome {
	var message fenceMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return OrderRefused{Err: errors.NewNotValid(err, "decode refusal of order by fencing number")}
	}
	return OrderFenced{Fence: message.Fence}
}
