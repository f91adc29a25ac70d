package httpsend

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/standin/cut"
)

// Guards against a reply that ends early in its head or its body and is returned as whole, or
// whose request is reported as not sent.
func TestReplyThatEndsEarlyIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 10:00:00 GMT\r\nContent-Type: application/json\r\n"
	const content = `{"items":[]}`
	chunks := "8\r\n" + content[:8] + "\r\n4\r\n" + content[8:] + "\r\n"
	for name, reply := range map[string]string{
		"length":               head + "Content-Length: 12\r\n\r\n" + content,
		"chunked":              head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n",
		"chunked with trailer": head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n" + chunks + "0\r\nX-Sum: 80\r\n\r\n",
		"until the close":      head + "\r\n" + content,
		"no content":           "HTTP/1.1 204 No Content\r\nEtag: \"80\"\r\n\r\n",
		"interim and final":    "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 12\r\n\r\n" + content,
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				server, err := cut.Start(cut.Config{Answer: cut.Always(reply), Reset: reset})
				require.NoError(t, err)
				defer server.Close()
				client := testClient(t)
				headEnd := strings.LastIndex(reply, "\r\n\r\n") + 4
				if name == "until the close" {
					headEnd = strings.Index(reply, "\r\n\r\n") + 4
				}
				for count := range len(reply) + 1 {
					server.SetLength(count)
					got, err := client.Do(t.Context(), Request{Method: "PUT", Address: server.Address(), Path: "/", Body: []byte("b"), Timeout: testTimeout, MaxReplyBytes: 1 << 10})
					want, whole := content, count == len(reply)
					switch name {
					case "until the close":
						want, whole = reply[min(headEnd, count):count], count >= headEnd && !reset
					case "no content":
						want = ""
					}
					if !whole {
						require.Error(t, err, "after %d bytes: %q", count, got.Body)
					} else if !reset {
						require.NoError(t, err, "after %d bytes", count)
					}
					if err != nil {
						require.True(t, MayHaveBeenSent(err), "after %d bytes", count)
						continue
					}
					require.Equal(t, want, string(got.Body))
				}
			})
		}
	}
}
