package forward

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/route"
)

const (
	// silenceBound is the time without a byte after which a call to a target of a lost
	// service counts as silent, if its target accepts no connection either. Silence alone is no
	// reason: a sound target may need longer for its answer, and the failures for which the
	// service counts as lost may be those of other targets.
	silenceBound = 350 * time.Millisecond

	// checkAfter is the time without a byte after which a connection to such a target is
	// tried. A connection that cannot be established is known by silenceBound.
	checkAfter = silenceBound - dialTimeout

	// pathCheckInterval is the time for which a failed check of a target holds.
	pathCheckInterval = time.Second
)

// errPathLost is the cause of cancelling a call that a target of a lost service does not
// answer.
var errPathLost = errors.New("this node does not reach the target any more")

// errNoPath is returned for a request that cannot be sent, neither by this node nor through
// another one.
var errNoPath = errors.New("neither this node nor another one reaches the target")

// errOutOfTime is returned for a request that may not be sent any more, see
// exchange.mayStillRun.
var errOutOfTime = errors.New("the time is over, or the key is not known to be valid")

// errClosed is returned for a target that takes no requests of this node now.
var errClosed = errors.New("the target takes no requests of this node now")

// A destination is the target of one attempt.
type destination struct {
	// id is the name of the VM or of the runner, instance its incarnation.
	id       string
	instance string
	address  string

	// group and epoch are empty for a runner of a plain service.
	group string
	epoch uint64

	failureDomain string

	resumeAfter string

	// silent is called, perhaps more than once, while the target is silent and this node has
	// lost its service. It is nil for an attempt that must not be repeated.
	silent func()
}

// A directCall is a call to a target over a connection of this node.
type directCall struct {
	calls   *directCalls
	target  string
	address string
	silent  func()
	heard   time.Time
}

// directCalls are the calls in progress that may be repeated.
type directCalls struct {
	mutex sync.Mutex
	calls map[*directCall]bool

	// checks holds the checks of targets with silent calls.
	checks map[string]*pathCheck
}

// A pathCheck is an attempt to establish a connection to a target with silent calls.
type pathCheck struct {
	beganAt time.Time
	failed  bool
}

func newDirectCalls() *directCalls {
	return &directCalls{calls: map[*directCall]bool{}, checks: map[string]*pathCheck{}}
}

// begin adds a call. Its function silent may be nil.
func (calls *directCalls) begin(to destination, now time.Time) *directCall {
	begun := &directCall{calls: calls, target: to.id, address: to.address, silent: to.silent, heard: now}
	if to.silent != nil {
		calls.mutex.Lock()
		defer calls.mutex.Unlock()
		calls.calls[begun] = true
	}
	return begun
}

// received records that the target has sent something.
func (call *directCall) received(now time.Time) {
	if call == nil {
		return
	}
	call.calls.mutex.Lock()
	defer call.calls.mutex.Unlock()
	call.heard = now
}

func (call *directCall) end() {
	call.calls.mutex.Lock()
	defer call.calls.mutex.Unlock()
	delete(call.calls.calls, call)
}

// reportSilent reports the calls to lost targets that are silent and to which no connection
// could be established since. It returns the targets to which one must be tried first; the
// caller reports the results with checked.
func (calls *directCalls) reportSilent(lost func(target string) bool, now time.Time) []route.PathTarget {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	for target, check := range calls.checks {
		if check.failed && now.Sub(check.beganAt) > pathCheckInterval {
			delete(calls.checks, target)
		}
	}
	var due []route.PathTarget
	for call := range calls.calls {
		silence := now.Sub(call.heard)
		if silence <= checkAfter || !lost(call.target) {
			continue
		}
		check := calls.checks[call.target]
		switch {
		case check == nil:
			calls.checks[call.target] = &pathCheck{beganAt: now}
			due = append(due, route.PathTarget{ID: call.target, Address: call.address})
		case check.failed && !check.beganAt.Before(call.heard) && silence > silenceBound:
			call.silent()
		}
	}
	return due
}

// checked records whether a target that reportSilent has returned accepted a connection.
func (calls *directCalls) checked(target string, accepted bool) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	check := calls.checks[target]
	switch {
	case check == nil:
	case accepted:
		delete(calls.checks, target)
	default:
		check.failed = true
	}
}

// send sends the request to a target: over a connection of this node, or through another
// node if this one does not reach the target. Its error is a *callError.
func (attempt *attempt) send(ctx context.Context, timeout time.Duration) (*response, error) {
	server, to := attempt.exchange.server, attempt.to
	if !attempt.throughNodes && server.paths.Reached(to.id) {
		return attempt.sendDirectly(ctx, timeout)
	}
	response, err := attempt.sendThroughNodes(ctx, timeout)
	if !errors.Is(err, errNoPath) || server.paths.Lost(to.id) && len(server.nodes.all()) > 0 {
		return response, err
	}
	return attempt.sendDirectly(ctx, timeout)
}

// sendDirectly sends the request over a connection of this node.
func (attempt *attempt) sendDirectly(ctx context.Context, timeout time.Duration) (*response, error) {
	server, to := attempt.exchange.server, attempt.to
	call := server.direct.begin(to, server.config.Now())
	attempt.direct = call
	response, err := server.client.do(ctx, attempt.newCall(), timeout)
	if err == nil {
		response.finished = call.end
		call.received(server.config.Now())
		server.answered(to.id, response.conn.opened)
		return response, nil
	}
	call.end()
	switch {
	case ctx.Err() != nil, errors.Is(err, errOutOfTime), errors.Is(err, errClosed), errors.Is(err, errNoRoom):
		// The attempt was given up, whatever the target did.
	case !maySent(err):
		attempt.notConnected = true
		server.unreached(to.id, false)
	case timedOut(err):
		server.unreached(to.id, true)
	}
	return nil, err
}

// timedOut reports whether an error is the end of a timeout.
func timedOut(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// newCall returns the call for the target.
func (attempt *attempt) newCall() call {
	exchange, to := attempt.exchange, attempt.to
	return call{
		hold:          attempt.hold,
		address:       to.address,
		target:        to.id,
		method:        exchange.request.Method,
		newConnection: !exchange.route.Repeatable(),
		message: func() (message, error) {
			header, err := attempt.outgoing()
			if err != nil {
				return message{}, err
			}
			return requestMessage(exchange.request.Method, exchange.request.RequestURI, exchange.request.Host, header, exchange.body), nil
		},
	}
}

// outgoing returns the headers for the target, with the time that remains now. The attempt uses
// its permit for a cold target with the first call, also if it tries several nodes.
func (attempt *attempt) outgoing() (http.Header, error) {
	exchange, to := attempt.exchange, attempt.to
	if !exchange.mayStillRun() {
		return nil, errOutOfTime
	}
	if exchange.server.closedTo(to.instance, to.failureDomain) {
		return nil, errClosed
	}
	if !exchange.server.belongs(to, exchange.service.Name) {
		return nil, errClosed
	}
	attempt.permitted = attempt.permitted || exchange.server.mayWrite(to.id)
	if !attempt.permitted {
		return nil, errClosed
	}
	return exchange.server.config.Codec.Outgoing(exchange.request.Header, exchange.outgoingValues(to)), nil
}

// belongs reports whether the newest table has the target for a service. The table may have
// changed since the target was chosen.
func (server *Server) belongs(to destination, service string) bool {
	table := server.config.Publisher.Current()
	if to.group != "" {
		target, found := table.Group(to.group)
		return found && target.Service == service && target.VM == to.id
	}
	return slices.ContainsFunc(table.Services(service), func(target route.ServiceTarget) bool { return target.ID() == to.id })
}

// closedTo reports, right before a request is sent, whether the target takes none of this
// node: it may have closed itself, or its failure domain been evacuated, since it was chosen.
func (server *Server) closedTo(instance, failureDomain string) bool {
	now := server.config.Now()
	_, closed := server.closures.Closed(instance, now)
	return closed || server.config.Publisher.Current().Evacuated(failureDomain, now)
}

func (exchange *exchange) outgoingValues(to destination) OutgoingValues {
	return OutgoingValues{
		Target:      to.id,
		Workspace:   exchange.workspace.Name,
		Deadline:    exchange.remaining(),
		ResumeAfter: to.resumeAfter,
		Urgency:     exchange.urgency(),
	}
}

// sendThroughNodes sends the request through another node. It returns errNoPath if no node
// sends requests to the target's service for this one now.
func (attempt *attempt) sendThroughNodes(ctx context.Context, timeout time.Duration) (*response, error) {
	exchange, to := attempt.exchange, attempt.to
	server := exchange.server
	if size := int64(len(exchange.body)); size > freeBytes && !attempt.grow(ctx, size) {
		// The message for the node is a copy.
		return nil, &callError{cause: errNoRoom}
	}
	message := func() (relayedCall, error) {
		header, err := attempt.outgoing()
		if err != nil {
			return relayedCall{}, err
		}
		values := exchange.outgoingValues(to)
		return relayedCall{
			Target: to.id, Group: to.group, Epoch: to.epoch, Stream: exchange.streams(), Service: exchange.service.Name, Generation: exchange.table.Generation(),
			Parts: exchange.parts, Probe: attempt.admission.Probe(),
			Method: exchange.request.Method, URI: exchange.request.RequestURI, Host: exchange.request.Host, Header: header, Body: exchange.body,
			Workspace: values.Workspace, ResumeAfter: values.ResumeAfter, Urgency: values.Urgency,
			RemainingMicros: values.Deadline.Microseconds(), NewConnection: !exchange.route.Repeatable(),
		}, nil
	}
	for range maxNodesTried {
		now := server.config.Now()
		node, found := server.nodes.pick(now)
		if !found {
			break
		}
		ended := server.nodes.tracker.Start(node.Name, now)
		response, err := server.client.relay(ctx, node.Address, !exchange.route.Repeatable(), message, attempt.hold, timeout)
		outcome := outcomeOf(err)
		server.metrics.relayed.WithLabelValues("sent", string(outcome)).Inc()
		if err == nil {
			attempt.through = node.Name
			response.finished = func() { ended(server.config.Now()) }
			return response, nil
		}
		ended(server.config.Now())
		if ctx.Err() != nil || maySent(err) || outcome == relayUnreached || outcome == relayClosed || errors.Is(err, errOutOfTime) || errors.Is(err, errClosed) {
			return nil, err
		}
		server.nodes.failed(node.Name, server.config.Now())
		server.config.Logger.Info("node did not send a request on", zap.String("id", exchange.caller.Attempt),
			zap.String("through", node.Name), zap.String("target", to.id), zap.Error(err))
	}
	return nil, &callError{cause: errNoPath}
}

// outcomeOf returns what a node has reported of a call, relayAnswered for a nil error.
func outcomeOf(err error) relayOutcome {
	var failure *callError
	switch {
	case err == nil:
		return relayAnswered
	case errors.As(err, &failure):
		return failure.outcome
	}
	return ""
}

// answered records that a target has sent something over a connection of this node.
func (server *Server) answered(target string, opened bool) {
	if server.paths.Answered(target, opened, server.config.Now()) {
		server.config.Logger.Info("targets are reached again", zap.String("target", target))
	}
}

// unreached records that no connection to a target could be established, or that its open
// ones are silent.
func (server *Server) unreached(target string, silent bool) {
	now := server.config.Now()
	var lost bool
	if silent {
		lost = server.paths.Silent(target, now)
	} else {
		lost = server.paths.Failed(target, now)
	}
	if lost {
		// The failures so far are those of this node.
		server.suspects.Retain(nil)
		server.metrics.lostServices.Inc()
		server.config.Logger.Warn("this node has lost the targets of a service, and sends requests through other nodes",
			zap.String("target", target), zap.Bool("silent", silent), zap.Int("nodes", len(server.nodes.all())))
	}
}

// TargetsLost reports whether this node has lost the targets of any service.
func (server *Server) TargetsLost() bool { return server.paths.AnyLost() }

// pathTargets returns the targets of a table.
func pathTargets(table *route.Table) []route.PathTarget {
	var targets []route.PathTarget
	for _, target := range table.AllGroups() {
		targets = append(targets, route.PathTarget{Service: target.Service, ID: target.VM, Address: target.Address, FailureDomain: target.FailureDomain})
	}
	for _, target := range table.AllServices() {
		targets = append(targets, route.PathTarget{Service: target.Service, ID: target.ID(), Address: target.Address, FailureDomain: target.FailureDomain})
	}
	return targets
}

// maxProbes bounds the probes of one check.
const maxProbes = 4

// probeResult is the result of a probe.
type probeResult struct {
	target   string
	accepted bool
}

// startProbes opens connections to the targets, and sends the results to probed.
func (server *Server) startProbes(ctx context.Context, targets []route.PathTarget, probed chan<- probeResult) {
	for _, target := range targets {
		go func(ctx context.Context) {
			result := probeResult{target: target.ID, accepted: server.client.accepts(ctx, target.Address)}
			select {
			case probed <- result:
			case <-ctx.Done():
			}
		}(ctx)
	}
}

func (server *Server) handleProbe(result probeResult) {
	server.direct.checked(result.target, result.accepted)
	if result.accepted {
		server.answered(result.target, true)
		return
	}
	server.unreached(result.target, false)
}
