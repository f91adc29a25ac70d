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
	// Timeout bounds one call; 0 means DefaultControlTimeout. A shorter
	// deadline of the call's context applies.
	Timeout time.Duration

	// Registerer is optional.
	Registerer prometheus.Registerer
}

// DefaultControlTimeout is the time that an engine has for a control call.
const DefaultControlTimeout = time.Second

const (
	// maxControlBytes bounds the reply to a control call; a report is about
	// 300 bytes.
	maxControlBytes = 64 << 10

	// controlConnections is one for reports and one for orders.
	controlConnections = 2
)

// A ControlClient reads reports and sends orders. It makes each call once; its
// owner decides about retries. After a failed call it uses a new connection.
// Its methods may be called from any goroutine. Addresses are IP:port.
type ControlClient struct {
	timeout time.Duration
	caller  *httpsend.Client
	calls   *prometheus.CounterVec
}

// An OrderOutcome is what is known of an order. It is OrderAccepted,
// OrderFenced, OrderExpired, OrderRefused or OrderUnknown.
type OrderOutcome interface{ orderOutcome() }

// OrderAccepted says that the engine took the order.
type OrderAccepted struct {
	// Begun says that an engine that counts its orders has begun this one; it
	// is false when there was nothing to do.
	Begun bool
}

// OrderFenced says that the engine refused the order because it knows a
// higher fencing number.
type OrderFenced struct{ Fence uint64 }

// OrderExpired says that the engine refused the order as expired.
type OrderExpired struct{}

// OrderRefused says that the engine did not take the order: it answered that
// it is over its limits, or no byte of the order was sent.
type OrderRefused struct{ Err error }

// OrderUnknown says that the engine may or may not have taken the order.
type OrderUnknown struct{ Err error }

func (OrderAccepted) orderOutcome() {}
func (OrderFenced) orderOutcome()   {}
func (OrderExpired) orderOutcome()  {}
func (OrderRefused) orderOutcome()  {}
func (OrderUnknown) orderOutcome()  {}

// NewControlClient returns a client.
func NewControlClient(config ControlConfig) (*ControlClient, error) {
	if config.Timeout == 0 {
		config.Timeout = DefaultControlTimeout
	}
	client := &ControlClient{
		timeout: config.Timeout,
		caller:  httpsend.New(httpsend.Config{IdlePerAddress: controlConnections}),
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
func (client *ControlClient) Close() { client.caller.Close() }

// Report reads the report of the engine at the address. Report time is bounded
// from below by when the call began.
func (client *ControlClient) Report(ctx context.Context, address string) (Report, error) {
	reply, err := client.caller.Do(ctx, httpsend.Request{
		Method:        http.MethodGet,
		Address:       address,
		Path:          "/v1/report",
		Timeout:       client.timeout,
		MaxReplyBytes: maxControlBytes,
	})
	report, err := reportOf(reply, err)
	client.count("report", err == nil)
	return report, errors.Annotatef(err, "report of %s", address)
}

// SendOrder sends an order to the engine at the address.
func (client *ControlClient) SendOrder(ctx context.Context, address string, order Order) OrderOutcome {
	body, err := json.Marshal(order)
	if err != nil {
		return OrderRefused{Err: errors.Trace(err)}
	}
	reply, err := client.caller.Do(ctx, httpsend.Request{
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

func reportOf(reply httpsend.Reply, err error) (Report, error) {
	if err != nil {
		return Report{}, err
	}
	if reply.Status != http.StatusOK {
		return Report{}, errors.Errorf("status %d", reply.Status)
	}
	var report Report
	if err := json.Unmarshal(reply.Body, &report); err != nil {
		return Report{}, errors.NewNotValid(err, "report")
	}
	if err := checkReport(report); err != nil {
		return Report{}, err
	}
	return report, nil
}

// checkReport rejects a report without identity, such as the answer of a
// service that is no engine.
func checkReport(report Report) error {
	if report.VM == "" || report.Incarnation == "" {
		return errors.NotValidf("report without VM or incarnation")
	}
	switch report.State {
	case StateIdle, StateLoading, StateReady, StateDraining:
		return nil
	default:
		return errors.NotValidf("state %q", report.State)
	}
}

// fenceMessage is the body of a refusal by the fencing number.
type fenceMessage struct {
	Fence uint64 `json:"fence"`
}

// acceptedMessage is the body of an accepted order.
type acceptedMessage struct {
	Accepted bool `json:"accepted"`
}

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
		return OrderRefused{Err: errors.Errorf("status %d", reply.Status)}
	default:
		return OrderUnknown{Err: errors.Errorf("status %d", reply.Status)}
	}
}

func acceptedOutcome(body []byte) OrderOutcome {
	var message acceptedMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return OrderUnknown{Err: errors.NewNotValid(err, "answer to an order")}
	}
	if !message.Accepted {
		return OrderUnknown{Err: errors.NotValidf("answer to an order")}
	}
	return OrderAccepted{}
}

func fencedOutcome(body []byte) OrderOutcome {
	var message fenceMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return OrderRefused{Err: errors.NewNotValid(err, "refusal of an order")}
	}
	return OrderFenced(message)
}
