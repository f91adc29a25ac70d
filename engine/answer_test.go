package engine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/standin/cut"
)

// Guards against bytes that are no answer and are read as a stream, or as a refusal of a request
// that may have run.
func TestInvalidAnswerIsBroken(t *testing.T) {
	const stream = `data: {"attempt":"a","index":0,"done":true}` + "\n\n"
	for _, text := range []string{
		"HTTP/9.9 200 OK\r\n\r\n" + stream,
		"HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n" + stream,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + stream,
		"HTTP/9.9 503 Full\r\nContent-Length: 4\r\n\r\nfull",
		"HTTP/1.1 503 Full\r\nContent-Length : 4\r\n\r\nfull",
	} {
		server, err := cut.Start(cut.Config{Answer: cut.Always(text)})
		require.NoError(t, err)
		server.SetLength(len(text))
		got, err := generate(engine.NewGenerator(engine.GeneratorConfig{}), server.Address())
		var broken *engine.StreamError
		require.ErrorAs(t, err, &broken, "%q: %v", text, got)
		require.True(t, broken.Sent)
		require.Empty(t, got)
		server.Close()
	}
}
