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
// A node that has lost its connections to a target cannot decide that by itself: it uses the
// outcome of the node that sent the request for it, or asks others.
func (attempt *attempt) checkTarget(ctx context.Context, evidence *quarantine.Attempt, failure error) {
	server := attempt.exchange.server
	if maySent(failure) && ctx.Err() == nil && !server.leaves(attempt.to) && evidence.Broken(server.config.Now()) {
		ended := outcomeOf(failure) == relayEnded
		if attempt.direct != nil {
			ended = server.hasEnded(ctx, attempt.to.id, attempt.to.address)
		}
		server.config.Quarantine.TargetProbed(attempt.life, ended)
	}
}

// leaves reports whether a target takes no new requests any more, by what it or the control
// thread has announced: its end is then no evidence against the requests that were there.
func (server *Server) leaves(to destination) bool {
	if server.closures.Leaving(to.instance) {
		return true
	}
	table := server.config.Publisher.Current()
	if to.group != "" {
		return !table.GroupOpen(to.group, to.id, to.epoch)
	}
	return !table.ServiceOpen(to.id)
}

// hasEnded reports whether a target accepts no connections any more, neither from this node
// nor from others.
func (server *Server) hasEnded(ctx context.Context, target, address string) bool {
	if httpsend.Accepts(ctx, address) {
		return false
	}
	reached, answered := server.reachedByOthers(context.WithoutCancel(ctx), target)
	if reached {
		server.unreached(target, false)
		return false
	}
	// Without an answer of another node, a lost service is this node's partition rather than
	// the end of all its targets. A node that is alone has nobody to ask.
	return answered || len(server.nodes.all()) == 0 || !server.paths.Lost(target)
}

const (
	// askReachedTimeout is far above the time in which a node finds out whether a target
	// accepts connections. The retry of a request waits for it.
	askReachedTimeout = 150 * time.Millisecond

	// maxAsked bounds the nodes that are asked about one target.
	maxAsked = 2
)

// reachedByOthers reports whether another node reaches a target, and whether any has
// answered.
func (server *Server) reachedByOthers(ctx context.Context, target string) (reached, answered bool) {
	if server.config.AskReached == nil {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, askReachedTimeout)
	defer cancel()
	asked := server.nodes.choose(maxAsked, server.config.Now())
	type reply struct{ reached, answered bool }
	replies := make(chan reply, len(asked))
	for _, node := range asked {
		go func(ctx context.Context, replies chan<- reply) {
			names, err := server.config.AskReached(ctx, node.Address, []string{target})
			replies <- reply{reached: err == nil && slices.Contains(names, target), answered: err == nil}
		}(ctx, replies)
	}
	for range asked {
		got := <-replies
		reached, answered = reached || got.reached, answered || got.answered
	}
	return reached, answered
}
