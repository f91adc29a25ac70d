package httpsend

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/httpanswer"
)

// connSet is the set of open connections of a Client.
type connSet struct {
	mutex sync.Mutex

	// open maps each connection to its address.
	open map[*countedConn]string
}

func newConnSet() *connSet { return &connSet{open: make(map[*countedConn]string)} }

func (set *connSet) add(address string, conn net.Conn) *countedConn {
	counted := &countedConn{Conn: conn, set: set, openedAt: time.Now()}
	set.mutex.Lock()
	defer set.mutex.Unlock()
	set.open[counted] = address
	return counted
}

func (set *connSet) remove(conn *countedConn) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	delete(set.open, conn)
}

// closeIdle closes the connections to the address that no call uses. A call to
// which the transport assigns one of them concurrently fails before its first
// byte.
func (set *connSet) closeIdle(address string) {
	for _, conn := range set.connsTo(address) {
		if conn.blockIfIdle() {
			conn.Close()
		}
	}
}

func (set *connSet) connsTo(address string) []*countedConn {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	var conns []*countedConn
	for conn, openAddress := range set.open {
		if openAddress == address {
			conns = append(conns, conn)
		}
	}
	return conns
}

// countedConn is a connection that counts the writes that were started on it.
type countedConn struct {
	net.Conn
	set      *connSet
	openedAt time.Time

	mutex   sync.Mutex
	writes  uint64
	uses    uint64
	idle    bool
	blocked bool
}

func (conn *countedConn) Close() error {
	conn.set.remove(conn)
	return conn.Conn.Close()
}

func (conn *countedConn) Write(data []byte) (int, error) {
	if !conn.beginWrite() {
		return 0, errors.New("connection of a failed call")
	}
	return conn.Conn.Write(data)
}

func (conn *countedConn) beginWrite() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.blocked {
		return false
	}
	conn.writes++
	return true
}

// beginUse records that another call starts to use the connection.
func (conn *countedConn) beginUse() connUse {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.idle = false
	conn.uses++
	return connUse{conn: conn, number: conn.uses, writesBefore: conn.writes}
}

// endUse marks the connection as idle unless the next call already uses it.
func (conn *countedConn) endUse(number uint64) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.idle = conn.uses == number
}

// unusedTime is the time after which a connection that no call has used yet counts as idle: the
// transport may open one for a call that it then gives another connection.
const unusedTime = time.Second

// blockIfIdle blocks later writes if no call uses the connection, and reports
// whether the connection is idle.
func (conn *countedConn) blockIfIdle() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	idle := conn.idle || conn.uses == 0 && time.Since(conn.openedAt) > unusedTime
	conn.blocked = conn.blocked || idle
	return idle
}

// blockWrites blocks later writes of the use and reports whether the use started
// a write.
func (conn *countedConn) blockWrites(use connUse) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.uses != use.number {
		// The call had received its whole response before the transport assigned
		// the connection to the next call.
		return true
	}
	conn.blocked = true
	return conn.writes > use.writesBefore
}

// callConns is the list of connections that one call used. HTTP/1 uses a
// connection for one call at a time, so every write during a use belongs to the
// call.
type callConns struct {
	mutex sync.Mutex
	uses  []connUse

	// answered is true once the first byte of a response has arrived.
	answered atomic.Bool
}

func (conns *callConns) gotResponse() { conns.answered.Store(true) }

// connUse is the use of a connection by one call.
type connUse struct {
	conn         *countedConn
	number       uint64
	writesBefore uint64
}

func (conns *callConns) gotConn(info httptrace.GotConnInfo) {
	use := info.Conn.(*httpanswer.Conn).Inner().(*countedConn).beginUse()
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	conns.uses = append(conns.uses, use)
}

// endLastUse is the PutIdleConn hook of net/http/httptrace. The transport may
// already have assigned the connection to another call when it runs.
func (conns *callConns) endLastUse(err error) {
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	if err != nil || len(conns.uses) == 0 {
		return
	}
	last := conns.uses[len(conns.uses)-1]
	last.conn.endUse(last.number)
}

// blockWrites reports whether any byte of the call may have been written, and
// blocks later writes, because the transport may still be writing when a call is
// cancelled. The transport closes the connection.
func (conns *callConns) blockWrites() bool {
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	sent := false
	for _, use := range conns.uses {
		sent = use.conn.blockWrites(use) || sent
	}
	return sent
}
