package entry_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against sampling parameters that are not forwarded to the engine, and
// against parameters or values that engines cannot honour and that are accepted.
func TestSamplingParametersReachEngine(t *testing.T) {
	harness := newHarness(t, nil)
	fake := newFakeEngine(t)
	harness.addGroup("g", fake, longGrant)
	harness.keepRenewing("g")
	body := `{"prompt":"p","max_tokens":2,"temperature":0.5,"top_p":0.9,"seed":7,"stop":"end","n":1}`
	got := harness.do(http.MethodPost, "/v1/completions", body, nil)
	require.Equal(t, http.StatusOK, got.status, got.body)
	sampling := fake.received()[0].Sampling
	require.NotNil(t, sampling)
	require.Equal(t, 0.5, *sampling.Temperature)
	require.Equal(t, 0.9, *sampling.TopP)
	require.EqualValues(t, 7, *sampling.Seed)
	require.Equal(t, []string{"end"}, sampling.Stop)
	for _, parameter := range []string{
		`"temperature":2.5`, `"top_p":-1`, `"n":2`, `"stop":5`, `"stop":[""]`, `"logprobs":1`,
	} {
		got := harness.do(http.MethodPost, "/v1/completions", `{"prompt":"p",`+parameter+`}`, nil)
		require.Equal(t, http.StatusBadRequest, got.status, parameter)
		require.Equal(t, "not-run", got.outcome(), parameter)
	}
}

// Guards against a request that an engine rejects as invalid but that is retried
// at other groups or reported as a lack of capacity.
func TestInvalidDraftIsNotRetried(t *testing.T) {
	harness := newHarness(t, nil)
	tried := atomic.Int32{}
	rejecting := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		tried.Add(1)
		http.Error(writer, "prompt is too long", http.StatusBadRequest)
	}))
	t.Cleanup(rejecting.Close)
	harness.addGroupAt("g", rejecting.Listener.Addr().String(), longGrant)
	harness.addGroupAt("h", rejecting.Listener.Addr().String(), longGrant)
	got := harness.draft("p", 2, false)
	require.Equal(t, http.StatusBadRequest, got.status, got.body)
	require.Equal(t, "not-run", got.outcome())
	require.Contains(t, got.body, "prompt is too long")
	require.EqualValues(t, 1, tried.Load())
}
