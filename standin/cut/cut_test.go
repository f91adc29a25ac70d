package cut_test

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/standin/cut"
)

// receive sends a request to the server and returns the bytes of the answer and the error
// that ended them.
func receive(test *testing.T, server *cut.Server, path string) (string, error) {
	conn, err := net.Dial("tcp", server.Address())
	require.NoError(test, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab", path)
	require.NoError(test, err)
	received, err := io.ReadAll(conn)
	return string(received), err
}

// Guards against a stand-in that writes more or less than the length, that closes a
// connection which it should reset, or that counts wrongly: tests with it would show less.
func TestAnswersEndAtTheLength(test *testing.T) {
	for _, reset := range []bool{false, true} {
		test.Run(fmt.Sprint("reset ", reset), func(test *testing.T) {
			server, err := cut.Start(cut.Config{
				Answer: func(body []byte) string { return "answer to " + string(body) },
				Reset:  reset,
				Exempt: map[string]string{"/whole": "exempt"},
			})
			require.NoError(test, err)
			defer server.Close()
			const whole = "answer to ab"
			for length := range len(whole) + 3 {
				server.SetLength(length)
				require.Equal(test, length, server.Length())
				received, err := receive(test, server, "/cut")
				if reset {
					// A reset may overtake bytes that were not read.
					require.ErrorIs(test, err, syscall.ECONNRESET)
					require.Contains(test, whole[:min(length, len(whole))], received)
				} else {
					require.NoError(test, err)
					require.Equal(test, whole[:min(length, len(whole))], received)
				}
				require.Equal(test, length+1, server.Requests())
			}
			server.SetLength(2)
			received, err := receive(test, server, "/whole")
			require.NoError(test, err)
			require.Equal(test, "exempt", received)
			require.Equal(test, len(whole)+3, server.Requests())
		})
	}
}

// Guards against an answer that depends on no request and differs.
func TestAlwaysReturnsTheAnswer(test *testing.T) {
	require.Equal(test, "a", cut.Always("a")([]byte("b")))
}
