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

// A disturbance is a fault. start begins it and returns the function that ends
// it.
type disturbance struct {
	name  string
	start func(test test, random *rand.Rand) (end func())
}

func noCleanup() {}

// combinedDisturbances are chosen so that the system can still serve requests
// while any two of them are active.
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
		suspended := test.nodes[random.IntN(len(test.nodes))]
		require.NoError(test.t, suspended.Signal(syscall.SIGSTOP))
		return func() { require.NoError(test.t, suspended.Signal(syscall.SIGCONT)) }
	}},
	{"pause the store", func(test test, _ *rand.Rand) func() {
		pause := fault.Order{Fault: fault.Pause, Duration: fault.Duration(2 * time.Second)}
		require.NoError(test.t, test.startFault(test.storeControl, pause))
		return noCleanup
	}},
	{"lose answers of the store", func(test test, _ *rand.Rand) func() {
		require.NoError(test.t, test.startFault(test.storeControl, fault.Order{Fault: fault.DropAnswer, Count: 10}))
		return noCleanup
	}},
	{"lose answers of a service", func(test test, random *rand.Rand) func() {
		address := test.serviceAddresses[random.IntN(len(test.serviceAddresses))]
		require.NoError(test.t, test.startFault(address, fault.Order{Fault: fault.DropAnswer, Count: 10}))
		return noCleanup
	}},
	{"silence an engine", func(test test, random *rand.Rand) func() {
		silent := test.engines[random.IntN(len(test.engines))]
		// The order fails if the other disturbance has killed this engine.
		_ = test.startFault(silent.control, fault.Order{Fault: fault.Silent})
		return noCleanup
	}},
}

// Guards against outcomes that contradict the records only when two faults are
// active at the same time.
func TestOutcomesAreCorrectDuringTwoFaults(t *testing.T) {
	test := start(t, 3)
	t.Logf("seed %d", combinedSeed)
	random := rand.New(rand.NewPCG(combinedSeed, 0))
	load := startLoad(test.cluster, test.balancerAddress, "load", loadCallers)
	test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
	order := random.Perm(len(combinedDisturbances))
	for pair := 0; pair < len(order); pair += 2 {
		first, second := combinedDisturbances[order[pair]], combinedDisturbances[order[pair+1]]
		t.Logf("%s and %s", first.name, second.name)
		endFirst := first.start(test, random)
		endSecond := second.start(test, random)
		test.awaitMoreAnswers(load, caller.KindDraft)
		endFirst()
		endSecond()
		test.awaitMoreAnswers(load, caller.KindDraft, caller.KindBooking)
	}
	test.verify(load.stop())
}
