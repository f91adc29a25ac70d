package control

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/directory"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/timer"
)

// Intervals of the control thread's timers.
const (
	fleetInterval  = 250 * time.Millisecond
	leaderInterval = directory.ExpiryInterval
	vmPollInterval = time.Second

	// headPollInterval limits how long a node lacks a configuration head that
	// neither a watch nor a peer delivered. With 730 nodes, intervals of 30 to
	// 45 s make about 20 reads per second at the store.
	headPollInterval    = 30 * time.Second
	headPollJitter      = 15 * time.Second
	usageInterval       = 500 * time.Millisecond
	servicePollInterval = time.Second
)

// tickers are the periodic timers of the control thread. Those that a node
// does not use are nil.
type tickers struct {
	fleet, leaders, vms, head, usage, services *timer.Subscription
}

// subscribe starts the tickers. A node that follows a feed needs no polling
// tickers, because the feed delivers the same data.
func subscribe(timers *timer.Service, feeding bool) tickers {
	common := tickers{
		fleet:   timers.Every("fleet", fleetInterval, 0),
		leaders: timers.Every("leaders", leaderInterval, 0),
	}
	if feeding {
		return common
	}
	return tickers{
		fleet:    common.fleet,
		leaders:  common.leaders,
		vms:      timers.Every("vms", vmPollInterval, vmPollInterval/4),
		head:     timers.Every("head", headPollInterval, headPollJitter),
		usage:    timers.Every("usage", usageInterval, usageInterval/4),
		services: timers.Every("services", servicePollInterval, servicePollInterval/4),
	}
}

func (tickers tickers) cancel() {
	for _, subscription := range []*timer.Subscription{tickers.fleet, tickers.leaders, tickers.vms, tickers.head, tickers.usage, tickers.services} {
		if subscription != nil {
			subscription.Cancel()
		}
	}
}

// Run runs the control thread until the context is cancelled and all workers
// have ended. It then sends to the channel of Done.
func (controller *Controller) Run(ctx context.Context) {
	workers, cancel := context.WithCancel(ctx)
	controller.state.workers = workers
	tickers := subscribe(controller.config.Timers, controller.state.feeding())
	controller.state.begin(controller.config.Timers.Now())
	for ctx.Err() == nil {
		controller.turn(ctx, tickers)
	}
	tickers.cancel()
	cancel()
	controller.state.awaitWorkers()
	controller.done <- nil
}

// turn handles one event, then publishes the table if it changed and the
// health of the node.
func (controller *Controller) turn(ctx context.Context, tickers tickers) {
	state := controller.state
	select {
	case <-ctx.Done():
		return
	case result := <-controller.results:
		state.handleMessage(state.now(), result)
	case event := <-controller.config.Mesh.Events():
		state.handlePeer(state.now(), event)
	case request := <-controller.commands:
		state.handleCommand(state.now(), request)
	case event := <-controller.config.Feed.Events:
		state.handleFeed(state.now(), event)
	case <-tickers.fleet.C():
		state.handleFleet(state.now(), fleet.Tick{})
		state.setNodes(state.now())
		if state.feeding() {
			state.setSources(state.now())
			state.setFeedPause(state.now())
			state.recheckUnresponsive(state.now())
			state.askLapsed(state.now())
			break
		}
		state.requestMissingBodies(state.now())
		state.requestGrants(state.now())
		state.observeDomains(state.now())
	case <-tickers.leaders.C():
		state.expireTargets(state.now())
		state.tickLeaders(state.now())
		state.tickQuarantine(state.now())
		state.tellLimits(state.now())
		state.stopEvacuated(state.now())
	case <-tickers.vms.C():
		state.pollVMs()
	case <-tickers.head.C():
		state.pollHead()
	case <-tickers.usage.C():
		state.publishUsage()
	case <-tickers.services.C():
		state.pollServices()
	}
	if state.feeding() && !state.sourcesSet && state.fleet.Listed() {
		state.sourcesSet = true
		state.setSources(state.now())
	}
	state.publishTable()
	controller.publishHealth(state.now())
}

func (controller *Controller) publishHealth(now time.Time) {
	state := controller.state
	isolated := state.isolated(now)
	if isolated != state.wasIsolated {
		state.wasIsolated = isolated
		state.logger.Warn("reachability of store and peers changed", zap.Bool("isolated", isolated))
	}
	controller.health.Store(&health{
		configured: state.configuration.folder != nil,
		stopping:   state.stopping,
		isolated:   isolated,
		at:         now,
	})
}

// startWorker runs work in a goroutine and sends its result to the control
// thread. The context of the worker is cancelled when the control thread ends.
func (state *state) startWorker(work func(ctx context.Context) message) {
	state.pendingWorkers++
	go func(ctx context.Context, results chan<- message) {
		results <- work(ctx)
	}(state.workers, state.controller.results)
}

// awaitWorkers waits until every worker has ended and discards the results.
func (state *state) awaitWorkers() {
	for state.pendingWorkers > 0 {
		state.countWorkerEnd(<-state.controller.results)
	}
}

// countWorkerEnd subtracts the worker that sent the message from
// pendingWorkers. A watch worker sends any number of messages and ends with
// workerEnded; every other worker ends with its only message.
func (state *state) countWorkerEnd(result message) {
	switch result.(type) {
	case keysListed, keysChanged, watchFailed:
	default:
		state.pendingWorkers--
	}
}

func (state *state) handleMessage(now time.Time, result message) {
	state.countWorkerEnd(result)
	switch result := result.(type) {
	case fleetResult:
		if result.reached {
			state.storeReachedAt = now
		}
		state.handleFleet(now, result.event)
	case groupResult:
		state.handleGroupResult(now, result)
	case keysListed:
		state.storeReachedAt = now
		state.handleListed(now, result)
	case keysChanged:
		state.storeReachedAt = now
		state.handleChanged(now, result)
	case watchFailed:
		state.metrics.storeFailures.Inc()
	case headRead:
		state.storeReachedAt = now
		state.offerStoredHead(now, result.sent, result.value)
	case bodyRead:
		state.storeReachedAt = now
		state.adopt(now, result.head, result.value, "store")
	case bodyFailed, headFailed:
		state.metrics.storeFailures.Inc()
	case vmsRead:
		state.storeReachedAt = now
		state.handleVMs(now, result.vms)
	case vmsFailed:
		state.pollingVMs = false
	case serviceRead:
		state.handleServiceReport(result)
	case drainRecorded:
		state.handleDrainRecorded(result)
	case probeResult:
		state.handleProbeResult(now, result)
	case domainProbed:
		state.handleDomainProbed(now, result)
	case lapsedResult:
		state.handleLapsedResult(now, result)
	case outageResult:
		state.handleOutageResult(result)
	case placedResult:
		state.handlePlacedResult(now, result)
	case recheckResult:
		state.handleRecheckResult(now, result)
	case endingsReported:
		state.handleEndingsReported(now, result)
	case partsAsked:
		state.handlePartsAsked(now, result)
	case limitTold:
		state.handleLimitTold(result)
	case recordWritten:
		state.handleRecordWritten(now, result)
	case leaseRevoked:
		state.pendingRevocations--
	case workerEnded:
	default:
		panic(errors.Errorf("control: message %T is not handled", result))
	}
}

func (state *state) handleCommand(now time.Time, request command) {
	switch request := request.(type) {
	case functionCall:
		request.call(now)
		close(request.done)
	default:
		panic(errors.Errorf("control: command %T is not handled", request))
	}
}

// do runs a function on the control thread and waits until it returns.
func (controller *Controller) do(ctx context.Context, call func(now time.Time)) error {
	request := functionCall{call: call, done: make(chan struct{})}
	select {
	case controller.commands <- request:
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	select {
	case <-request.done:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

func (state *state) tickLeaders(now time.Time) {
	if state.feeding() {
		state.probeStalledGroups(now)
		state.checkDetached(now)
		state.askInOutage(now)
		state.recordLeavingTargets(now)
		state.tickDemand(now)
	}
	for _, leadership := range state.leaderships {
		state.handleGroup(now, leadership, group.Tick{})
	}
}
