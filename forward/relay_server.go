package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
)

const (
	// maxRelayed bounds the requests that a node sends for others at the same time, so
	// that its own callers keep descriptors and memory.
	maxRelayed = 256

	// maxRelayedBytes bounds the message of a relayed call: a body and its headers.
	maxRelayedBytes = maxAnswerBytes + maxHeadBytes

	// relayBufferBytes is the size of the parts in which an answer is passed on.
	relayBufferBytes = 16 << 10
)

// A relayedExchange is a request that this node sends to a target for another node. The
// other node has routed and admitted it and decides what follows from its outcome. This one
// sends it to that target only, never through a third node.
type relayedExchange struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	message  relayedCall
	deadline time.Time

	target  observedTarget
	attempt string

	// hold is what the message holds of the bytes of all bodies, and answerHold what the head
	// of the answer does.
	hold       *limit.Hold
	answerHold *limit.Hold

	// evidence tracks the request for its parts here as well: the node that took it may end
	// before it has reported the end of a target.
	evidence *quarantine.Attempt
}

// ServeRelayed handles a request at RelayPath.
func (server *Server) ServeRelayed(writer http.ResponseWriter, request *http.Request) {
	relayed := &relayedExchange{server: server, writer: writer, request: request}
	if !server.beginRelayed() {
		// A message that is not read is reset, and the report may be lost with it.
		_, _ = io.Copy(io.Discard, http.MaxBytesReader(writer, request.Body, maxRelayedBytes))
		relayed.report(relayUnavailable, errors.New("node is stopping or sends enough requests for others"))
		return
	}
	defer server.endRelayed()
	receivedAt := server.config.Now()
	relayed.hold = server.bodies.Hold("node " + hostOf(request.RemoteAddr))
	defer relayed.hold.Release()
	if !relayed.takeRoom() {
		_, _ = io.Copy(io.Discard, http.MaxBytesReader(writer, request.Body, maxRelayedBytes))
		relayed.report(relayUnavailable, errNoRoom)
		return
	}
	if err := msgpack.NewDecoder(http.MaxBytesReader(writer, request.Body, maxRelayedBytes)).Decode(&relayed.message); err != nil {
		relayed.report(relayUnavailable, errors.Annotate(err, "decode relayed call"))
		return
	}
	if caller, err := server.config.Codec.ParseRequest(relayed.message.Header); err == nil {
		relayed.attempt = caller.Attempt
	}
	relayed.deadline = receivedAt.Add(time.Duration(relayed.message.RemainingMicros) * time.Microsecond)
	if !server.requests.Allows(relayed.deadline, false, 0) {
		relayed.report(relayUnavailable, errors.New("node is stopping and may end before the request does"))
		return
	}
	address, found := relayed.find(server.config.Publisher.Current())
	switch {
	case !found:
		relayed.report(relayClosed, errors.New("no such target is open here"))
	case !server.paths.Reached(relayed.message.Target):
		relayed.report(relayUnavailable, errNoPath)
	default:
		relayed.admit(address)
	}
}

// takeRoom takes the room for the message, or returns false.
func (relayed *relayedExchange) takeRoom() bool {
	if size := relayed.request.ContentLength; size > freeBytes {
		ctx, cancel := context.WithTimeout(relayed.request.Context(), roomWait)
		defer cancel()
		return relayed.hold.Grow(ctx, size)
	}
	// The other node sends the length.
	return relayed.request.ContentLength >= 0
}

// admit sends the request unless one of its parts is in quarantine here.
func (relayed *relayedExchange) admit(address string) {
	server := relayed.server
	var admission quarantine.Admission
	if !relayed.message.Probe {
		admission = server.config.Quarantine.Admit(relayed.message.Parts, server.config.Now())
	}
	if part := admission.Refused(); part != "" {
		relayed.report(relayClosed, errors.Errorf("part %s of the request is in quarantine", part))
		return
	}
	ctx, cancel := server.requests.Context(relayed.request.Context(), relayed.remaining())
	defer cancel()
	relayed.evidence = server.config.Quarantine.Begin(relayed.target.life, relayed.message.Parts, admission, cancel)
	defer relayed.evidence.Close()
	relayed.send(ctx, address)
}

// beginRelayed counts a request for another node. It returns false if the node is stopping
// or has maxRelayed of them.
func (server *Server) beginRelayed() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.stopping.Load() || server.relayed >= maxRelayed {
		return false
	}
	server.relayed++
	return true
}

func (server *Server) endRelayed() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.relayed--
	if server.relayed == 0 && server.relayedEnded != nil {
		close(server.relayedEnded)
		server.relayedEnded = nil
	}
}

// AwaitRelayed waits until the requests for other nodes have ended, after Stop. It returns
// the context's error if that ends before.
func (server *Server) AwaitRelayed(ctx context.Context) error {
	server.mutex.Lock()
	if server.relayed == 0 {
		server.mutex.Unlock()
		return nil
	}
	if server.relayedEnded == nil {
		server.relayedEnded = make(chan struct{})
	}
	ended := server.relayedEnded
	server.mutex.Unlock()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// find returns the address of the target if it is open in this node's table as well, and a
// later configuration than the sender's allows the request too.
func (relayed *relayedExchange) find(table *route.Table) (string, bool) {
	message := relayed.message
	if table.Generation() > message.Generation && !relayed.allowed(table) {
		return "", false
	}
	now := relayed.server.config.Now()
	if message.Group != "" {
		target, found := table.Group(message.Group)
		relayed.target = observedGroup(target)
		return target.Address, found && target.Service == message.Service && target.VM == message.Target && target.Epoch == message.Epoch && target.Usable(now)
	}
	for _, target := range table.Services(message.Service) {
		if target.ID() == message.Target {
			relayed.target = observedRunner(target)
			return target.Address, target.Open
		}
	}
	return "", false
}

// allowed reports whether the configuration in force here has the request's route to the
// service and its workspace.
func (relayed *relayedExchange) allowed(table *route.Table) bool {
	current := table.Catalog()
	if current == nil {
		return false
	}
	matched, found := current.Match(hostOf(relayed.message.Host), pathOf(relayed.message.URI))
	if !found || current.RequiresKey(matched) && !current.HasWorkspace(relayed.message.Workspace) {
		return false
	}
	for _, split := range matched.Splits {
		if split.Service == relayed.message.Service && split.Weight > 0 {
			return true
		}
	}
	return false
}

func (relayed *relayedExchange) remaining() time.Duration {
	return relayed.server.requests.Remaining(relayed.deadline)
}

// send sends the request and passes the answer on.
func (relayed *relayedExchange) send(ctx context.Context, address string) {
	server, target := relayed.server, relayed.message.Target
	ended := server.tracker.Start(relayed.target.name, server.config.Now())
	defer func() { ended(server.config.Now()) }()
	relayed.answerHold = server.bodies.Hold(target)
	defer relayed.answerHold.Release()
	sentAt := server.config.Now()
	response, err := server.client.do(ctx, relayed.newCall(address), relayed.remaining())
	if errors.Is(err, errClosed) || errors.Is(err, errOutOfTime) {
		relayed.report(relayClosed, err)
		return
	}
	if err != nil && !maySent(err) {
		if ctx.Err() == nil {
			server.unreached(target, false)
		}
		relayed.report(relayUnreached, err)
		return
	}
	if err != nil {
		relayed.report(relayed.brokenOutcome(ctx, address), err)
		return
	}
	server.answered(target, response.conn.opened)
	server.parseAnswer(relayed.target, sentRequest{attempt: relayed.attempt, at: sentAt, once: relayed.message.NewConnection}, response)
	relayed.passOn(ctx, address, response)
}

func (relayed *relayedExchange) newCall(address string) call {
	content := relayed.message
	values := OutgoingValues{Target: content.Target, Workspace: content.Workspace, ResumeAfter: content.ResumeAfter, Urgency: content.Urgency}
	return call{
		address:       address,
		target:        content.Target,
		method:        content.Method,
		newConnection: content.NewConnection,
		hold:          relayed.answerHold,
		message: func() (message, error) {
			values.Deadline = relayed.remaining()
			if values.Deadline <= 0 {
				return message{}, errOutOfTime
			}
			if relayed.server.closedTo(relayed.target.instance, relayed.target.failureDomain) {
				return message{}, errClosed
			}
			if !relayed.server.belongs(destination{id: content.Target, group: content.Group}, content.Service) || !relayed.server.mayWrite(content.Target) {
				return message{}, errClosed
			}
			header := relayed.server.config.Codec.Outgoing(content.Header, values)
			return requestMessage(content.Method, content.URI, content.Host, header, content.Body), nil
		},
	}
}

// passOn passes the target's answer on to the other node as it arrives, and sends in the
// trailer whether it is complete.
func (relayed *relayedExchange) passOn(ctx context.Context, address string, response *response) {
	header := relayed.writer.Header()
	header.Set(headerRelayOutcome, string(relayAnswered))
	header.Set("Trailer", headerRelayEnd)
	encoded, err := encodeHead(relayedHead{Status: response.http.StatusCode, Header: response.http.Header, First: response.first})
	if err != nil {
		response.discard()
		relayed.report(relayBroken, err)
		return
	}
	outcome := relayAnswered
	if err := relayed.copyBody(encoded, response); err != nil {
		response.discard()
		outcome = relayed.brokenOutcome(ctx, address)
	} else {
		response.release()
		relayed.evidence.Completed(relayed.server.config.Now())
		relayed.server.observeTrailer(relayed.target, relayed.attempt, response.http)
	}
	// The trailer is written after this, perhaps long after the last part.
	_ = http.NewResponseController(relayed.writer).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	header.Set(headerRelayEnd, string(outcome))
	relayed.log(outcome, response.http.StatusCode, err)
}

// copyBody writes the head and then each part of the body as soon as it arrives.
func (relayed *relayedExchange) copyBody(head []byte, response *response) error {
	control := http.NewResponseController(relayed.writer)
	write := func(part []byte) error {
		if err := control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return errors.Trace(err)
		}
		if _, err := relayed.writer.Write(part); err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(control.Flush())
	}
	if err := write(head); err != nil {
		return err
	}
	if err := response.setTimeout(relayed.remaining()); err != nil {
		return err
	}
	buffer := make([]byte, relayBufferBytes)
	empty := true
	for {
		response.expectBody(relayBufferBytes)
		count, err := response.http.Body.Read(buffer)
		if count > 0 {
			empty = false
			relayed.evidence.EventArrived(relayed.server.config.Now())
			if failure := write(buffer[:count]); failure != nil {
				return failure
			}
		}
		if err == io.EOF && empty && (relayed.message.Stream || relayed.message.Group != "") && response.untilClose() {
			return errEmptyStream
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
	}
}

// brokenOutcome returns the outcome of a request that the target may have run, after
// finding out whether the target has ended.
func (relayed *relayedExchange) brokenOutcome(ctx context.Context, address string) relayOutcome {
	server := relayed.server
	if ctx.Err() != nil {
		return relayBroken
	}
	message := relayed.message
	leaves := server.leaves(destination{id: message.Target, instance: relayed.target.instance, group: message.Group, epoch: message.Epoch})
	first := !leaves && relayed.evidence.Broken(server.config.Now())
	ended := server.hasEnded(ctx, message.Target, address) && !leaves
	if first {
		server.config.Quarantine.TargetProbed(relayed.target.life, ended)
	}
	if ended {
		return relayEnded
	}
	return relayBroken
}

// report sends an outcome without an answer.
func (relayed *relayedExchange) report(outcome relayOutcome, cause error) {
	relayed.writer.Header().Set(headerRelayOutcome, string(outcome))
	status := http.StatusBadGateway
	if outcome.notSent() {
		status = http.StatusServiceUnavailable
	}
	relayed.writer.WriteHeader(status)
	relayed.log(outcome, status, cause)
}

func (relayed *relayedExchange) log(outcome relayOutcome, status int, cause error) {
	relayed.server.metrics.relayed.WithLabelValues("received", string(outcome)).Inc()
	relayed.server.config.Logger.Info("request of another node",
		zap.String("id", relayed.attempt), zap.String("from", relayed.request.RemoteAddr), zap.String("target", relayed.message.Target),
		zap.String("outcome", string(outcome)), zap.Int("status", status), zap.Duration("remaining", relayed.remaining()), zap.Error(cause))
}
