package httpserve

import "net/http"

// Abort ends the handler of a request whose response has begun and cannot be completed, so
// that the caller does not take it for complete. It panics with http.ErrAbortHandler, on
// which the server closes the connection without the last chunk.
//
// A response to an HTTP/1.0 caller has no chunks, and ends with its connection: only a reset
// distinguishes one that was aborted.
func Abort(writer http.ResponseWriter, request *http.Request) {
	if !request.ProtoAtLeast(1, 1) {
		reset(writer)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a response. Data that the caller has not received is lost.
func reset(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0)
	}
	conn.Close()
}
