package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream without all its pieces, its final marker or its
// outcome.
func TestStreamedDraftIsComplete(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addGroup("copy-1", newFakeEngine(t), longGrant)
	harness.keepRenewing("copy-1")
	got := harness.draft("a", 20, true)
	require.NoError(t, got.err)
	text, done := got.parseStream(t)
	require.Equal(t, answerText("a", 20), text)
	require.True(t, done)
	require.Equal(t, "complete", got.outcome())
}

// Guards against a completion or a chat whose single response lacks text, has
// the wrong format or has no outcome.
func TestNonStreamedDraftIsComplete(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addGroup("copy-1", newFakeEngine(t), longGrant)
	harness.keepRenewing("copy-1")
	got := harness.draft("a", 3, false)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "complete", got.outcome())
	require.Contains(t, got.body, `"text":"\u003ca 0\u003e\u003ca 1\u003e\u003ca 2\u003e"`)
	chat := harness.do(http.MethodPost, "/v1/chat/completions", `{"messages":[{"role":"user","content":"b"}],"max_tokens":1}`, nil)
	require.Equal(t, http.StatusOK, chat.status)
	require.Contains(t, chat.body, `"message":{"role":"assistant","content":"\u003cuser: b\nassistant: 0\u003e"}`)
}

// A fakeService is a service runner that counts its requests.
type fakeService struct {
	server *httptest.Server
	runs   atomic.Int64

	// answer replaces the default answer if it is not nil.
	answer http.HandlerFunc
}

func newFakeService(t *testing.T) *fakeService {
	fake := &fakeService{}
	fake.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		fake.runs.Add(1)
		if fake.answer != nil {
			fake.answer(writer, request)
			return
		}
		body, _ := io.ReadAll(request.Body)
		writer.Header().Set("Content-Type", "text/plain")
		writer.Header().Set("Set-Cookie", "private=1")
		writer.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(writer, request.Method+" "+request.URL.RequestURI()+" "+string(body)+request.Header.Get("Authorization"))
	}))
	t.Cleanup(fake.server.Close)
	return fake
}

func (fake *fakeService) address() string { return fake.server.Listener.Addr().String() }

// Guards against a request that is forwarded without its full URI or with the
// caller's key, and against a response with a header that is not public.
func TestServiceRequestForwardsOnlyPublicHeaders(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addService(newFakeService(t).address())
	got := harness.do(http.MethodGet, "/planks/7?unit=m%2F2", "", nil)
	require.Equal(t, http.StatusCreated, got.status)
	require.Equal(t, "GET /planks/7?unit=m%2F2 ", got.body)
	require.Equal(t, "complete", got.outcome())
	require.Empty(t, got.header.Get("Set-Cookie"))
	require.Equal(t, "text/plain", got.header.Get("Content-Type"))
}

// Guards against a second run of a booking whose key was used before, and
// against the replay of its answer to a different request.
func TestRepeatedBookingIsReplayed(t *testing.T) {
	harness := newHarness(t, nil)
	target := newFakeService(t)
	harness.addService(target.address())
	header := map[string]string{"Idempotency-Key": "k1"}
	first := harness.do(http.MethodPost, "/bookings", `{"plank":"a"}`, header)
	require.Equal(t, http.StatusCreated, first.status)
	require.Equal(t, "complete", first.outcome())
	second := harness.do(http.MethodPost, "/bookings", `{"plank":"a"}`, header)
	require.Equal(t, first.status, second.status)
	require.Equal(t, first.body, second.body)
	require.Equal(t, "complete", second.outcome())
	require.Equal(t, "true", second.header.Get("Lacewingspoke-Replay"))
	other := harness.do(http.MethodPost, "/bookings", `{"plank":"b"}`, header)
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, "not-run", other.outcome())
	require.EqualValues(t, 1, target.runs.Load())
}
