package forward_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/limit"
)

// Guards against requests to cold targets without a permit: new ones, which go elsewhere or
// are refused at once, repeats, those that are on their way when the target becomes cold, and
// those that another node sends on (rule FAILBACK).
func TestColdTargetsReceiveNoRequestsWithoutPermit(test *testing.T) {
	const rate = 1
	now := time.Now()
	newCold := func() *limit.ColdTargets {
		cold := limit.NewColdTargets(limit.ColdTargetsConfig{Node: "self"})
		cold.SetNodes([]string{"self"}, now.Add(-2*time.Second))
		return cold
	}
	begin := func(cold *limit.ColdTargets) { cold.SetCold("cold", rate, now.Add(time.Hour), now) }
	for _, path := range []string{"/idempotent/1", "/stream/1"} {
		test.Run(path, func(test *testing.T) {
			serve, other := answers(200, "Seal: s\r\n", "ok"), answers(200, "Seal: s\r\n", "ok")
			if path == "/stream/1" {
				serve, other = streams(1, "0\r\n\r\n"), streams(1, "0\r\n\r\n")
			}
			cold, warm := newTarget(test, "cold", serve), newTarget(test, "warm", other)
			record := newCold()
			begin(record)
			node := newNode(test, tableFixture{idempotent: []*target{cold, warm}, groups: []*target{cold, warm}, cold: record})
			for range 20 {
				require.Equal(test, http.StatusOK, node.request(test, http.MethodPost, path, "x").status)
			}
			require.LessOrEqual(test, cold.count(), rate)
			// The node that has lost its way to the target has a permit, the other one has not.
			relay := newNode(test, tableFixture{idempotent: []*target{cold}, groups: []*target{cold}, cold: record})
			record.Take("cold", time.Now())
			require.False(test, record.Take("cold", time.Now()))
			behind := newNode(test, tableFixture{idempotent: []*target{closedTarget(test, "cold")}, groups: []*target{closedTarget(test, "cold")}, cold: newCold()})
			behind.connect(test, relay)
			sent := cold.count()
			for range 5 {
				behind.request(test, http.MethodPost, path, "x")
			}
			require.LessOrEqual(test, cold.count()-sent, rate)
		})
	}
}

// Guards against a repeat at a target that has become cold since the request was sent there.
func TestRepeatsAtAColdTargetNeedPermits(test *testing.T) {
	now := time.Now()
	cold := limit.NewColdTargets(limit.ColdTargetsConfig{Node: "self"})
	only := newTarget(test, "only", func(conn net.Conn, request *http.Request) bool {
		cold.SetCold("only", 1, now.Add(time.Hour), now)
		return false
	})
	node := newNode(test, tableFixture{idempotent: []*target{only}, attempts: 5, cold: cold})
	require.NotEqual(test, http.StatusOK, node.request(test, http.MethodGet, "/idempotent/1", "").status)
	require.Equal(test, 1, only.count())
}
