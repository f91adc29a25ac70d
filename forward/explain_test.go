package forward_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/explanation"
)

// Guards against an explanation that differs from the decision on a request, and against one
// that sends something.
func TestExplanationNamesWhatExcludesEachTarget(test *testing.T) {
	resting := newTarget(test, "resting", answers(503, "Refused: 1\r\nRest: 1h\r\n", ""))
	leaving := newTarget(test, "leaving", answers(200, "Seal: s\r\nLeaving: 1\r\n", "ok"))
	full := newTarget(test, "full", answers(200, "Seal: s\r\nLoad: 4,9\r\n", "ok"))
	failing := newTarget(test, "failing", answers(503, "Refused: 1\r\n", ""))
	free := newTarget(test, "free", answers(200, "Seal: s\r\n", "ok"))
	targets := []*target{resting, leaving, full, failing, free}
	node := newNode(test, tableFixture{once: targets, attempts: 9})
	for _, reporting := range targets[:4] {
		require.Eventually(test, func() bool {
			node.request(test, http.MethodPost, "/once/1", "x")
			return reporting.count() > 0
		}, waitTimeout, time.Millisecond)
	}
	sent := func() (sum int) {
		for _, target := range targets {
			sum += target.count()
		}
		return sum
	}
	before := sent()
	answer, err := node.forward.Explain(explanation.Question{Host: "host.example", Path: "/once/1", Workspace: "one"})
	require.NoError(test, err)
	require.Equal(test, before, sent())
	require.Equal(test, explanation.VerdictSend, answer.Verdict)
	require.Equal(test, "free", answer.Target)
	excluded := map[string]string{}
	for _, candidate := range answer.Candidates {
		excluded[candidate.Name] = candidate.Excluded
	}
	require.Equal(test, map[string]string{"resting": "resting", "leaving": "leaving", "full": "full", "failing": "suspect", "free": ""}, excluded)
	require.Equal(test, 200, node.request(test, http.MethodPost, "/once/1", "x").status)
	require.Equal(test, before+1, sent())
	node.forward.Stop()
	answer, err = node.forward.Explain(explanation.Question{Host: "host.example", Path: "/once/1", Workspace: "one"})
	require.NoError(test, err)
	require.Equal(test, explanation.VerdictRefuse, answer.Verdict)
	require.Positive(test, answer.RetryAfterMillis)
}

// Guards against a stream that is explained as sent although its first event would be late, and
// against one whose refusal is explained otherwise than it happens.
func TestExplanationOfALateStream(test *testing.T) {
	busy := newTarget(test, "busy", func(conn net.Conn, request *http.Request) bool {
		return answer(conn, request, 503, "Refused: 1\r\nLoad: 4,400\r\n", "")
	})
	node := newNode(test, tableFixture{groups: []*target{busy}, step: 10 * time.Millisecond})
	question := explanation.Question{Host: "host.example", Path: "/stream/1", Workspace: "one", Model: "m"}
	explained, err := node.forward.Explain(question)
	require.NoError(test, err)
	require.Equal(test, "busy", explained.Target)
	require.Equal(test, http.StatusServiceUnavailable, node.request(test, http.MethodPost, "/stream/1", "").status)
	explained, err = node.forward.Explain(question)
	require.NoError(test, err)
	require.Equal(test, explanation.VerdictRefuse, explained.Verdict)
	require.Greater(test, explained.Candidates[0].Load, 400)
	require.Greater(test, explained.Candidates[0].ForecastMillis, explained.BoundMillis)
	require.Equal(test, "late", explained.Candidates[0].Excluded)
}

// Guards against an explanation of a request that no node would accept.
func TestExplanationOfUnknownRouteOrWorkspace(test *testing.T) {
	node := newNode(test, tableFixture{once: []*target{newTarget(test, "r", answers(200, "", ""))}, requiresKey: true})
	for text, question := range map[string]explanation.Question{
		"no route matches":    {Host: "host.example", Path: "/other", Workspace: "one"},
		"unknown workspace":   {Host: "host.example", Path: "/once/1", Workspace: "two"},
		"without a workspace": {Host: "host.example", Path: "/once/1"},
	} {
		_, err := node.forward.Explain(question)
		require.ErrorIs(test, err, errors.NotValid)
		require.ErrorContains(test, err, text)
	}
}
