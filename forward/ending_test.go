package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/quarantine"
)

// decide puts the parts in quarantine that have ended enough targets, as the control
// threads of a fleet do.
func (node *node) decide(ledger *quarantine.Ledger) {
	for _, ending := range node.tracker.TakeEndings() {
		ledger.Add(ending)
	}
	now := time.Now()
	suspects := ledger.Suspects(now)
	for _, record := range ledger.Judge(suspects, node.tracker.SoundAt(suspects), now) {
		node.tracker.SetQuarantined([]string{record.Part})
	}
}

// Guards against a request to a plain service that ends one runner after the other, by
// its retries and those of its callers, while requests to other URIs are served.
func TestRequestThatEndsRunnersIsKeptFromThem(test *testing.T) {
	var runners []*target
	for index := range 6 {
		var runner *target
		runner = newTarget(test, fmt.Sprint("r", index), func(conn net.Conn, request *http.Request) bool {
			if strings.HasSuffix(request.URL.Path, "/deadly") {
				runner.listener.Close()
				return false
			}
			return answer(conn, request, 200, "Seal: s\r\n", "ok")
		})
		runners = append(runners, runner)
	}
	node := newNode(test, tableFixture{idempotent: runners, attempts: 6})
	ledger := quarantine.NewLedger()
	for range 6 {
		require.NotEqual(test, 200, node.request(test, http.MethodGet, "/idempotent/deadly", "").status)
		node.decide(ledger)
	}
	ended := 0
	for _, runner := range runners {
		runner.mutex.Lock()
		for _, request := range runner.requests {
			if strings.HasSuffix(request.URL.Path, "/deadly") {
				ended++
			}
		}
		runner.mutex.Unlock()
	}
	require.LessOrEqual(test, ended, quarantine.MinEndings)
	refused := node.request(test, http.MethodGet, "/idempotent/deadly", "")
	require.Equal(test, http.StatusServiceUnavailable, refused.status)
	require.NotEmpty(test, refused.header.Get("Retry-After"))
	require.Equal(test, 200, node.request(test, http.MethodGet, "/idempotent/sound", "").status)
}

// Guards against evidence against the requests of a runner that only cuts off responses.
func TestCutResponseOfALivingRunnerIsNoEvidence(test *testing.T) {
	runner := newTarget(test, "r1", func(net.Conn, *http.Request) bool { return false })
	node := newNode(test, tableFixture{idempotent: []*target{runner}})
	require.Equal(test, http.StatusBadGateway, node.request(test, http.MethodGet, "/idempotent/1", "").status)
	require.Empty(test, node.tracker.TakeEndings())
	require.Equal(test, 1, runner.count())
}

// Guards against a stream that ends one group after the other, by its retries and its
// callers', while other streams of the same prompt's first part are served: day deadly.
func TestStreamThatEndsGroupsIsKeptFromThem(test *testing.T) {
	var groups []*target
	for index := range 8 {
		var group *target
		sound := streams(2, "0\r\n\r\n")
		group = newTarget(test, fmt.Sprint("g", index), func(conn net.Conn, request *http.Request) bool {
			if strings.HasSuffix(request.URL.Path, "/deadly") {
				group.listener.Close()
				return false
			}
			return sound(conn, request)
		})
		groups = append(groups, group)
	}
	node := newNode(test, tableFixture{groups: groups})
	ledger := quarantine.NewLedger()
	for range 8 {
		require.NotEqual(test, 200, node.request(test, http.MethodPost, "/stream/deadly", "prompt").status)
		require.Equal(test, events(2), node.request(test, http.MethodPost, "/stream/sound", "prompt").body)
		node.decide(ledger)
	}
	ended := 0
	for _, group := range groups {
		group.mutex.Lock()
		for _, request := range group.requests {
			if strings.HasSuffix(request.URL.Path, "/deadly") {
				ended++
			}
		}
		group.mutex.Unlock()
	}
	require.LessOrEqual(test, ended, quarantine.MinEndings)
}

// Guards against ends of targets that do not count because so many have ended that the node
// takes itself for cut off, although other nodes do not reach them either, and against ends
// that count although others reach the targets (incident inc1 of RECOVER).
func TestEndsCountUnlessOtherNodesReachTheTarget(test *testing.T) {
	for name, scenario := range map[string]struct {
		reached bool
		err     error
		counted int
	}{
		"not reached by others": {counted: 5},
		"reached by others":     {reached: true, counted: 0},
		"others do not answer":  {err: errors.New("no answer"), counted: 5},
	} {
		test.Run(name, func(test *testing.T) {
			var runners []*target
			for index := range 5 {
				var runner *target
				runner = newTarget(test, fmt.Sprint("r", index), func(net.Conn, *http.Request) bool {
					runner.listener.Close()
					return false
				})
				runners = append(runners, runner)
			}
			node := newNode(test, tableFixture{once: runners, askReached: func(_ context.Context, _ string, targets []string) ([]string, error) {
				if scenario.reached {
					return targets, nil
				}
				return nil, scenario.err
			}})
			node.forward.SetNodes([]fleet.Node{{Name: "other", AdminAddress: "127.0.0.1:1"}})
			for index := range 5 {
				node.request(test, http.MethodPost, fmt.Sprint("/once/", index), "x")
			}
			require.Len(test, node.tracker.TakeEndings(), scenario.counted)
		})
	}
}
