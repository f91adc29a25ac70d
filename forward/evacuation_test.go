package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/route"
)

// evacuate publishes the node's table with the targets' failure domain evacuated. If late is
// set, the targets are still open in it: the evacuation takes effect after they were chosen.
func (node *node) evacuate(late bool) {
	current := node.publisher.Current()
	from := time.Now()
	at := from
	if late {
		at = from.Add(-time.Second)
	}
	node.publisher.Publish(route.NewTable(route.TableConfig{
		Catalog: current.Catalog(), Generation: current.Generation(), Groups: current.AllGroups(), Services: current.AllServices(),
		Evacuated: []route.Evacuation{{FailureDomain: "zone", From: from}}, At: at,
	}))
}

// Guards against requests that reach an evacuated failure domain: new ones, those that were
// on their way to a chosen target, and those that another node sends on. All domains are
// evacuated here: callers are refused at once, with a time to return that is not that of a
// full runner (rule EVAC, 3,642 times in srl-quotes-grown trouble-1).
func TestEvacuatedDomainReceivesNoRequests(test *testing.T) {
	for name, late := range map[string]bool{"closed in the table": false, "closed at the last moment": true} {
		test.Run(name, func(test *testing.T) {
			runner := newTarget(test, "r1", answers(200, "Seal: s\r\n", "ok"))
			group := newTarget(test, "g1", streams(3, "0\r\n\r\n"))
			node := newNode(test, tableFixture{once: []*target{runner}, groups: []*target{group}})
			node.evacuate(late)
			for _, path := range []string{"/once/1", "/stream/1"} {
				began := time.Now()
				got := node.request(test, http.MethodPost, path, "x")
				require.NoError(test, got.err)
				require.Equal(test, http.StatusServiceUnavailable, got.status)
				require.Less(test, time.Since(began), time.Second)
				wait, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
				require.NoError(test, err)
				require.GreaterOrEqual(test, wait, 300*time.Millisecond)
			}
			// A node that has not read the evacuation yet sends through one that has.
			behind := newNode(test, tableFixture{once: []*target{closedTarget(test, "r1")}, groups: []*target{closedTarget(test, "g1")}})
			behind.connect(test, node)
			for _, path := range []string{"/once/1", "/stream/1"} {
				require.NotEqual(test, http.StatusOK, behind.request(test, http.MethodPost, path, "x").status)
			}
			require.Zero(test, runner.count()+group.count())
		})
	}
}

// Guards against a stream that is cut when its failure domain is evacuated, and against one
// that is resumed there after its group broke off.
func TestStreamsInProgressOutliveTheEvacuation(test *testing.T) {
	for name, breaks := range map[string]bool{"whole": false, "broken off": true} {
		test.Run(name, func(test *testing.T) {
			var node *node
			evacuated := newTarget(test, "g1", func(conn net.Conn, request *http.Request) bool {
				streams(2, "")(conn, request)
				node.evacuate(false)
				if breaks {
					return false
				}
				for index := 3; index <= 4; index++ {
					fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(index)), event(index))
				}
				fmt.Fprint(conn, "0\r\n\r\n")
				return true
			})
			node = newNode(test, tableFixture{groups: []*target{evacuated}})
			request := node.newRequest(test, http.MethodPost, "/stream/1", "x")
			request.Header.Set("Wait", "500ms")
			got := node.send(request)
			if breaks {
				require.Error(test, got.err)
				require.Equal(test, 1, evacuated.count())
				return
			}
			require.NoError(test, got.err)
			require.Contains(test, got.body, event(4))
		})
	}
}
