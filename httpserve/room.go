package httpserve

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/limit"
)

const (
	// ConnectionBytes is what a connection holds with an ordinary request: two goroutines,
	// the buffers of net/http, and freeBytes for the head.
	ConnectionBytes = 40 << 10

	// freeBytes is the decoded size up to which a head takes no room of its own.
	freeBytes = 16 << 10

	// overflowShare is the part of a room's connections that is accepted beyond it, while
	// others are closing.
	overflowShare = 1.0 / 16

	// yieldTime is how long a connection waits for another one that closes for it.
	yieldTime = time.Second

	// discardTime is how long the rest of a refused body may take, also if it makes progress.
	discardTime = time.Second

	// refusalTime bounds the writing of a refusal to a head.
	refusalTime = 100 * time.Millisecond

	// lingerTime is how long the socket of a connection that is closed with unread bytes stays
	// open, as long as in net/http.
	lingerTime = 500 * time.Millisecond

	// refusalInterval is the interval between two log lines about refusals of one cause.
	refusalInterval = time.Second
)

// A RoomConfig bounds what the connections of a Server may make the node hold. A bound of 0 is
// none.
type RoomConfig struct {
	Connections int

	// HeadBytes bounds the decoded heads of requests, beyond what ConnectionBytes has for
	// each connection.
	HeadBytes int64
}

// NewRoomConfig returns the room for a share of the memory and of the descriptors of a node.
func NewRoomConfig(connectionBytes, headBytes int64, descriptors int) RoomConfig {
	return RoomConfig{Connections: max(1, min(int(connectionBytes/ConnectionBytes), descriptors)), HeadBytes: max(1, headBytes)}
}

// ErrNoRoom is the error of reading a body whose connection closes because others need the
// room that it holds. ErrBodyStalled is that of a body that makes no progress.
var (
	ErrNoRoom      = errors.New("the node holds as many bytes of bodies and heads as it may")
	ErrBodyStalled = errors.New("no byte of the body arrived in time")

	errRefused = errors.New("request was refused")
)

// A refusal is the answer to a request whose head is not read to its end. It was not handled.
type refusal struct {
	status int
	cause  cause
	reason string
}

var (
	refusalNoRoom     = refusal{http.StatusServiceUnavailable, causeHeads, ErrNoRoom.Error()}
	refusalHeadBytes  = refusal{http.StatusRequestHeaderFieldsTooLarge, causeHeadBytes, "head is over its bound"}
	refusalHeadLines  = refusal{http.StatusRequestHeaderFieldsTooLarge, causeHeadLines, "head has too many lines"}
	refusalEmptyLines = refusal{http.StatusBadRequest, causeEmptyLines, "empty lines before a request"}
)

// answer returns the refusal as it is sent.
func (refusal refusal) answer() string {
	retry := ""
	if refusal.status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n%s\r\n%s\n",
		refusal.status, http.StatusText(refusal.status), len(refusal.reason)+1, retry, refusal.reason)
}

// checkHead returns the refusal of a head that is over a bound, nil if it is not.
func (server *Server) checkHead(head *headMeter) *refusal {
	config := server.config
	bound := config.MaxHeaderBytes
	if config.HeadLimit != nil {
		if limit := config.HeadLimit(); limit > 0 && (bound <= 0 || limit < bound) {
			bound = limit
		}
	}
	switch {
	case bound > 0 && head.bytes > bound+headSlack:
		return &refusalHeadBytes
	case config.MaxHeaderLines > 0 && head.lines > config.MaxHeaderLines:
		return &refusalHeadLines
	case head.emptyBytes > maxEmptyBytes:
		return &refusalEmptyLines
	}
	return nil
}

// A cause is a bound that closed a connection or refused a request.
type cause string

const (
	causeConnections cause = "connections"
	causeHeads       cause = "heads"
	causeBodies      cause = "bodies"
	causeHeadBytes   cause = "head-bytes"
	causeHeadLines   cause = "head-lines"
	causeEmptyLines  cause = "empty-lines"
	causeBodyStalled cause = "body-stalled"
)

// A room counts what the connections of a server hold.
type room struct {
	config  RoomConfig
	name    string
	logger  *zap.Logger
	refused *prometheus.CounterVec

	mutex sync.Mutex
	heads int64

	// lingering is the number of sockets that linger.
	lingering int

	// released is closed when a connection releases something, nil if nothing waits for that.
	released chan struct{}

	// logs are, for each cause, the time of the last log line and the refusals since.
	logs map[cause]*refusalLog
}

type refusalLog struct {
	writtenAt time.Time
	count     int
}

func newRoom(config Config) *room {
	return &room{
		config: config.Room, name: config.Name, logger: config.Logger, logs: map[cause]*refusalLog{},
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name:        "lacewingspoke_callers_refused_total",
			Help:        "Connections closed and requests refused because of a bound on what callers may send or hold, by its cause.",
			ConstLabels: prometheus.Labels{"server": config.Name},
		}, []string{"cause"}),
	}
}

// record counts a refusal, and logs it unless another one of its cause was logged just now.
func (room *room) record(cause cause, from string) {
	room.refused.WithLabelValues(string(cause)).Inc()
	room.mutex.Lock()
	defer room.mutex.Unlock()
	last := room.logs[cause]
	if last == nil {
		last = &refusalLog{}
		room.logs[cause] = last
	}
	last.count++
	now := time.Now()
	if now.Sub(last.writtenAt) < refusalInterval {
		return
	}
	room.logger.Warn("callers are refused for what they send or hold", zap.String("server", room.name),
		zap.String("cause", string(cause)), zap.Int("refused", last.count), zap.String("last", from))
	last.writtenAt, last.count = now, 0
}

// takeHeads makes a connection hold count bytes of heads in place of held, or returns a channel
// that is closed after the next release. Like limit.Bytes, it leaves as much free as the
// connection holds.
func (room *room) takeHeads(held, count int64) (<-chan struct{}, bool) {
	room.mutex.Lock()
	defer room.mutex.Unlock()
	more := count - held
	if room.config.HeadBytes == 0 || more <= 0 || count <= room.config.HeadBytes-room.heads-more {
		room.heads += more
		return nil, true
	}
	if room.released == nil {
		room.released = make(chan struct{})
	}
	return room.released, false
}

// release releases bytes of heads, and wakes those who wait for room.
func (room *room) release(heads int64) {
	room.mutex.Lock()
	defer room.mutex.Unlock()
	room.heads -= heads
	if room.released != nil {
		close(room.released)
		room.released = nil
	}
}

// overflow is the number of connections that are accepted beyond the room while others close,
// and of sockets that linger.
func (room *room) overflow() int {
	return max(1, int(overflowShare*float64(room.config.Connections)))
}

// beginLinger reports whether one more socket may linger.
func (room *room) beginLinger() bool {
	room.mutex.Lock()
	defer room.mutex.Unlock()
	if room.config.Connections > 0 && room.lingering >= room.overflow() {
		return false
	}
	room.lingering++
	return true
}

func (room *room) endLinger() {
	room.mutex.Lock()
	defer room.mutex.Unlock()
	room.lingering--
}

func (room *room) headBytes() float64 {
	room.mutex.Lock()
	defer room.mutex.Unlock()
	return float64(room.heads)
}

// Collectors returns the metrics of what the connections hold and of what was refused.
func (server *Server) Collectors() []prometheus.Collector {
	labels := prometheus.Labels{"server": server.config.Name}
	return []prometheus.Collector{
		server.room.refused,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lacewingspoke_callers_connections", Help: "Open connections.", ConstLabels: labels,
		}, func() float64 { return float64(server.count()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lacewingspoke_callers_head_bytes", Help: "Decoded bytes that large heads of requests hold.", ConstLabels: labels,
		}, server.room.headBytes),
	}
}

// A share is what is short: connections, or the heads or bodies that they hold.
type share int

const (
	shareConnections share = iota
	shareHeads
	shareBodies
)

// yieldFor closes the connection that goes first for one that asks for room, and returns what
// it holds of that. It returns false if none ranks above it.
func (server *Server) yieldFor(asking *connection, share share, cause cause) (int64, bool) {
	var candidates []*connection
	var holdings []limit.Holding
	var sizes []int64
	now := time.Now()
	for _, open := range server.open() {
		if open == asking {
			continue
		}
		if holding, size, may := open.holding(share, now); may {
			candidates, holdings, sizes = append(candidates, open), append(holdings, holding), append(sizes, size)
		}
	}
	wanted := limit.Holding{Bytes: ConnectionBytes}
	if asking != nil {
		wanted, _, _ = asking.holding(share, now)
	}
	for {
		first := limit.FirstToYield(holdings, wanted)
		if first < 0 {
			return 0, false
		}
		if candidates[first].yield() {
			server.room.record(cause, candidates[first].RemoteAddr().String())
			return sizes[first], true
		}
		// It has got on meanwhile.
		holdings[first] = limit.Holding{}
	}
}

// takeHeads takes the room for the head of a request. If there is none, it closes other
// connections, and returns false if they don't make enough room in time.
func (server *Server) takeHeads(asking *connection, held, count int64) bool {
	deadline := time.NewTimer(yieldTime)
	defer deadline.Stop()
	for {
		released, taken := server.room.takeHeads(held, count)
		if taken {
			return true
		}
		if asking.yields() {
			return false
		}
		if _, yields := server.yieldFor(asking, shareHeads, causeHeads); !yields && !server.anyYielding() {
			return false
		}
		select {
		case <-released:
		case <-deadline.C:
			return false
		}
	}
}

// anyYielding reports whether a connection is closing for another one.
func (server *Server) anyYielding() bool {
	for _, open := range server.open() {
		if open.yields() {
			return true
		}
	}
	return false
}

// admit reports whether a new connection may stay. If the room has no other, one that goes
// before it is closed.
func (server *Server) admit() bool {
	bound := server.config.Room.Connections
	if bound == 0 {
		return true
	}
	open := server.count()
	if open < bound {
		return true
	}
	_, yields := server.yieldFor(nil, shareConnections, causeConnections)
	return (yields || server.anyYielding()) && open < bound+server.room.overflow()
}
