package httpserve_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/httpserve"
)

// Guards against requests that outlast the end of a planned stop, in their contexts or in
// what they wait for, and against ones that a stop ends at its beginning.
func TestRequestsEndWithTheirStop(test *testing.T) {
	now := time.Unix(1000, 0)
	requests := httpserve.NewRequests(func() time.Time { return now })
	deadline := now.Add(time.Minute)
	require.Equal(test, time.Minute, requests.Remaining(deadline))
	require.True(test, requests.Allows(deadline, false, time.Second))
	ctx, cancel := requests.Context(context.Background(), time.Hour)
	defer cancel()
	finished, finish := requests.Context(context.Background(), time.Hour)
	finish()
	require.ErrorIs(test, finished.Err(), context.Canceled)
	called := make(chan struct{})
	requests.OnEnd(func() { close(called) })
	stop := requests.OnEnd(func() { panic("called after it was stopped") })
	require.True(test, stop())

	requests.BeginStop(5 * time.Second)
	require.Equal(test, 5*time.Second, requests.Remaining(deadline))
	require.Equal(test, time.Second, requests.Remaining(now.Add(time.Second)))
	require.False(test, requests.Allows(deadline, false, time.Second))
	require.True(test, requests.Allows(deadline, true, time.Second))
	require.NoError(test, ctx.Err())
	require.False(test, requests.Ended())

	requests.End()
	require.True(test, requests.Ended())
	<-ctx.Done()
	<-called
}

// Guards against a request that outlasts its own time or its caller.
func TestContextOfARequestEndsInTime(test *testing.T) {
	requests := httpserve.NewRequests(time.Now)
	late, cancel := requests.Context(context.Background(), time.Millisecond)
	defer cancel()
	<-late.Done()
	require.ErrorIs(test, late.Err(), context.DeadlineExceeded)
	parent, leave := context.WithCancel(context.Background())
	left, cancelLeft := requests.Context(parent, time.Hour)
	defer cancelLeft()
	leave()
	<-left.Done()
	require.ErrorIs(test, left.Err(), context.Canceled)
}
