package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/entry"
)

// Guards against a booking that is sent to a second runner late in a planned stop and cut at
// its end: the first runner has refused it after the stop began.
func TestBookingIsNotSentAgainWhenItMayOutlastTheStop(t *testing.T) {
	harness := newHarness(t, nil)
	runners := []*fakeService{newFakeService(t), newFakeService(t)}
	for _, runner := range runners {
		runner.answer = func(writer http.ResponseWriter, _ *http.Request) {
			harness.server.BeginStop(waitLimit / 2)
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		harness.addService(runner.address())
	}
	require.Equal(t, http.StatusServiceUnavailable, harness.book("").status)
	require.EqualValues(t, 1, runners[0].runs.Load()+runners[1].runs.Load())
}

// Guards against requests that get no answer at the end of the grace.
func TestRequestsInProgressAreAnsweredAtTheEndOfTheGrace(t *testing.T) {
	harness := newHarness(t, nil)
	received := make(chan struct{}, 16)
	silent := newFakeService(t)
	silent.answer = func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		received <- struct{}{}
		<-request.Context().Done()
	}
	harness.addService(silent.address())
	fake := newFakeEngine(t)
	fake.emit = func(ctx context.Context, _ engine.Generate, _ func(engine.Piece)) {
		received <- struct{}{}
		<-ctx.Done()
	}
	harness.addGroup("copy-1", fake, longGrant)
	replies := make(chan reply, 3)
	go func() { replies <- harness.book("") }()
	go func() { replies <- harness.do(http.MethodPost, "/planks", "plank", nil) }()
	go func() { replies <- harness.draft("a", 3, true) }()
	for range 3 {
		<-received
	}
	harness.server.EndRequests()
	for range 3 {
		ended := <-replies
		require.NoError(t, ended.err)
		require.Equal(t, http.StatusBadGateway, ended.status, ended.body)
	}
}

// Guards against a request that gets no answer when its body has taken too long.
func TestRequestWhoseBodyTakesTooLongIsRefused(t *testing.T) {
	harness := newHarness(t, func(config *entry.Config) { config.BodyTimeout = 50 * time.Millisecond })
	refused := harness.sendPartOfBody()
	require.Equal(t, http.StatusRequestTimeout, refused().StatusCode)
}

// sendPartOfBody sends a booking without its whole body. It returns a function that waits
// for the answer.
func (harness *harness) sendPartOfBody() func() *http.Response {
	conn, err := net.Dial("tcp", strings.TrimPrefix(harness.url, "http://"))
	require.NoError(harness.t, err)
	harness.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(harness.t, conn.SetDeadline(time.Now().Add(waitLimit)))
	_, err = io.WriteString(conn, "POST /bookings HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer "+callerKey+"\r\nContent-Length: 10\r\n\r\npart")
	require.NoError(harness.t, err)
	return func() *http.Response {
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(harness.t, err)
		_ = answer.Body.Close()
		return answer
	}
}

// Guards against a request that gets no answer at the end of the grace because its body has
// not arrived.
func TestRequestWithoutItsWholeBodyIsRefusedAtTheEndOfTheGrace(t *testing.T) {
	harness := newHarness(t, func(config *entry.Config) { config.BodyTimeout = time.Hour })
	answer := harness.sendPartOfBody()
	require.Eventually(t, func() bool { return harness.server.InFlight() == 1 }, waitLimit, time.Millisecond)
	harness.server.EndRequests()
	refused := answer()
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.Equal(t, "not-run", refused.Header.Get("Lacewingspoke-Outcome"))
}
