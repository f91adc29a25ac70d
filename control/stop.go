package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/fleet"
)

// BeginStop fails the health check and gives up the fabric domains that this
// node leads. Grants and configurations are still taken in, because requests
// in progress need them.
func (controller *Controller) BeginStop(ctx context.Context) error {
	err := controller.do(ctx, func(now time.Time) {
		controller.state.stopping = true
		controller.state.logger.Info("stopping")
		controller.state.handleFleet(now, fleet.Stopping{})
	})
	return errors.Trace(err)
}

// FinishStop revokes the node's lease. The owner ends the context of Run
// after it.
func (controller *Controller) FinishStop(ctx context.Context) error {
	err := controller.do(ctx, func(now time.Time) {
		controller.state.handleFleet(now, fleet.Stopped{})
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(controller.settled(ctx))
}

// settleInterval is the time between two looks at the pending calls.
const settleInterval = 20 * time.Millisecond

// settled waits until the revocation of the lease has ended.
func (controller *Controller) settled(ctx context.Context) error {
	for {
		var revoking bool
		err := controller.do(ctx, func(time.Time) { revoking = controller.state.revoking > 0 })
		if err != nil || !revoking {
			return errors.Trace(err)
		}
		if !pause(ctx, controller.config.Timers, settleInterval) {
			return errors.Trace(ctx.Err())
		}
	}
}
