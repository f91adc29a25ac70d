// Package httpanswer decides what bytes that a client receives are an answer in HTTP/1. It is
// the one place for that: the clients of targets, of other nodes, of the store and of plain
// services all receive through it.
//
// net/http takes more for an answer than the protocol does: a status such as 000 or +20, a blank
// in the name of a field, which hides that the field is a length or an encoding, an encoding in
// an answer of HTTP/1.0, and any version. What comes out then is not what the server has sent. A
// Conn checks each head as it is received and ends the connection with an error that says why, so
// that neither net/http nor its user sees such an answer. CheckTrailer does the same for the
// fields after a body.
//
// A body without a length and without chunks ends with its connection, and the end of a
// connection that has failed looks the same: the system hands the reset of a connection out once,
// and if a write gets it, the next read returns the ordinary end. A Conn therefore returns the
// failure of a write in place of the end.
//
// An answer that is not valid is a failure of its server, which may have run the request.
//
// # Usage
//
//	transport := httpanswer.NewTransport(&http.Transport{DisableCompression: true})
//	response, err := transport.RoundTrip(request)
//
// Without http.Transport:
//
//	conn := httpanswer.NewConn(dialed)
//	conn.Expect()
//	// write the request
//	answer, err := http.ReadResponse(bufio.NewReader(conn), request)
//	if err != nil {
//		return conn.Cause(err)
//	}
//	httpanswer.CheckTrailer(answer)
package httpanswer

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/juju/errors"
)

// MinStatus and MaxStatus are the bounds of the statuses of final answers (RFC 9110, section 15).
const (
	MinStatus = 200
	MaxStatus = 599
)

// A Conn is a client's connection over which answers are received. Its methods may be called by
// one reader and one writer at a time, like those of a net.Conn. Read returns an errors.NotValid
// error for a head that is no answer.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex

	mutex sync.Mutex

	// head is the head that is being received, nil after the end of a final one.
	head *head

	// failure is the first failure of the connection, nil if there was none. The end of a
	// timeout is one for writes only: a read may be repeated.
	failure error
}

// NewConn returns a connection that expects an answer.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn, head: &head{}} }

// Expect begins the next call on a connection: what is received from now on is an answer.
func (conn *Conn) Expect() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.head = &head{}
}

// Inner returns the connection that NewConn was called with.
func (conn *Conn) Inner() net.Conn { return conn.Conn }

// Write writes to the connection.
func (conn *Conn) Write(data []byte) (int, error) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	count, err := conn.Conn.Write(data)
	if err != nil {
		conn.fail(err)
	}
	return count, err
}

// Cause returns why a head was no answer, or err if there was none. net/http, which gets the
// beginning of the head, may complain of that.
func (conn *Conn) Cause(err error) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if errors.Is(conn.failure, errors.NotValid) {
		return conn.failure
	}
	return err
}

// Read reads from the connection. At the end of the connection it returns io.EOF only if nothing
// has failed on it.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if err == io.EOF {
		// A write in progress may be the one that gets the reset of the connection.
		conn.writing.Lock()
		defer conn.writing.Unlock()
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if err != nil && err != io.EOF && !errors.Is(err, os.ErrDeadlineExceeded) && conn.failure == nil {
		conn.failure = err
	}
	if err == io.EOF && conn.failure != nil {
		err = conn.failure
	}
	if invalid := conn.check(buffer[:count]); invalid != nil {
		conn.failure = invalid
		return 0, invalid
	}
	return count, err
}

// check checks those of the received bytes that belong to heads. The caller holds the mutex.
func (conn *Conn) check(received []byte) error {
	if errors.Is(conn.failure, errors.NotValid) {
		return conn.failure
	}
	for _, char := range received {
		if conn.head == nil {
			return nil
		}
		ended, err := conn.head.next(char)
		switch {
		case err != nil:
			return err
		case ended && conn.head.interim():
			conn.head = &head{}
		case ended:
			conn.head = nil
		}
	}
	return nil
}

func (conn *Conn) fail(err error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.failure == nil {
		conn.failure = err
	}
}

// CheckTrailer makes the body of an answer end with an errors.NotValid error in place of io.EOF
// if a field after it has no valid name.
func CheckTrailer(answer *http.Response) {
	answer.Body = &checkedBody{ReadCloser: answer.Body, answer: answer}
}

// A checkedBody is a body whose trailer is checked at its end.
type checkedBody struct {
	io.ReadCloser
	answer *http.Response
}

// Read implements io.Reader.
func (body *checkedBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err == io.EOF {
		if invalid := CheckFields(body.answer.Trailer); invalid != nil {
			return count, errors.Annotate(invalid, "trailer")
		}
	}
	return count, err
}

// CheckFields returns an errors.NotValid error if a field has no valid name. It is for fields
// that were not received over a Conn.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if name == "" {
			return errors.NotValidf("answer with a field without a name")
		}
		for index := range len(name) {
			if !isNameChar(name[index]) {
				return invalidName(name)
			}
		}
	}
	return nil
}
