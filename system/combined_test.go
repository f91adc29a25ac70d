package system

import (
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/standin/caller"
	"lacewingspoke.org/lacewingspoke/standin/fault"
)

const combinedSeed = 20261204

// A disturbance starts a fault and returns what ends it.
type disturbance struct {
	name  string
	start func(test test, random *rand.Rand) (end func())
}

func nothing() {}

// combinedDisturbances leave something to serve with when any two of them
// happen at once.
var combinedDisturbances = []disturbance{
	{"kill an engine", func(test test, random *rand.Rand) func() {
		killed := test.engines[random.IntN(len(test.engines))]
		killed.Kill()
		return func() {
			require.NoError(test.t, test.startEngine(killed, killed.address))
			require.NoError(test.t, test.publishVMs(""))
		}
	}},
	{"freeze a node", func(test test, random *rand.Rand) func() {
		frozen := test.nodes[random.IntN(len(test.nodes))]
		require.NoError(test.t, frozen.Signal(syscall.SIGSTOP))
		return func() { require.NoError(test.t, frozen.Signal(syscall.SIGCONT)) }
	}},
	{"pause the store", func(test test, _ *rand.Rand) func() {
		pause := fault.Order{Fault: fault.Pause, Duration: fault.Duration(2 * time.Second)}
		require.NoError(test.t, test.order(test.storeControl, pause))
		return nothing
	}},
	{"lose answers of the store", func(test test, _ *rand.Rand) func() {
		require.NoError(test.t, test.order(test.storeControl, fault.Order{Fault: fault.DropAnswer, Count: 10}))
		return nothing
	}},
	{"lose answers of a service", func(test test, random *rand.Rand) func() {
		address := test.addresses[random.IntN(len(test.addresses))]
		require.NoError(test.t, test.order(address, fault.Order{Fault: fault.DropAnswer, Count: 10}))
		return nothing
	}},
	{"silence an engine", func(test test, random *rand.Rand) func() {
		silent := test.engines[random.IntN(len(test.engines))]
		// The order fails when the engine was just killed.
		_ = test.order(silent.control, fault.Order{Fault: fault.Silent})
		return nothing
	}},
}

// Guards against untrue answers that need two faults at once.
func TestTwoFaultsAtOnce(t *testing.T) {
	test := start(t, 3)
	t.Logf("seed %d", combinedSeed)
	random := rand.New(rand.NewPCG(combinedSeed, 0))
	load := startLoad(test.cluster, test.balancer, "load", loadCallers)
	test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	order := random.Perm(len(combinedDisturbances))
	for pair := 0; pair < len(order); pair += 2 {
		first, second := combinedDisturbances[order[pair]], combinedDisturbances[order[pair+1]]
		t.Logf("%s and %s", first.name, second.name)
		endFirst := first.start(test, random)
		endSecond := second.start(test, random)
		test.awaitMore(load, caller.KindDraft)
		endFirst()
		endSecond()
		test.awaitMore(load, caller.KindDraft, caller.KindBooking)
	}
	test.verify(load.stop())
}
