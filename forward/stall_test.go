package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silentStreams returns a script that streams like streams, and is silent for a time after
// the event with the index before.
func silentStreams(last, before int, silence time.Duration, ended chan<- struct{}) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, request *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
		first := 0
		fmt.Sscan(request.Header.Get("After"), &first)
		for index := first + 1; index <= last; index++ {
			if index == before+1 && !staysOpen(conn, silence) {
				if ended != nil {
					ended <- struct{}{}
				}
				return false
			}
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(index)), event(index))
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
}

// staysOpen reports whether a connection stays open for a time.
func staysOpen(conn net.Conn, duration time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(duration))
	_, err := conn.Read(make([]byte, 1))
	_ = conn.SetReadDeadline(time.Time{})
	failure, timedOut := err.(net.Error)
	return timedOut && failure.Timeout()
}

// refuses is a script that refuses all requests.
func refuses(conn net.Conn, request *http.Request) bool {
	return answer(conn, request, http.StatusServiceUnavailable, "Refused: 1\r\n", "")
}

// requestAt sends a streaming request until it begins at a target.
func (node *node) requestAt(test *testing.T, target *target) reply {
	for range 20 {
		before := target.count()
		got := node.request(test, http.MethodPost, "/stream/1", "prompt")
		if target.count() > before {
			return got
		}
	}
	require.Fail(test, "no request began at the target", target.name)
	return reply{}
}

// Guards against a stream that is aborted because its sound group is silent for a second and
// the only other one has no place (issue 37).
func TestSilentStreamGoesOnWhenNoGroupTakesIt(test *testing.T) {
	for name, other := range map[string]func(net.Conn, *http.Request) bool{
		"refused":   refuses,
		"failed":    answers(http.StatusInternalServerError, "Seal: s\r\n", "oops"),
		"cut":       streams(3, ""),
		"not taken": func(conn net.Conn, _ *http.Request) bool { return staysOpen(conn, waitTimeout) },
	} {
		test.Run(name, func(test *testing.T) {
			test.Parallel()
			silent := newTarget(test, "g1", silentStreams(6, 3, time.Second, nil))
			full := newTarget(test, "g2", other)
			node := newNode(test, tableFixture{groups: []*target{silent, full}, attempts: 2})
			got := node.requestAt(test, silent)
			require.NoError(test, got.err)
			require.Equal(test, events(6), got.body)
		})
	}
}

// Guards against a request whose group is silent before its first event and which is given
// up because the only other group refuses it (issue 37).
func TestSilentRequestIsAnsweredWhenNoGroupTakesIt(test *testing.T) {
	silent := newTarget(test, "g1", silentStreams(4, 0, 1300*time.Millisecond, nil))
	full := newTarget(test, "g2", refuses)
	node := newNode(test, tableFixture{groups: []*target{silent, full}, attempts: 2})
	got := node.requestAt(test, silent)
	require.NoError(test, got.err)
	require.Equal(test, events(4), got.body)
}

// Guards against a stream that waits for a stalled group although another one goes on, and
// against events that come twice.
func TestStalledStreamMovesWithTheNextEvent(test *testing.T) {
	ended := make(chan struct{}, 1)
	stalled := newTarget(test, "g1", silentStreams(6, 3, waitTimeout, ended))
	sound := newTarget(test, "g2", streams(6, "0\r\n\r\n"))
	node := newNode(test, tableFixture{groups: []*target{stalled, sound}, attempts: 2})
	began := time.Now()
	got := node.requestAt(test, stalled)
	require.NoError(test, got.err)
	require.Equal(test, events(6), got.body)
	require.Less(test, time.Since(began), 2*time.Second)
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		test.Fatal("the call to the stalled group did not end")
	}
}

// Guards against a second call that goes on after the silent group has sent the next event,
// and against events of two runs that are mixed.
func TestFirstEventOfEitherGroupEndsTheOtherCall(test *testing.T) {
	ended := make(chan struct{}, 1)
	silent := newTarget(test, "g1", silentStreams(6, 3, 700*time.Millisecond, nil))
	slow := newTarget(test, "g2", silentStreams(6, 3, waitTimeout, ended))
	node := newNode(test, tableFixture{groups: []*target{silent, slow}, attempts: 2})
	got := node.requestAt(test, silent)
	require.NoError(test, got.err)
	require.Equal(test, events(6), got.body)
	require.NotZero(test, slow.count())
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		test.Fatal("the call to the other group did not end")
	}
}

// Guards against a started stream that is aborted with time left because the only group
// that may take it is full for a moment, and against a third target for it (issue 37).
func TestStartedStreamWaitsForAPlace(test *testing.T) {
	broken := newTarget(test, "g1", streams(3, ""))
	var opened atomic.Int64
	opened.Store(time.Now().Add(time.Hour).UnixNano())
	busy := func(conn net.Conn, request *http.Request) bool {
		if time.Now().UnixNano() < opened.Load() {
			return refuses(conn, request)
		}
		return streams(6, "0\r\n\r\n")(conn, request)
	}
	others := []*target{newTarget(test, "g2", busy), newTarget(test, "g3", busy)}
	node := newNode(test, tableFixture{groups: append(slices.Clone(others), broken), attempts: 2})
	counts := func() (reached int) {
		for _, other := range others {
			if other.count() > 0 {
				reached++
			}
		}
		return reached
	}
	for range 20 {
		for _, other := range others {
			other.mutex.Lock()
			other.requests = nil
			other.mutex.Unlock()
		}
		before := broken.count()
		opened.Store(time.Now().Add(time.Second).UnixNano())
		got := node.request(test, http.MethodPost, "/stream/1", "prompt")
		if broken.count() == before || counts() > 1 {
			// Both others have refused the request before it began.
			continue
		}
		require.NoError(test, got.err)
		require.Equal(test, events(6), got.body)
		require.Equal(test, 1, counts())
		return
	}
	test.Fatal("no request began at the broken group")
}

// Guards against resumed streams that exceed the retry allowance while they wait, and against
// one that is aborted because no retry is left for a moment.
func TestStartedStreamWaitsForARetry(test *testing.T) {
	broken := newTarget(test, "g1", streams(3, ""))
	full := newTarget(test, "g2", refuses)
	node := newNode(test, tableFixture{groups: []*target{broken, full}, attempts: 2, retries: 2})
	began, requests := time.Now(), 0
	for before := 0; broken.count() == before && requests < 20; requests++ {
		before = broken.count()
		got := node.request(test, http.MethodPost, "/stream/1", "prompt")
		if broken.count() > before {
			require.Error(test, got.err)
			require.Equal(test, events(3), got.body)
		}
	}
	require.NotZero(test, broken.count())
	retries := broken.count() + full.count() - requests
	require.LessOrEqual(test, retries, 2*int(time.Since(began).Seconds()+2))
	require.Greater(test, retries, 2)
}

// A slowWriter is the response to a caller that reads the event last only after a time.
type slowWriter struct {
	*httptest.ResponseRecorder
	last string
	wait time.Duration
}

func (writer *slowWriter) Write(data []byte) (int, error) {
	if strings.Contains(string(data), writer.last) {
		time.Sleep(writer.wait)
	}
	return writer.ResponseRecorder.Write(data)
}

// Guards against a stream that has arrived whole and is aborted because its deadline passes
// while its last event is written.
func TestWholeStreamIsCompleteAtTheDeadline(test *testing.T) {
	cut := 0
	for range 10 {
		whole := newTarget(test, "g1", streams(3, "0\r\n\r\n"))
		node := newNode(test, tableFixture{groups: []*target{whole}})
		request := httptest.NewRequest(http.MethodPost, "/stream/1", strings.NewReader("x"))
		request.Host = "host.example"
		request.Header = http.Header{"Id": {"a1"}, "Secret": {"key"}, "Wait": {"100ms"}}
		writer := &slowWriter{ResponseRecorder: httptest.NewRecorder(), last: "piece 3", wait: 150 * time.Millisecond}
		func() {
			defer func() {
				if recover() != nil {
					cut++
				}
			}()
			node.forward.ServeHTTP(writer, request)
		}()
		require.Equal(test, events(3), writer.Body.String())
	}
	require.Zero(test, cut, "whole streams were aborted")
}

// Guards against a request under which two targets have ended and that is sent to another one
// because the third is silent.
func TestRequestThatEndedTwoTargetsIsNotRepeatedOnSilence(test *testing.T) {
	var node *node
	for index := range 2 {
		var dying *target
		dying = newTarget(test, fmt.Sprint("d", index), func(net.Conn, *http.Request) bool {
			dying.listener.Close()
			return false
		})
		if node == nil {
			node = newNode(test, tableFixture{groups: []*target{dying}})
		}
		node.publish(test, tableFixture{groups: []*target{dying}})
		_ = node.request(test, http.MethodPost, "/stream/1", "x")
		require.Equal(test, 1, dying.count())
	}
	require.Len(test, node.tracker.TakeEndings(), 2)
	silent := newTarget(test, "g1", silentStreams(4, 2, 1500*time.Millisecond, nil))
	other := newTarget(test, "g2", silentStreams(4, 2, 1500*time.Millisecond, nil))
	node.publish(test, tableFixture{groups: []*target{silent, other}})
	_ = node.request(test, http.MethodPost, "/stream/1", "x")
	require.Equal(test, 1, silent.count()+other.count(), "the request reached another target")
}

// Guards against a started stream without a retry that takes the places of a target with a
// limit from other requests while it waits.
func TestWaitingStreamTakesNoPlaces(test *testing.T) {
	limited := newTarget(test, "g2", func(conn net.Conn, request *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nLimit: 5\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", request.Header.Get("Id"), len(event(1)), event(1))
		return true
	})
	broken := newTarget(test, "g1", streams(3, ""))
	served := map[int]int{}
	for _, waiting := range []int{0, 3} {
		node := newNode(test, tableFixture{groups: []*target{limited}, noRetries: true})
		require.Equal(test, http.StatusOK, node.request(test, http.MethodPost, "/stream/1", "prompt").status)
		node.publish(test, tableFixture{groups: []*target{broken}})
		before := broken.count()
		var streaming sync.WaitGroup
		for range waiting {
			streaming.Go(func() { node.request(test, http.MethodPost, "/stream/1", "prompt") })
		}
		require.Eventually(test, func() bool { return broken.count() >= before+waiting }, waitTimeout, waitTick)
		node.publish(test, tableFixture{groups: []*target{limited}})
		for began := time.Now(); time.Since(began) < 1500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
			if node.request(test, http.MethodPost, "/stream/1", "prompt").status == http.StatusOK {
				served[waiting]++
			}
		}
		streaming.Wait()
	}
	// The windows of the limit may begin at another moment.
	require.GreaterOrEqual(test, served[3], served[0]-1, "served: %v", served)
}
