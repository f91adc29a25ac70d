package forward

import (
	"context"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/httpsend"
	"lacewingspoke.org/lacewingspoke/quarantine"
)

// errQuarantined is the cause of cancelling an attempt after a part of its request was
// put in quarantine.
var errQuarantined = errors.New("a part of the request was put in quarantine")

// checkTarget records that an attempt broke off, and if needed finds out whether the
// target has ended: a process that has ended accepts no connections, one that reset or
// cut off a single response does.
//
// A node that has lost its connections to a target cannot tell. It then asks the node that
// sent the request for it, or others.
func (exchange *exchange) checkTarget(ctx context.Context, attempt *quarantine.Attempt, life string, to destination, failure error) {
	server := exchange.server
	if maySent(failure) && ctx.Err() == nil && attempt.Broken(server.config.Now()) {
		server.config.Quarantine.TargetProbed(life, exchange.hasEnded(ctx, to, failure))
	}
}

func (exchange *exchange) hasEnded(ctx context.Context, to destination, failure error) bool {
	server := exchange.server
	switch {
	case exchange.direct == nil:
		return outcomeOf(failure) == relayEnded
	case httpsend.Accepts(ctx, to.address):
		return false
	case server.config.ReachedByOthers != nil && server.config.ReachedByOthers(context.WithoutCancel(ctx), to.id):
		server.unreached(to.id, false)
		return false
	}
	return !server.paths.Lost(to.id)
}
