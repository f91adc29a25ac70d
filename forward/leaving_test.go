package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// exits returns a script of a target that ends with a request in progress, after leave.
func exits(leave func(), exiting **target) func(net.Conn, *http.Request) bool {
	return func(net.Conn, *http.Request) bool {
		leave()
		(*exiting).listener.Close()
		return false
	}
}

// Guards against targets that leave by plan and count as ended by a request that was there:
// after two of them it was not sent again, and after three its parts were in quarantine.
func TestTargetsThatLeaveAreNoEvidence(test *testing.T) {
	for name, path := range map[string]string{"runners": "/idempotent/1", "groups": "/stream/1"} {
		test.Run(name, func(test *testing.T) {
			var node *node
			var left [3]*target
			last := newTarget(test, "last", answers(200, "Seal: s\r\n", "whole"))
			want := "whole"
			if name == "groups" {
				last, want = newTarget(test, "last", streams(3, "0\r\n\r\n")), events(3)
			}
			fixture := func(targets ...*target) tableFixture {
				if name == "groups" {
					return tableFixture{groups: targets, attempts: 4}
				}
				return tableFixture{idempotent: targets, attempts: 4}
			}
			for index := range left {
				// Each leaves the table before it ends, and its successor comes.
				left[index] = newTarget(test, fmt.Sprint("t", index), exits(func() {
					next := last
					if index+1 < len(left) {
						next = left[index+1]
					}
					node.publish(test, fixture(next))
				}, &left[index]))
			}
			node = newNode(test, fixture(left[0]))
			got := node.request(test, http.MethodPost, path, "x")
			require.NoError(test, got.err)
			require.Equal(test, want, got.body)
			require.Empty(test, node.tracker.TakeEndings())
		})
	}
}

// Guards against the same at a target that reported that it leaves and is still open in the
// table, and at one that is in use through another node.
func TestReportedLeaveIsNoEvidence(test *testing.T) {
	for _, relayed := range []bool{false, true} {
		test.Run(fmt.Sprint("relayed ", relayed), func(test *testing.T) {
			arrived, release := make(chan string, 1), make(chan struct{})
			var runner *target
			wait := held(arrived, release, func(net.Conn, *http.Request) bool {
				runner.listener.Close()
				return false
			})
			runner = newTarget(test, "r1", func(conn net.Conn, request *http.Request) bool {
				if request.URL.Path == "/once/held" {
					return wait(conn, request)
				}
				return answer(conn, request, 200, "Seal: s\r\nLeaving: 1\r\n", "ok")
			})
			node := newNode(test, tableFixture{once: []*target{runner}})
			sending := node
			if relayed {
				sending = newNode(test, tableFixture{once: []*target{closedTarget(test, "r1")}})
				sending.connect(test, node)
			}
			replies := sending.begin(test, "/once/held")
			<-arrived
			require.Equal(test, "ok", node.request(test, http.MethodPost, "/once/1", "x").body)
			close(release)
			require.Equal(test, http.StatusBadGateway, (<-replies[0]).status)
			require.Empty(test, node.tracker.TakeEndings())
			require.Empty(test, sending.tracker.TakeEndings())
		})
	}
}
