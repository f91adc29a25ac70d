package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/fleet"
)

// BeginStop makes the health check fail and ends this node's leadership of
// fabric domains. The node still accepts grants and configurations, because
// requests in progress need them.
func (controller *Controller) BeginStop(ctx context.Context) error {
	err := controller.do(ctx, func(now time.Time) {
		controller.state.stopping = true
		controller.state.logger.Info("stopping")
		controller.state.handleFleet(now, fleet.Stopping{})
	})
	return errors.Trace(err)
}

// FinishStop revokes the node's lease and waits for the end of the call. The
// owner then cancels the context of Run.
func (controller *Controller) FinishStop(ctx context.Context) error {
	err := controller.do(ctx, func(now time.Time) {
		controller.state.handleFleet(now, fleet.Stopped{})
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(controller.awaitRevocation(ctx))
}

// revocationPollInterval is the interval at which awaitRevocation checks for
// pending calls.
const revocationPollInterval = 20 * time.Millisecond

// awaitRevocation waits until no call to revoke the lease is pending.
func (controller *Controller) awaitRevocation(ctx context.Context) error {
	for {
		var revoking bool
		err := controller.do(ctx, func(time.Time) { revoking = controller.state.pendingRevocations > 0 })
		if err != nil || !revoking {
			return errors.Trace(err)
		}
		if !pause(ctx, controller.config.Timers, revocationPollInterval) {
			return errors.Trace(ctx.Err())
		}
	}
}
