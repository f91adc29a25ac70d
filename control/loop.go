package control

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/timer"
)

// The intervals of the control thread's polls.
const (
	fleetTick  = 250 * time.Millisecond
	leaderTick = 50 * time.Millisecond
	vmPoll     = time.Second

	// headPoll catches what watches and relay missed. 730 nodes at 30 to 45 s
	// make about 20 reads a second.
	headPoll       = 30 * time.Second
	headPollJitter = 15 * time.Second
	usageInterval  = 500 * time.Millisecond
	servicePoll    = time.Second
)

// subscriptions are the ticks of the control thread.
type subscriptions struct {
	fleet, leaders, vms, head, usage, services *timer.Subscription
}

// subscribe returns the ticks. What a node polls is announced to one that
// follows a feed.
func subscribe(timers *timer.Service, feeding bool) subscriptions {
	ticks := subscriptions{
		fleet:   timers.Every("fleet", fleetTick, 0),
		leaders: timers.Every("leaders", leaderTick, 0),
	}
	if feeding {
		return ticks
	}
	return subscriptions{
		fleet:    ticks.fleet,
		leaders:  ticks.leaders,
		vms:      timers.Every("vms", vmPoll, vmPoll/4),
		head:     timers.Every("head", headPoll, headPollJitter),
		usage:    timers.Every("usage", usageInterval, usageInterval/4),
		services: timers.Every("services", servicePoll, servicePoll/4),
	}
}

func (ticks subscriptions) cancel() {
	for _, subscription := range []*timer.Subscription{ticks.fleet, ticks.leaders, ticks.vms, ticks.head, ticks.usage, ticks.services} {
		if subscription != nil {
			subscription.Cancel()
		}
	}
}

// Run is the control thread. It ends with the context, after all of its
// workers have ended, and reports its end on Done.
func (controller *Controller) Run(ctx context.Context) {
	workers, cancel := context.WithCancel(ctx)
	controller.state.workers = workers
	ticks := subscribe(controller.config.Timers, controller.state.feeding())
	controller.state.begin(controller.config.Timers.Now())
	for ctx.Err() == nil {
		controller.turn(ctx, ticks)
	}
	ticks.cancel()
	cancel()
	controller.state.drainWorkers()
	controller.done <- nil
}

// turn handles one event and publishes what it changed.
func (controller *Controller) turn(ctx context.Context, ticks subscriptions) {
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
	case <-ticks.fleet.C():
		state.handleFleet(state.now(), fleet.Tick{})
		state.expireTargets(state.now())
		state.config.Traffic.SetNodes(state.fleet.Size())
		if state.feeding() {
			state.setSources(state.now())
			state.setFeedPause()
			break
		}
		state.requestMissing(state.now())
		state.requestGrants(state.now())
		state.observeDomains(state.now())
	case <-ticks.leaders.C():
		state.tickLeaders(state.now())
	case <-ticks.vms.C():
		state.pollVMs()
	case <-ticks.head.C():
		state.pollHead()
	case <-ticks.usage.C():
		state.publishUsage()
	case <-ticks.services.C():
		state.pollServices()
	}
	state.publishTable()
	controller.publishHealth(state.now())
}

func (controller *Controller) publishHealth(now time.Time) {
	state := controller.state
	isolated := state.isolated(now)
	if isolated != state.wasIsolated {
		state.wasIsolated = isolated
		state.logger.Warn("isolation changed", zap.Bool("isolated", isolated))
	}
	controller.health.Store(&health{
		configured: state.configuration.folder != nil,
		stopping:   state.stopping,
		isolated:   isolated,
		at:         now,
	})
}

// start runs a worker whose result comes back as a message. Its context ends
// with the control thread.
func (state *state) start(work func(ctx context.Context) message) {
	state.pending++
	go func(ctx context.Context, results chan<- message) {
		results <- work(ctx)
	}(state.workers, state.controller.results)
}

// drainWorkers waits for the end of every worker.
func (state *state) drainWorkers() {
	for state.pending > 0 {
		state.settle(<-state.controller.results)
	}
}

// settle counts the end of the worker that sent the message. The messages of
// a watch other than workerEnded do not end it.
func (state *state) settle(result message) {
	switch result.(type) {
	case listed, changed, storeFailed:
	default:
		state.pending--
	}
}

func (state *state) handleMessage(now time.Time, result message) {
	state.settle(result)
	switch result := result.(type) {
	case fleetResult:
		if result.reached {
			state.storeReached = now
		}
		state.handleFleet(now, result.event)
	case groupResult:
		state.handleGroupResult(now, result)
	case listed:
		state.storeReached = now
		state.handleListed(now, result)
	case changed:
		state.storeReached = now
		state.handleChanged(now, result)
	case storeFailed:
		state.metrics.storeFailures.Inc()
	case headRead:
		state.storeReached = now
		state.offerStoredHead(now, result.sent, result.value)
	case bodyRead:
		state.storeReached = now
		state.adopt(now, result.head, result.value, "store")
	case bodyFailed, headFailed:
		state.metrics.storeFailures.Inc()
	case vmsRead:
		state.storeReached = now
		state.handleVMs(now, result.vms)
	case vmsFailed:
		state.pollingVMs = false
	case serviceRead:
		state.handleService(result)
	case drainRecorded:
		state.handleDrainRecorded(result)
	case probed:
		state.handleProbed(now, result)
	case leaseRevoked:
		state.revoking--
	case workerEnded:
	default:
		panic(errors.Errorf("control: message %T is not handled", result))
	}
}

func (state *state) handleCommand(now time.Time, request command) {
	switch request := request.(type) {
	case run:
		request.call(now)
		close(request.done)
	default:
		panic(errors.Errorf("control: command %T is not handled", request))
	}
}

// do calls a function on the control thread and waits for its end.
func (controller *Controller) do(ctx context.Context, call func(now time.Time)) error {
	request := run{call: call, done: make(chan struct{})}
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
		state.probeSuspects(now)
	}
	for _, led := range state.led {
		state.handleGroup(now, led, group.Tick{})
	}
}
