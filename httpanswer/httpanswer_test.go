package httpanswer_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/httpanswer"
)

// valid are answers with the bodies that they have.
var valid = map[string][2]string{
	"length":              {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
	"chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"},
	"trailer":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", "ok"},
	"until the close":     {"HTTP/1.1 200 OK\r\n\r\nok", "ok"},
	"HTTP/1.0":            {"HTTP/1.0 200 OK\r\n\r\nok", "ok"},
	"later version":       {"HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
	"no reason":           {"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", "ok"},
	"empty reason":        {"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", "ok"},
	"reason in Latin-1":   {"HTTP/1.1 200 Gr\xfc\xdfe\tan alle\r\nContent-Length: 2\r\n\r\nok", "ok"},
	"line feeds":          {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "ok"},
	"folded field":        {"HTTP/1.1 200 OK\r\nX: a\r\n b c: d\r\nContent-Length: 2\r\n\r\nok", "ok"},
	"folded length":       {"HTTP/1.1 200 OK\r\nContent-Length:\r\n\t2\r\n\r\nokay", "ok"},
	"value of blanks":     {"HTTP/1.1 200 OK\r\nX:  \t \r\nContent-Length: 2\r\n\r\nok", "ok"},
	"odd names":           {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 2\r\n\r\nok", "ok"},
	"after interim heads": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
	"no content":          {"HTTP/1.1 204 No Content\r\n\r\n", ""},
	"server error":        {"HTTP/1.1 599 Failed\r\nContent-Length: 2\r\n\r\nno", "no"},
	"body like a head":    {"HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\nHTTP/1.1 000 X\r\nA B: 1\r\n", "HTTP/1.1 000 X\r\nA B: 1\r\n"},
}

// invalidStatus are bytes with a status line that is none.
var invalidStatus = map[string]string{
	"status 000":               "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 099":               "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
	"status +20":               "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\nok",
	"status -20":               "HTTP/1.1 -20 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 20":                "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 2000":              "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 2e2":               "HTTP/1.1 2e2 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 600":               "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 999":               "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 101":               "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nok",
	"two blanks":               "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok",
	"no status":                "HTTP/1.1\r\nContent-Length: 2\r\n\r\nok",
	"empty line first":         "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/9.9":                 "HTTP/9.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/2.0":                 "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"lower case":               "http/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"control byte in reason":   "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok",
	"invalid after an interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
}

// invalidFields are bytes with a field, or a framing, that is none.
var invalidFields = map[string]string{
	"carriage return in head":  "HTTP/1.1 200 OK\r\nX: a\rY: b\r\nContent-Length: 2\r\n\r\nok",
	"blank before the colon":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more",
	"tab before the colon":     "HTTP/1.1 200 OK\r\nContent-Length\t: 2\r\n\r\nok",
	"encoding with a blank":    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank in a name":          "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a name":   "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"NUL in a name":            "HTTP/1.1 200 OK\r\nX\x00Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"DEL in a name":            "HTTP/1.1 200 OK\r\nX\x7fY: 1\r\nContent-Length: 2\r\n\r\nok",
	"Latin-1 in a name":        "HTTP/1.1 200 OK\r\nX\xe4Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"parenthesis in a name":    "HTTP/1.1 200 OK\r\nX(Y): 1\r\nContent-Length: 2\r\n\r\nok",
	"no name":                  "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
	"no colon":                 "HTTP/1.1 200 OK\r\nX\r\nContent-Length: 2\r\n\r\nok",
	"fold first":               "HTTP/1.1 200 OK\r\n X: 1\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a value":  "HTTP/1.1 200 OK\r\nX: \x01\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.0 in chunks":       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"HTTP/1.0 in chunks, fold": "HTTP/1.0 200 OK\r\ntransfer-encoding:\r\n chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank in the trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
	"invalid interim":          "HTTP/1.1 100 Continue\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"one digit of length":      "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
}

// A wire is a connection from which bytes are read in parts of a given size.
type wire struct {
	net.Conn
	unread *bytes.Reader
	part   int
}

func (wire *wire) Read(buffer []byte) (int, error) {
	return wire.unread.Read(buffer[:min(len(buffer), wire.part)])
}

// receive reads an answer in parts of a size.
func receive(text string, part int) (string, error) {
	conn := httpanswer.NewConn(&wire{unread: bytes.NewReader([]byte(text)), part: part})
	reader := bufio.NewReader(conn)
	for {
		answer, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return "", conn.Cause(err)
		}
		if answer.StatusCode < httpanswer.MinStatus {
			continue
		}
		httpanswer.CheckTrailer(answer)
		body, err := io.ReadAll(answer.Body)
		return string(body), err
	}
}

// Guards against bytes that are no answer in the protocol and that pass for one, and against
// proper answers that do not, however they are split.
func TestOnlyAnswersOfTheProtocolAreReceived(test *testing.T) {
	for _, part := range []int{1, 2, 3, 7, 4096} {
		for name, answer := range valid {
			body, err := receive(answer[0], part)
			require.NoError(test, err, "%s in parts of %d", name, part)
			require.Equal(test, answer[1], body, "%s in parts of %d", name, part)
		}
		for name, text := range invalidStatus {
			body, err := receive(text, part)
			require.Error(test, err, "%s in parts of %d: body %q", name, part, body)
		}
		for name, text := range invalidFields {
			body, err := receive(text, part)
			require.Error(test, err, "%s in parts of %d: body %q", name, part, body)
		}
	}
}

// Guards against checks that fail, or that let a head of more than a few lines pass unchecked.
func TestLongHeadsAreChecked(test *testing.T) {
	long := "HTTP/1.1 200 " + strings.Repeat("OK", 500) + "\r\n" + strings.Repeat("X-"+strings.Repeat("Long", 100)+": 1\r\n", 50)
	body, err := receive(long+"Content-Length: 2\r\n\r\nok", 100)
	require.NoError(test, err)
	require.Equal(test, "ok", body)
	_, err = receive(long+"X Y: 1\r\nContent-Length: 2\r\n\r\nok", 100)
	require.ErrorIs(test, err, errors.NotValid)
	require.ErrorContains(test, err, `"X "`)
}

// serve starts a server that calls a script with each connection after the head of a request.
func serve(test *testing.T, script func(conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(test, err)
	test.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err == nil {
					script(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// resetWhileWritten answers a part of a body without a length while the request is still being
// written, and resets the connection.
func resetWhileWritten(conn *net.TCPConn) {
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nhello worl")
	time.Sleep(100 * time.Millisecond)
	_ = conn.SetLinger(0)
}

// Guards against the beginning of a body without a length that passes for the whole body, after
// a write has got the reset of the connection.
func TestBodyThatEndsWithAResetIsNotWhole(test *testing.T) {
	address := serve(test, resetWhileWritten)
	test.Run("transport", func(test *testing.T) {
		base := &http.Transport{}
		defer base.CloseIdleConnections()
		transport := httpanswer.NewTransport(base)
		for range 20 {
			request, err := http.NewRequestWithContext(test.Context(), http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, 32<<20)))
			require.NoError(test, err)
			answer, err := transport.RoundTrip(request)
			if err != nil {
				continue
			}
			body, err := io.ReadAll(answer.Body)
			answer.Body.Close()
			assert.Error(test, err, "%q passes for a whole body", body)
		}
	})
	test.Run("connection", func(test *testing.T) {
		dialed, err := net.Dial("tcp", address)
		require.NoError(test, err)
		conn := httpanswer.NewConn(dialed)
		defer conn.Close()
		conn.Expect()
		_, err = conn.Write(append([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 33554432\r\n\r\n"), make([]byte, 32<<20)...))
		require.Error(test, err)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(test, err)
		body, err := io.ReadAll(answer.Body)
		require.Error(test, err, "%q passes for a whole body", body)
	})
}

// Guards against an early answer that is lost with the end of its connection although it is whole
// by its own length, and against one without a length that is refused although its request was
// written whole.
func TestWholeEarlyAnswersAreReceived(test *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
	} {
		address := serve(test, func(conn *net.TCPConn) {
			fmt.Fprint(conn, text)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		})
		base := &http.Transport{}
		request, err := http.NewRequestWithContext(test.Context(), http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, 8<<20)))
		require.NoError(test, err)
		answer, err := httpanswer.NewTransport(base).RoundTrip(request)
		require.NoError(test, err, name)
		body, err := io.ReadAll(answer.Body)
		require.NoError(test, err, name)
		require.Equal(test, "ok", string(body), name)
		answer.Body.Close()
		base.CloseIdleConnections()
	}
}

// Guards against a head that is not checked because an earlier answer came over the connection.
func TestEachAnswerOfAKeptConnectionIsChecked(test *testing.T) {
	address := serve(test, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if _, err := http.ReadRequest(reader); err == nil {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more")
		}
	})
	base := &http.Transport{}
	defer base.CloseIdleConnections()
	transport := httpanswer.NewTransport(base)
	for index := range 2 {
		request, err := http.NewRequestWithContext(test.Context(), http.MethodPost, "http://"+address+"/", strings.NewReader("x"))
		require.NoError(test, err)
		request.GetBody = nil
		answer, err := transport.RoundTrip(request)
		if index == 1 {
			require.ErrorIs(test, err, errors.NotValid)
			return
		}
		require.NoError(test, err)
		_, err = io.ReadAll(answer.Body)
		require.NoError(test, err)
		answer.Body.Close()
		time.Sleep(20 * time.Millisecond)
	}
}

// FuzzHead checks that whatever passes for an answer has a status of the protocol and fields with
// valid names, and that the same bytes pass however they are split.
func FuzzHead(fuzz *testing.F) {
	for _, answer := range valid {
		fuzz.Add(answer[0])
	}
	for _, text := range invalidStatus {
		fuzz.Add(text)
	}
	for _, text := range invalidFields {
		fuzz.Add(text)
	}
	fuzz.Fuzz(func(test *testing.T, text string) {
		whole, wholeErr := receive(text, 1<<20)
		split, splitErr := receive(text, 1)
		require.Equal(test, wholeErr == nil, splitErr == nil, "%v, %v", wholeErr, splitErr)
		if wholeErr == nil {
			require.Equal(test, whole, split)
		}
		conn := httpanswer.NewConn(&wire{unread: bytes.NewReader([]byte(text)), part: 1 << 20})
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			require.GreaterOrEqual(test, answer.StatusCode, 100)
			require.LessOrEqual(test, answer.StatusCode, httpanswer.MaxStatus)
			require.NoError(test, httpanswer.CheckFields(answer.Header))
		}
	})
}
