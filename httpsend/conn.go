package httpsend

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/juju/errors"
)

// connSet is the open connections of a caller.
type connSet struct {
	mutex sync.Mutex
	open  map[*countedConn]string
}

func newConnSet() *connSet { return &connSet{open: make(map[*countedConn]string)} }

func (set *connSet) add(address string, conn net.Conn) *countedConn {
	counted := &countedConn{Conn: conn, set: set}
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

// closeIdle closes the connections to the address that no call uses. A call
// that is given one at the same moment fails before its first byte.
func (set *connSet) closeIdle(address string) {
	for _, conn := range set.to(address) {
		if conn.stopIdle() {
			conn.Close()
		}
	}
}

func (set *connSet) to(address string) []*countedConn {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	var conns []*countedConn
	for conn, other := range set.open {
		if other == address {
			conns = append(conns, conn)
		}
	}
	return conns
}

// countedConn counts the writes that were started on a connection.
type countedConn struct {
	net.Conn
	set *connSet

	mutex   sync.Mutex
	writes  uint64
	uses    uint64
	idle    bool
	stopped bool
}

func (conn *countedConn) Close() error {
	conn.set.remove(conn)
	return conn.Conn.Close()
}

func (conn *countedConn) Write(data []byte) (int, error) {
	if !conn.startWrite() {
		return 0, errors.New("connection of a failed call")
	}
	return conn.Conn.Write(data)
}

func (conn *countedConn) startWrite() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.stopped {
		return false
	}
	conn.writes++
	return true
}

// use begins the next use of the connection by a call.
func (conn *countedConn) use() connUse {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.idle = false
	conn.uses++
	return connUse{conn: conn, number: conn.uses, before: conn.writes}
}

// release marks the connection as idle unless the next use has begun.
func (conn *countedConn) release(number uint64) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.idle = conn.uses == number
}

// stopIdle blocks later writes if no call uses the connection, and reports
// whether it did.
func (conn *countedConn) stopIdle() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.stopped = conn.stopped || conn.idle
	return conn.idle
}

// stop blocks later writes of a use and reports whether one was started.
func (conn *countedConn) stop(use connUse) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.uses != use.number {
		// The call had read its whole reply before the connection went on.
		return true
	}
	conn.stopped = true
	return conn.writes > use.before
}

// connUsage is the connections that one call was given. HTTP/1 uses a
// connection for one call at a time, so every write in between belongs to the
// call.
type connUsage struct {
	mutex sync.Mutex
	uses  []connUse
}

type connUse struct {
	conn   *countedConn
	number uint64
	before uint64
}

func (usage *connUsage) gotConn(info httptrace.GotConnInfo) {
	use := info.Conn.(*countedConn).use()
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	usage.uses = append(usage.uses, use)
}

// putIdle is called after the connection can be given to another call.
func (usage *connUsage) putIdle(err error) {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	if err != nil || len(usage.uses) == 0 {
		return
	}
	last := usage.uses[len(usage.uses)-1]
	last.conn.release(last.number)
}

// stop reports whether any byte of the call can have been written, and
// prevents the transport, which may still be writing when a call is cancelled,
// from writing one later. The transport closes the connection.
func (usage *connUsage) stop() bool {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	sent := false
	for _, use := range usage.uses {
		sent = use.conn.stop(use) || sent
	}
	return sent
}
