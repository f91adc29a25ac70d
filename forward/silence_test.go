package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loseOnce makes the node take its targets for lost: the only runner of the service "once"
// accepts no connections.
func (node *node) loseOnce(test testing.TB) {
	for began := time.Now(); !node.forward.TargetsLost(); {
		got := node.request(test, http.MethodPost, "/once/1", "x")
		require.NoError(test, got.err)
		require.Equal(test, http.StatusServiceUnavailable, got.status, got.body)
		require.Less(test, time.Since(began), waitTimeout, "the service is not lost")
	}
}

// Guards against a call at a sound runner that is ended because the runner of another
// service has left: its own accepts connections and has no substitute.
func TestSlowAnswerOutlastsTheLossOfAnotherService(test *testing.T) {
	arrived := make(chan struct{})
	slow := newTarget(test, "r2", func(conn net.Conn, request *http.Request) bool {
		// The call is silent for longer than a node waits for a lost target.
		time.Sleep(400 * time.Millisecond)
		close(arrived)
		time.Sleep(600 * time.Millisecond)
		return answer(conn, request, 200, "Seal: s\r\n", "free")
	})
	node := newNode(test, tableFixture{once: []*target{closedTarget(test, "r1")}, idempotent: []*target{slow}})
	got := make(chan reply, 1)
	go func() { got <- node.request(test, http.MethodGet, "/idempotent/1", "") }()
	<-arrived
	node.loseOnce(test)
	last := <-got
	require.Equal(test, 200, last.status, last.body)
	require.Equal(test, "free", last.body)
	require.Equal(test, 1, slow.count())
}

// Guards against a silent call that waits for its deadline although its runner accepts no
// connections and another one is there.
func TestSilentCallOfLostServiceIsGivenUp(test *testing.T) {
	arrived, left := make(chan struct{}, 1), make(chan struct{})
	cutOff := newTarget(test, "r1", func(net.Conn, *http.Request) bool {
		arrived <- struct{}{}
		<-left
		return false
	})
	test.Cleanup(func() { close(left) })
	closed := closedTarget(test, "r2")
	node := newNode(test, tableFixture{once: []*target{closed}, idempotent: []*target{cutOff}})
	node.connect(test, newNode(test, tableFixture{idempotent: []*target{newTarget(test, "r3", answers(200, "Seal: s\r\n", "free"))}}))
	got := make(chan reply, 1)
	began := time.Now()
	go func() { got <- node.request(test, http.MethodGet, "/idempotent/1", "") }()
	<-arrived
	cutOff.listener.Close()
	node.publish(test, tableFixture{once: []*target{closed}, idempotent: []*target{cutOff, closedTarget(test, "r3")}})
	node.loseOnce(test)
	last := <-got
	require.Equal(test, "free", last.body)
	require.Less(test, time.Since(began), 1500*time.Millisecond)
}

// pausing returns a script that streams events up to last and is silent for a time after the
// event before.
func pausing(before, last int, pause time.Duration) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, request *http.Request) bool {
		streams(before, "")(conn, request)
		time.Sleep(pause)
		for index := before + 1; index <= last; index++ {
			chunk := event(index)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
}

// Guards against a stream that is ended because its sound group was silent for a moment, and
// has no other group that takes it (issue 37). Callers wait for two seconds.
func TestSilentStreamEndsOnlyForAnotherGroup(test *testing.T) {
	const pause = 1500 * time.Millisecond
	for _, before := range []int{0, 2} {
		for _, others := range []int{0, 1} {
			test.Run(fmt.Sprintf("after %d events, %d groups that refuse", before, others), func(test *testing.T) {
				test.Parallel()
				silent := newTarget(test, "g1", pausing(before, 4, pause))
				groups := []*target{silent}
				node := newNode(test, tableFixture{groups: groups})
				replies := node.begin(test, "/stream/1")
				require.Eventually(test, func() bool { return silent.count() == 1 }, waitTimeout, waitTick)
				for index := range others {
					groups = append(groups, newTarget(test, fmt.Sprint("refusing-", index), answers(503, "Refused: 1\r\n", "")))
				}
				node.publish(test, tableFixture{groups: groups})
				got := <-replies[0]
				require.NoError(test, got.err)
				require.Equal(test, 200, got.status, got.body)
				require.Equal(test, events(4), got.body)
				require.Equal(test, 1, silent.count())
			})
		}
	}
}

// Guards against a slow answer that is given up because its runner, which leaves, accepts no
// connections any more, although no other runner takes the request.
func TestSilentCallOfLostServiceWithoutAnotherRunner(test *testing.T) {
	for _, withNode := range []bool{false, true} {
		test.Run(fmt.Sprint("another node ", withNode), func(test *testing.T) {
			arrived := make(chan struct{})
			leaving := newTarget(test, "r1", func(conn net.Conn, request *http.Request) bool {
				close(arrived)
				time.Sleep(1500 * time.Millisecond)
				return answer(conn, request, 200, "Seal: s\r\n", "whole")
			})
			fixture := tableFixture{once: []*target{closedTarget(test, "r2")}, idempotent: []*target{leaving}}
			node := newNode(test, fixture)
			if withNode {
				node.connect(test, newNode(test, fixture))
			}
			got := make(chan reply, 1)
			go func() { got <- node.request(test, http.MethodGet, "/idempotent/1", "") }()
			<-arrived
			leaving.listener.Close()
			node.loseOnce(test)
			last := <-got
			require.Equal(test, 200, last.status, last.body)
		})
	}
}
