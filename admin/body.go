package admin

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/forward"
	"lacewingspoke.org/lacewingspoke/httpserve"
)

const (
	// DefaultMaxBodies leaves as much free as the largest body takes.
	DefaultMaxBodies = 2*maxQuestionBytes + 2

	// bodyWait is how long the reading of a body pauses while the server holds as much as it may.
	bodyWait = 250 * time.Millisecond
)

// boundBodies reads the body of a request whole before it is handled. The load: many callers
// that send large bodies and stop short of their end, each of which would hold a buffer until
// its connection ends. Relayed requests have a bound of their own.
func (server *Server) boundBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.ContentLength == 0 || request.URL.Path == forward.RelayPath {
			next.ServeHTTP(writer, request)
			return
		}
		hold := server.bodies.Hold(request.RemoteAddr)
		defer hold.Release()
		body, err := httpserve.ReadWhole(request.Body, request.ContentLength, maxQuestionBytes, func(size int64) bool {
			return httpserve.GrowBody(request, hold, size, bodyWait)
		})
		switch {
		case errors.Is(err, errors.QuotaLimitExceeded):
			http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
		case err != nil:
			http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		default:
			request.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(writer, request)
		}
	})
}
