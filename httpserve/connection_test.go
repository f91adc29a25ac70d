package httpserve

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestConnection returns a connection of a server in a state. Its caller sends nothing.
func newTestConnection(test *testing.T, state state) *connection {
	accepted, caller := net.Pipe()
	test.Cleanup(func() {
		accepted.Close()
		caller.Close()
	})
	added := New(Config{Name: "test"}).add(accepted)
	added.state = state
	return added
}

// Guards against a connection that counts as closing for others and stays open for the whole time
// of a head, because net/http sets its deadline after the first byte.
func TestDeadlineOfAHeadDoesNotKeepAConnectionThatYields(test *testing.T) {
	reading := newTestConnection(test, stateReading)
	require.True(test, reading.yield())
	require.NoError(test, reading.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err := reading.Read(make([]byte, 16))
	require.ErrorIs(test, err, ErrNoRoom)
}

// Guards against the end of the context of a connection's next request: net/http ends it if the
// read that it aborts after a handler fails with anything else than a timeout.
func TestAbortedReadTimesOut(test *testing.T) {
	for _, yields := range []bool{false, true} {
		answered := newTestConnection(test, stateAnswered)
		answered.bodyDeadline = time.Unix(1, 0)
		require.NoError(test, answered.SetReadDeadline(time.Unix(1, 0)))
		if yields {
			require.True(test, answered.yield())
		}
		_, err := answered.Read(make([]byte, backgroundBytes))
		require.ErrorIs(test, err, os.ErrDeadlineExceeded)
		require.NoError(test, answered.failure)
	}
}

// Guards against a connection that has just been answered and closes for others before ones that
// stand still: it counted as one that discards the rest of its request, which may take a second.
func TestAnsweredConnectionRanksAsIdle(test *testing.T) {
	answered, idle := newTestConnection(test, stateAnswered), newTestConnection(test, stateIdle)
	answered.server.config.IdleTimeout, idle.server.config.IdleTimeout = time.Minute, time.Minute
	allowed := func(connection *connection) time.Duration {
		holding, _, may := connection.holding(shareConnections, time.Now())
		require.True(test, may)
		return holding.Allowed
	}
	require.Equal(test, allowed(idle), allowed(answered))
	answered.bodyDeadline = time.Now().Add(discardTime)
	require.Equal(test, discardTime, allowed(answered), "the rest of its request is read")
}
