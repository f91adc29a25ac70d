package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a route whose objective no group can meet, or that has none, and that refuses
// its own requests and those of other routes, also after its removal.
func TestObjectiveThatCannotBeMetRefusesNothing(test *testing.T) {
	for _, objective := range []time.Duration{0, time.Millisecond, 80 * time.Millisecond, 100 * time.Millisecond} {
		test.Run(objective.String(), func(test *testing.T) {
			group := newTarget(test, "g1", streams(3, "0\r\n\r\n"))
			fixture := tableFixture{groups: []*target{group}, step: 55 * time.Millisecond}
			fixture.objectives = map[string]time.Duration{"usual": 300 * time.Millisecond}
			node := newNode(test, fixture)
			require.Equal(test, events(3), node.request(test, http.MethodPost, "/usual/1", "x").body)

			fixture.generation, fixture.objectives["added"] = 2, objective
			node.publish(test, fixture)
			for range 3 {
				require.Equal(test, events(3), node.request(test, http.MethodPost, "/added/1", "x").body)
				require.Equal(test, events(3), node.request(test, http.MethodPost, "/usual/1", "x").body)
			}

			delete(fixture.objectives, "added")
			fixture.generation = 3
			node.publish(test, fixture)
			require.Equal(test, http.StatusNotFound, node.request(test, http.MethodPost, "/added/1", "x").status)
			require.Equal(test, events(3), node.request(test, http.MethodPost, "/usual/1", "x").body)
		})
	}
}

// Guards against a node that refuses all requests because the last answer of each target said
// that it is full: without a request it never gets another answer.
func TestFullTargetsAreTriedAgain(test *testing.T) {
	const servedWithin = 5 * time.Second
	for path, script := range map[string]func(load string) func(target int) *target{
		"/once/1": func(load string) func(int) *target {
			return func(index int) *target {
				return newTarget(test, fmt.Sprint("r", index), answers(200, "Seal: s\r\nLoad: "+load+"\r\n", "ok"))
			}
		},
		"/usual/1": func(load string) func(int) *target {
			return func(index int) *target {
				return newTarget(test, fmt.Sprint("g", index), answers(200, "Seal: s\r\nContent-Type: text/event-stream\r\nLoad: "+load+"\r\n", events(1)))
			}
		},
	} {
		test.Run(path, func(test *testing.T) {
			full := script("4,40")
			fixture := tableFixture{objectives: map[string]time.Duration{"usual": 300 * time.Millisecond}, step: 50 * time.Millisecond}
			targets := []*target{full(1), full(2), full(3)}
			if path == "/once/1" {
				fixture.once = targets
			} else {
				fixture.groups = targets
			}
			node := newNode(test, fixture)
			for range 3 {
				require.Equal(test, http.StatusOK, node.request(test, http.MethodPost, path, "x").status, "the others are not full")
			}
			require.Equal(test, http.StatusServiceUnavailable, node.request(test, http.MethodPost, path, "x").status)
			require.Eventually(test, func() bool {
				return node.request(test, http.MethodPost, path, "x").status == http.StatusOK
			}, servedWithin, 100*time.Millisecond)
		})
	}
}

// Guards against the load in an answer to another request, or of another target, that is taken
// for that of the target that was called.
func TestLoadOfAnotherAnswerIsIgnored(test *testing.T) {
	for name, text := range map[string]string{
		"another request": answerText("other", 400, "Load: 4,40\r\n", ""),
		"another target":  answerText("a1", http.StatusMisdirectedRequest, "Refused: 1\r\nLoad: 4,40\r\n", ""),
	} {
		test.Run(name, func(test *testing.T) {
			runner := newTarget(test, "r1", func(conn net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(conn, text)
				return err == nil
			})
			node := newNode(test, tableFixture{once: []*target{runner}})
			node.request(test, http.MethodPost, "/once/1", "x")
			node.request(test, http.MethodPost, "/once/1", "x")
			require.Equal(test, 2, runner.count())
		})
	}
}

// Guards against a stream that is refused because its first choice is late, although another
// group is in time: both have refused a request just before.
func TestSuspectInTimeIsUsedIfThereIsNoOtherGroup(test *testing.T) {
	const lateBy = 400 * time.Millisecond
	held, release := make(chan string, 1), make(chan struct{})
	script := func(load string) func(net.Conn, *http.Request) bool {
		return func(conn net.Conn, request *http.Request) bool {
			switch request.URL.Path {
			case "/usual/refuse":
				return answer(conn, request, http.StatusServiceUnavailable, "Refused: 1\r\nLoad: "+load+"\r\n", "")
			case "/usual/hold":
				held <- request.URL.Path
				<-release
			}
			return streams(3, "0\r\n\r\n")(conn, request)
		}
	}
	groups := []*target{newTarget(test, "g1", script("0,0")), newTarget(test, "g2", script("3,0"))}
	node := newNode(test, tableFixture{groups: groups, objectives: map[string]time.Duration{"usual": 300 * time.Millisecond}, step: 50 * time.Millisecond})
	require.Equal(test, http.StatusServiceUnavailable, node.request(test, http.MethodPost, "/usual/refuse", "x").status)
	replies := node.begin(test, "/usual/hold")
	<-held
	time.Sleep(lateBy)
	require.Equal(test, events(3), node.request(test, http.MethodPost, "/usual/1", "x").body)
	require.Equal(test, 1, groups[0].count()-1, "the held request is not at the first group")
	close(release)
	require.Equal(test, events(3), (<-replies[0]).body)
}
