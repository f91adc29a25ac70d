package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lacewingspoke.org/lacewingspoke/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newGenerateServer(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against a field of the request or a piece of the stream that is lost
// in encoding.
func TestGenerateStream(t *testing.T) {
	want := engine.Generate{Attempt: "a", Group: "g", Epoch: 4, Prompt: "p", MaxTokens: 2, ResumeIndex: 1, ResumeText: "x", Priority: 2}
	address := newGenerateServer(t, func(writer http.ResponseWriter, request *http.Request) {
		var got engine.Generate
		_ = json.NewDecoder(request.Body).Decode(&got)
		if got != want || request.URL.Path != "/v1/generate" {
			writer.WriteHeader(http.StatusTeapot)
			return
		}
		_, _ = io.WriteString(writer, ": comment\n\ndata: {\"attempt\":\"a\",\"index\":1,\"text\":\"y\"}\n\ndata: {\"attempt\":\"a\",\"index\":2,\"done\":true}\n\n")
	})
	stream, err := engine.NewGenerator(engine.GeneratorConfig{}).Generate(context.Background(), address, want, nil)
	require.NoError(t, err)
	defer stream.Close()
	piece, err := stream.Next()
	require.NoError(t, err)
	require.Equal(t, engine.Piece{Attempt: "a", Index: 1, Text: "y"}, piece)
	require.True(t, stream.EventBuffered())
	piece, err = stream.Next()
	require.NoError(t, err)
	require.Equal(t, engine.Piece{Attempt: "a", Index: 2, Done: true}, piece)
	require.False(t, stream.EventBuffered())
	_, err = stream.Next()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a request that may have run and is reported as refused or as
// not sent, and against a refused or unsent one that is reported as possibly
// run.
func TestGenerateErrors(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(code) }
	}
	config := engine.GeneratorConfig{FirstPieceTimeout: 50 * time.Millisecond, ProgressTimeout: 50 * time.Millisecond}
	generator := engine.NewGenerator(config)
	generate := func(address string) error {
		stream, err := generator.Generate(context.Background(), address, engine.Generate{}, nil)
		if err != nil {
			return err
		}
		defer stream.Close()
		for {
			if _, err := stream.Next(); err != nil {
				return err
			}
		}
	}
	for _, code := range []int{http.StatusConflict, http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		var refused *engine.RefusedError
		require.ErrorAs(t, generate(newGenerateServer(t, status(code))), &refused)
		require.Equal(t, code, refused.Status)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	stall := func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
	stallLater := func(writer http.ResponseWriter, request *http.Request) {
		_, _ = fmt.Fprint(writer, "data: {}\n\n")
		_ = http.NewResponseController(writer).Flush()
		<-request.Context().Done()
	}
	cases := []struct {
		name          string
		address       string
		sent, stalled bool
	}{
		{"dial", closed.Addr().String(), false, false},
		{"internal error", newGenerateServer(t, status(http.StatusInternalServerError)), true, false},
		{"redirect", newGenerateServer(t, http.RedirectHandler("/other", http.StatusTemporaryRedirect).ServeHTTP), true, false},
		{"stalled before the first piece", newGenerateServer(t, readBodyFirst(stall)), true, true},
		{"stalled after the first piece", newGenerateServer(t, readBodyFirst(stallLater)), true, true},
		{"not JSON", newGenerateServer(t, text("data: {\n")), true, false},
		{"long event", newGenerateServer(t, text("data: "+strings.Repeat("x", 1<<17))), true, false},
	}
	for _, test := range cases {
		var broken *engine.StreamError
		require.ErrorAs(t, generate(test.address), &broken, test.name)
		require.Equal(t, test.sent, broken.Sent, test.name)
		require.Equal(t, test.stalled, broken.Stalled, test.name)
	}
}

// readBodyFirst reads the request's body before it calls next, because net/http
// detects only then that the client has disconnected.
func readBodyFirst(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		next(writer, request)
	}
}

func text(body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, body) }
}
