package forward

import (
	"context"
	"slices"
	"time"

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
	case server.reachedByOthers(context.WithoutCancel(ctx), to.id):
		server.unreached(to.id, false)
		return false
	}
	return !server.paths.Lost(to.id)
}

const (
	// askReachedTimeout is far above the time in which a node finds out whether a target
	// accepts connections. The retry of a request waits for it.
	askReachedTimeout = 150 * time.Millisecond

	// maxAsked bounds the nodes that are asked about one target.
	maxAsked = 2
)

// reachedByOthers reports whether another node reaches a target.
func (server *Server) reachedByOthers(ctx context.Context, target string) bool {
	if server.config.AskReached == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askReachedTimeout)
	defer cancel()
	asked := server.nodes.choose(maxAsked, server.config.Now())
	replies := make(chan bool, len(asked))
	for _, node := range asked {
		go func(ctx context.Context, replies chan<- bool) {
			reached, err := server.config.AskReached(ctx, node.Address, []string{target})
			replies <- err == nil && slices.Contains(reached, target)
		}(ctx, replies)
	}
	reached := false
	for range asked {
		reached = <-replies || reached
	}
	return reached
}
