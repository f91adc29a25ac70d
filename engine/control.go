package engine

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// ControlConfig is the configuration of a ControlClient.
type ControlConfig struct {
	// Timeout bounds one call; 0 means DefaultControlTimeout.
	Timeout time.Duration

	// Registerer is optional.
	Registerer prometheus.Registerer
}

// DefaultControlTimeout is the time that an engine has for a control call.
const DefaultControlTimeout = time.Second

// A ControlClient reads reports and sends orders. Methods may be called from
// any goroutine. Addresses are IP:port.
type ControlClient struct{ config ControlConfig }

// An OrderOutcome is what is known of an order. It is OrderAccepted,
// OrderFenced, OrderExpired, OrderRefused or OrderUnknown.
type OrderOutcome interface{ orderOutcome() }

// OrderAccepted says that the engine took the order.
type OrderAccepted struct{}

// OrderFenced says that the engine refused the order because it knows a
// higher fencing number.
type OrderFenced struct{ Fence uint64 }

// OrderExpired says that the engine refused the order as expired.
type OrderExpired struct{}

// OrderRefused says that the engine did not take the order: it answered with
// a refusal or no byte of the order was sent.
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
	return &ControlClient{config: config}, nil
}

// Report reads the report of the engine at the address.
func (client *ControlClient) Report(ctx context.Context, address string) (Report, error) {
	return Report{}, nil
}

// SendOrder sends an order to the engine at the address.
func (client *ControlClient) SendOrder(ctx context.Context, address string, order Order) OrderOutcome {
	return nil
}

// Close closes idle connections.
func (client *ControlClient) Close() {}
