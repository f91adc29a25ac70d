package forward_test

import (
	"net"
	"net/http"
	"path"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests in progress that are cut by a change which keeps later requests
// from their target: of the configuration, or by the target itself.
func TestRequestsInProgressOutlastChanges(test *testing.T) {
	for name, change := range map[string]func(node *node, runner, group *target){
		"routes removed": func(node *node, runner, group *target) {
			node.publish(test, tableFixture{once: []*target{runner}, idempotent: []*target{runner}, groups: []*target{group}, routes: []string{"once"}, generation: 2})
		},
		"key removed": func(node *node, runner, group *target) {
			node.publish(test, tableFixture{once: []*target{runner}, idempotent: []*target{runner}, groups: []*target{group}, withoutKey: true, generation: 2})
		},
		"configuration not confirmed": func(node *node, _, _ *target) {
			node.mutex.Lock()
			defer node.mutex.Unlock()
			node.confirmed = time.Now().Add(-time.Hour)
		},
		"targets rest": func(node *node, _, _ *target) {
			require.Equal(test, "rest", node.request(test, http.MethodPost, "/once/rest", "x").body)
			require.Equal(test, "rest", node.request(test, http.MethodPost, "/stream/rest", "x").body)
		},
		"targets leave": func(node *node, _, _ *target) {
			require.Equal(test, "leave", node.request(test, http.MethodPost, "/once/leave", "x").body)
			require.Equal(test, "leave", node.request(test, http.MethodPost, "/stream/leave", "x").body)
		},
		"other targets lost": func(node *node, runner, group *target) {
			node.publish(test, tableFixture{once: []*target{closedTarget(test, "r2")}, idempotent: []*target{runner}, groups: []*target{group}})
			node.loseOnce(test)
		},
		"node stops": func(node *node, _, _ *target) {
			node.forward.BeginStop(waitTimeout)
			node.forward.Stop()
		},
	} {
		test.Run(name, func(test *testing.T) {
			arrived, release := make(chan string, 3), make(chan struct{})
			quick := map[string]func(net.Conn, *http.Request) bool{
				"rest":  answers(400, "Seal: s\r\nRest: 1s\r\n", "rest"),
				"leave": answers(400, "Seal: s\r\nLeaving: 1\r\n", "leave"),
			}
			script := func(last func(net.Conn, *http.Request) bool) func(net.Conn, *http.Request) bool {
				wait := held(arrived, release, last)
				return func(conn net.Conn, request *http.Request) bool {
					if answer := quick[path.Base(request.URL.Path)]; answer != nil {
						return answer(conn, request)
					}
					return wait(conn, request)
				}
			}
			runner := newTarget(test, "r1", script(answers(200, "Seal: s\r\n", "whole")))
			group := newTarget(test, "g1", script(streams(5, "0\r\n\r\n")))
			node := newNode(test, tableFixture{once: []*target{runner}, idempotent: []*target{runner}, groups: []*target{group}, noRetries: true})
			replies := node.begin(test, "/once/1", "/idempotent/1", "/stream/1")
			for range replies {
				<-arrived
			}
			change(node, runner, group)
			close(release)
			for index, whole := range []string{"whole", "whole", events(5)} {
				got := <-replies[index]
				require.NoError(test, got.err)
				require.Equal(test, whole, got.body)
			}
		})
	}
}

// Guards against a retry after a configuration that requires a key which the request does
// not have: it was admitted by one without workspaces, or with a key that is gone.
func TestRetryNeedsTheKeyOfTheConfigurationInForce(test *testing.T) {
	for name, fixture := range map[string]struct {
		before, after tableFixture
		status        int
	}{
		"none was required":    {before: tableFixture{withoutWorkspaces: true}, status: http.StatusServiceUnavailable},
		"last workspace gone":  {after: tableFixture{withoutWorkspaces: true, requiresKey: true}, status: http.StatusServiceUnavailable},
		"none is required now": {after: tableFixture{withoutWorkspaces: true}, status: http.StatusOK},
	} {
		test.Run(name, func(test *testing.T) {
			arrived, release := make(chan string, 1), make(chan struct{})
			refused := held(arrived, release, answers(503, "Refused: 1\r\n", ""))
			runners := []*target{newTarget(test, "r1", refused), newTarget(test, "r2", refused)}
			before, after := fixture.before, fixture.after
			before.once, after.once, after.generation = runners, runners, 2
			node := newNode(test, before)
			replies := node.begin(test, "/once/1")
			<-arrived
			sound := newTarget(test, "r3", answers(200, "Seal: s\r\n", "ok"))
			after.once = []*target{sound}
			node.publish(test, after)
			close(release)
			require.Equal(test, fixture.status, (<-replies[0]).status)
		})
	}
}
