package forward_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// callerDeadline is the deadline of requests to testCodec.
const callerDeadline = 2 * time.Second

// silentTarget returns a target that keeps requests without an answer until the test ends.
func silentTarget(test *testing.T, name string) *target {
	ended := make(chan struct{})
	test.Cleanup(func() { close(ended) })
	return newTarget(test, name, func(net.Conn, *http.Request) bool {
		<-ended
		return false
	})
}

// Guards against a request that may run once, is sent late in a planned stop and is cut at
// the end of the grace.
func TestRequestThatMayOutlastTheStopIsRefused(test *testing.T) {
	runner := newTarget(test, "runner", answers(http.StatusOK, "Seal: s\r\n", "booked"))
	node := newNode(test, tableFixture{once: []*target{runner}, idempotent: []*target{runner}})
	node.forward.BeginStop(callerDeadline / 2)
	refused := node.request(test, http.MethodPost, "/once/1", "")
	require.NoError(test, refused.err)
	assert.Equal(test, http.StatusServiceUnavailable, refused.status)
	assert.NotEmpty(test, refused.header.Get("Retry-After"))
	assert.Zero(test, runner.count(), "the refused request ran")
	repeatable := node.request(test, http.MethodGet, "/idempotent/1", "")
	assert.Equal(test, http.StatusOK, repeatable.status, "a request that may be repeated and ends soon")
}

// Guards against a stream of a plain service that is accepted late in a planned stop and aborted
// at its end: it may last until its deadline.
func TestStreamOfPlainServiceThatMayOutlastTheStopIsRefused(test *testing.T) {
	runner := newTarget(test, "runner", streams(2, "0\r\n\r\n"))
	node := newNode(test, tableFixture{runners: []*target{runner}})
	require.Equal(test, http.StatusOK, node.request(test, http.MethodPost, "/stream/1", "prompt").status)
	node.forward.BeginStop(callerDeadline / 2)
	require.Equal(test, http.StatusServiceUnavailable, node.request(test, http.MethodPost, "/stream/1", "prompt").status)
	require.Equal(test, 1, runner.count())
}

// Guards against a stop that refuses requests that end in time.
func TestRequestThatEndsInsideTheStopIsServed(test *testing.T) {
	runner := newTarget(test, "runner", answers(http.StatusOK, "Seal: s\r\n", "booked"))
	node := newNode(test, tableFixture{once: []*target{runner}})
	node.forward.BeginStop(2 * callerDeadline)
	served := node.request(test, http.MethodPost, "/once/1", "")
	require.NoError(test, served.err)
	assert.Equal(test, http.StatusOK, served.status)
}

// Guards against a second attempt that is sent late in a planned stop: the first target has
// refused the request after the stop began.
func TestRequestIsNotSentAgainWhenItMayOutlastTheStop(test *testing.T) {
	var node *node
	refusing := func(conn net.Conn, request *http.Request) bool {
		node.forward.BeginStop(callerDeadline / 2)
		return answer(conn, request, http.StatusServiceUnavailable, "Refused: 1\r\n", "")
	}
	runners := []*target{newTarget(test, "runner-1", refusing), newTarget(test, "runner-2", refusing)}
	node = newNode(test, tableFixture{once: runners})
	refused := node.request(test, http.MethodPost, "/once/1", "")
	require.NoError(test, refused.err)
	assert.Equal(test, http.StatusServiceUnavailable, refused.status)
	assert.Equal(test, 1, runners[0].count()+runners[1].count())
}

// Guards against requests that are cut without an answer at the end of the grace.
func TestRequestsInProgressAreAnsweredAtTheEndOfTheGrace(test *testing.T) {
	for _, path := range []string{"/once/1", "/idempotent/1", "/stream/1"} {
		test.Run(path, func(test *testing.T) {
			silent := silentTarget(test, "silent")
			node := newNode(test, tableFixture{once: []*target{silent}, idempotent: []*target{silent}, groups: []*target{silent}})
			replies := make(chan reply, 1)
			go func() { replies <- node.request(test, http.MethodPost, path, "") }()
			require.Eventually(test, func() bool { return silent.count() == 1 }, waitTimeout, waitTick)
			node.forward.EndRequests()
			ended := <-replies
			require.NoError(test, ended.err)
			assert.Equal(test, http.StatusBadGateway, ended.status)
		})
	}
}

// Guards against a request whose body has not arrived at the end of the grace: it is refused
// as not run, and never sent to a target.
func TestRequestWithoutItsWholeBodyIsRefusedAtTheEndOfTheGrace(test *testing.T) {
	runner := newTarget(test, "runner", answers(http.StatusOK, "Seal: s\r\n", "booked"))
	node := newNode(test, tableFixture{once: []*target{runner}})
	reader, writer := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, node.server.URL+"/once/1", reader)
	require.NoError(test, err)
	request.Host = "host.example"
	request.Header = http.Header{"Id": {"a1"}, "Secret": {"key"}}
	replies := make(chan reply, 1)
	go func() { replies <- node.send(request) }()
	_, err = writer.Write([]byte("first part"))
	require.NoError(test, err)
	require.Eventually(test, node.forward.RequestReceived, waitTimeout, waitTick)
	node.forward.EndRequests()
	refused := <-replies
	require.NoError(test, refused.err)
	assert.Equal(test, http.StatusServiceUnavailable, refused.status)
	assert.Zero(test, runner.count())
	_ = writer.Close()
}
