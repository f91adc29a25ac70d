package engine_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/standin/cut"
)

// Guards against an answer that ends early in its head or its body and is taken for a
// refusal or for a whole stream, or of which a part of a piece is returned.
func TestAnswerThatEndsEarlyIsBroken(t *testing.T) {
	pieces := []engine.Piece{{Attempt: "a", Text: "y"}, {Attempt: "a", Index: 1, Text: "z"}, {Attempt: "a", Index: 2, Done: true}}
	const first, second, done = `data: {"attempt":"a","index":0,"text":"y"}` + "\n\n", `data: {"attempt":"a","index":1,"text":"z"}` + "\n\n", `data: {"attempt":"a","index":2,"done":true}` + "\n\n"
	const content = first + second + done
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for name, answer := range map[string]string{
		"length":          fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(content), content),
		"chunked":         head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(first+second[:20]) + chunk(second[20:]+done) + "0\r\n\r\n",
		"until the close": head + "\r\n" + content,
		"refusal":         "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				server, err := cut.Start(cut.Config{Answer: cut.Always(answer), Reset: reset})
				require.NoError(t, err)
				defer server.Close()
				generator := engine.NewGenerator(engine.GeneratorConfig{})
				headEnd := strings.Index(answer, "\r\n\r\n") + 4
				for length := range len(answer) + 1 {
					server.SetLength(length)
					got, err := generate(generator, server.Address())
					var refused *engine.RefusedError
					if name == "refusal" && length >= headEnd && !reset {
						require.ErrorAs(t, err, &refused)
					}
					if name == "refusal" && length >= headEnd {
						continue
					}
					var broken *engine.StreamError
					require.ErrorAs(t, err, &broken, "after %d bytes", length)
					require.True(t, broken.Sent)
					require.Equal(t, pieces[:len(got)], append([]engine.Piece{}, got...), "after %d bytes", length)
					if length < headEnd {
						require.Empty(t, got)
					}
					if last := strings.Index(answer, `"done":true}`+"\n"); len(got) == len(pieces) {
						require.Greater(t, length, last, "the last piece is not whole")
					}
					if length == len(answer) && !reset {
						require.Equal(t, pieces, got)
					}
				}
			})
		}
	}
}

// generate returns the pieces of a stream and the error that ended it.
func generate(generator *engine.Generator, address string) ([]engine.Piece, error) {
	stream, err := generator.Generate(context.Background(), address, engine.Generate{Attempt: "a"}, nil)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var pieces []engine.Piece
	for {
		piece, err := stream.Next()
		if err != nil {
			return pieces, err
		}
		pieces = append(pieces, piece)
	}
}
