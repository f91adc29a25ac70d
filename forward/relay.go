package forward

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/httpanswer"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/route"
)

// RelayPath is the path at which a node sends requests to targets for nodes that do not
// reach them.
const RelayPath = "/v1/relay"

// Headers of the responses at RelayPath. The second one is a trailer.
const (
	headerRelayOutcome = "Relay-Outcome"
	headerRelayEnd     = "Relay-End"
)

// A relayOutcome is what became of a request that a node was to send for another one.
type relayOutcome string

const (
	// relayAnswered precedes the target's answer. As the trailer it means that the answer
	// is complete.
	relayAnswered relayOutcome = "answered"

	// relayUnavailable, relayClosed and relayUnreached mean that nothing was sent: the
	// node sends nothing for others now or does not reach the target's service either, it
	// has no open target of that name or a configuration that does not allow the request,
	// or it could not establish a connection.
	relayUnavailable relayOutcome = "unavailable"
	relayClosed      relayOutcome = "closed"
	relayUnreached   relayOutcome = "unreached"

	// relayBroken means that the target may have run the request, and relayEnded that it
	// accepts no connections any more.
	relayBroken relayOutcome = "broken"
	relayEnded  relayOutcome = "ended"
)

// notSent reports whether the outcome excludes that the target has received anything.
func (outcome relayOutcome) notSent() bool {
	return outcome == relayUnavailable || outcome == relayClosed || outcome == relayUnreached
}

// A relayedCall is the message for a node that is to send a request to a target.
type relayedCall struct {
	Target string `msgpack:"target"`

	// Group and Epoch are those of a serving group, empty for a runner of a plain service.
	Group string `msgpack:"group"`
	Epoch uint64 `msgpack:"epoch"`

	// Stream is true if the answer is a stream of events. Nodes of earlier releases send streams
	// to groups only.
	Stream bool `msgpack:"stream"`

	// Service is the one to which the sender has routed the request, by the configuration
	// Generation.
	Service    string `msgpack:"service"`
	Generation uint64 `msgpack:"generation"`

	// Parts are those by which the request may be in quarantine, see package quarantine.
	// Probe is true if it is sent although one of them is.
	Parts []string `msgpack:"parts"`
	Probe bool     `msgpack:"probe"`

	Method string      `msgpack:"method"`
	URI    string      `msgpack:"uri"`
	Host   string      `msgpack:"host"`
	Header http.Header `msgpack:"header"`
	Body   []byte      `msgpack:"body"`

	Workspace   string `msgpack:"workspace"`
	ResumeAfter string `msgpack:"resume-after"`
	Urgency     int    `msgpack:"urgency"`

	// RemainingMicros is the time until the deadline in microseconds.
	RemainingMicros int64 `msgpack:"remaining-us"`
	NewConnection   bool  `msgpack:"new-connection"`
}

// A relayedHead precedes the body of a target's answer. Its length precedes it in
// headLengthBytes.
type relayedHead struct {
	Status int         `msgpack:"status"`
	Header http.Header `msgpack:"header"`

	// First is true if the connection to the target has had no other request. Nodes of earlier
	// releases do not send it.
	First bool `msgpack:"first"`
}

const headLengthBytes = 4

// encodeHead returns the head with its length.
func encodeHead(head relayedHead) ([]byte, error) {
	encoded, err := msgpack.Marshal(head)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(encoded))), encoded...), nil
}

// readHead reads the head of a target's answer.
func readHead(reader io.Reader) (relayedHead, error) {
	var length [headLengthBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return relayedHead{}, errors.Trace(err)
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxHeadBytes {
		return relayedHead{}, errAnswerTooLong
	}
	encoded := make([]byte, size)
	if _, err := io.ReadFull(reader, encoded); err != nil {
		return relayedHead{}, errors.Trace(err)
	}
	var head relayedHead
	if err := msgpack.Unmarshal(encoded, &head); err != nil {
		return relayedHead{}, errors.Trace(err)
	}
	if head.Status < httpanswer.MinStatus || head.Status > httpanswer.MaxStatus {
		return relayedHead{}, errors.NotValidf("relayed answer with status %d", head.Status)
	}
	// Nodes of earlier releases send fields on as net/http has read them.
	return head, errors.Annotate(httpanswer.CheckFields(head.Header), "relayed answer")
}

// relay sends a call through a node and reads the head of the target's answer within the
// timeout. Its error is a *callError.
func (client *client) relay(ctx context.Context, address string, newConnection bool, relayed func() (relayedCall, error), hold *limit.Hold, timeout time.Duration) (*response, error) {
	response, err := client.do(ctx, call{
		address:       address,
		method:        http.MethodPost,
		newConnection: newConnection,
		hold:          hold,
		message: func() (message, error) {
			content, err := relayed()
			if err != nil {
				return message{}, err
			}
			body, err := msgpack.Marshal(content)
			if err != nil {
				return message{}, errors.Trace(err)
			}
			return requestMessage(http.MethodPost, RelayPath, address, http.Header{"Content-Type": {"application/msgpack"}}, body), nil
		},
	}, timeout)
	if err != nil {
		return nil, err
	}
	hop := response.http
	outcome := relayOutcome(hop.Header.Get(headerRelayOutcome))
	if hop.StatusCode == http.StatusNotFound {
		// The node is of a release without this call.
		outcome = relayUnavailable
	}
	if hop.StatusCode != http.StatusOK || outcome != relayAnswered {
		response.discard()
		return nil, &callError{cause: errors.Errorf("node %s did not send the request on: %s", address, outcome), sent: !outcome.notSent(), outcome: outcome}
	}
	head, err := readHead(hop.Body)
	if err != nil {
		response.discard()
		return nil, &callError{cause: errors.Annotate(response.cause(err), "read head of a relayed answer"), sent: true}
	}
	response.relayed, response.first = true, head.First
	response.http = &http.Response{
		StatusCode: head.Status, Status: http.StatusText(head.Status), Header: head.Header, Body: &relayedBody{hop: hop}, Close: hop.Close,
		ContentLength: -1,
	}
	return response, nil
}

// A relayedBody is the body of a target's answer. It ends with io.EOF only if the node
// that relays it has received its end from the target.
type relayedBody struct{ hop *http.Response }

// Read implements io.Reader.
func (body *relayedBody) Read(buffer []byte) (int, error) {
	count, err := body.hop.Body.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	outcome := relayOutcome(body.hop.Trailer.Get(headerRelayEnd))
	if outcome == relayAnswered {
		return count, io.EOF
	}
	return count, &callError{cause: errors.Errorf("relayed answer ended: %s", outcome), sent: true, outcome: outcome}
}

// Close implements io.Closer.
func (body *relayedBody) Close() error { return body.hop.Body.Close() }

const (
	// nodesService is the name of the nodes in the table that they are chosen from.
	nodesService = "nodes"

	// nodeAvoidance is how long a node that could not send a request on is not asked
	// again. It is short, as a refusal costs about 2 ms and a node can regain its targets
	// at any time.
	nodeAvoidance = 500 * time.Millisecond

	// maxNodesTried bounds the nodes that one request is sent to one after the other.
	maxNodesTried = 3
)

// nodes are the other nodes of the fleet, through which requests can be sent.
type nodes struct {
	picker  *route.Picker
	tracker *route.Tracker

	mutex   sync.Mutex
	others  []fleet.Node
	table   *route.Table
	avoided map[string]time.Time
}

func newNodes(config route.PickerConfig) *nodes {
	tracker := route.NewTracker()
	config.Tracker = tracker
	return &nodes{picker: route.NewPicker(config), tracker: tracker, table: route.NewTable(route.TableConfig{}), avoided: map[string]time.Time{}}
}

// set replaces the nodes. It is called every second, mostly with the same ones.
func (nodes *nodes) set(others []fleet.Node) {
	nodes.mutex.Lock()
	defer nodes.mutex.Unlock()
	if slices.Equal(nodes.others, others) {
		return
	}
	nodes.others = others
	targets := make([]route.ServiceTarget, 0, len(others))
	for _, other := range others {
		targets = append(targets, route.ServiceTarget{
			Service: nodesService, Name: other.Name, Address: other.AdminAddress, FailureDomain: other.FailureDomain, Open: other.AdminAddress != "",
		})
	}
	nodes.table = route.NewTable(route.TableConfig{Services: targets})
}

// all returns the nodes.
func (nodes *nodes) all() []route.ServiceTarget {
	nodes.mutex.Lock()
	defer nodes.mutex.Unlock()
	return nodes.table.Services(nodesService)
}

// pick returns the node with the lower load of two random ones that are not avoided, or
// false.
func (nodes *nodes) pick(now time.Time) (route.ServiceTarget, bool) {
	nodes.mutex.Lock()
	defer nodes.mutex.Unlock()
	excluded := map[string]bool{}
	for name, until := range nodes.avoided {
		if now.Before(until) {
			excluded[name] = true
		} else {
			delete(nodes.avoided, name)
		}
	}
	return nodes.picker.PickService(nodes.table, nodesService, excluded, now)
}

// choose returns up to count nodes, each picked as by pick.
func (nodes *nodes) choose(count int, now time.Time) []route.ServiceTarget {
	nodes.mutex.Lock()
	defer nodes.mutex.Unlock()
	excluded := map[string]bool{}
	var chosen []route.ServiceTarget
	for len(chosen) < count {
		node, found := nodes.picker.PickService(nodes.table, nodesService, excluded, now)
		if !found {
			break
		}
		excluded[node.Name] = true
		chosen = append(chosen, node)
	}
	return chosen
}

// failed records that a node did not send a request on.
func (nodes *nodes) failed(name string, now time.Time) {
	nodes.mutex.Lock()
	defer nodes.mutex.Unlock()
	nodes.avoided[name] = now.Add(nodeAvoidance)
}
