package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/generation"
	"lacewingspoke.org/lacewingspoke/httpsend"
)

const (
	// nodeTimeout bounds one call to a node. A node answers from memory, so a
	// slower one counts as unreachable.
	nodeTimeout = 2 * time.Second

	// nodeCalls bounds the calls in progress, so that a survey of several
	// hundred nodes needs few file descriptors.
	nodeCalls = 32

	// sampleSize is the number of nodes that an apply asks for a higher
	// generation than the store's. Each also reports its links' generations,
	// about 8 each, so that 24 nodes cover up to 200. Asking all of 730 nodes
	// 3,000 times a day would cost each of them most of its 13 KB/s.
	sampleSize = 24

	// maxStatusBytes bounds a node's answer. 181 groups with 32 members each
	// are about 300 KB.
	maxStatusBytes = 4 << 20
)

const (
	statusPath      = "/v1/status"
	drainPath       = "/v1/drain"
	contentTypeJSON = "application/json"
)

// nodeReport is the answer of one node, or the reason why there is none.
type nodeReport struct {
	address string
	status  admin.Status
	err     error
}

// head returns the head that the node holds.
func (report nodeReport) head() generation.Head {
	return generation.Head{
		Generation: report.status.Generation,
		Change:     report.status.Change,
		Digest:     report.status.Digest,
	}
}

// nodeAddresses returns the admin addresses that the operator gave and those
// in the store, in order and without duplicates. The error says why the
// store's are missing.
func (operator *Operator) nodeAddresses(ctx context.Context) ([]string, error) {
	known := map[string]bool{}
	for _, address := range operator.nodes {
		known[address] = true
	}
	err := operator.addStoredNodes(ctx, known)
	addresses := make([]string, 0, len(known))
	for address := range known {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	return addresses, errors.Trace(err)
}

func (operator *Operator) addStoredNodes(ctx context.Context, known map[string]bool) error {
	if operator.store == nil {
		return nil
	}
	listing, err := operator.store.List(ctx, fleet.NodePrefix)
	if err != nil {
		return errors.Annotate(err, "list nodes")
	}
	for _, entry := range listing.Entries {
		node, err := fleet.ParseNode(entry.Value)
		if err != nil {
			return errors.Annotate(err, entry.Key)
		}
		if node.AdminAddress != "" {
			known[node.AdminAddress] = true
		}
	}
	return nil
}

// survey asks every known node for its status.
func (operator *Operator) survey(ctx context.Context) ([]nodeReport, error) {
	addresses, err := operator.nodeAddresses(ctx)
	return operator.ask(ctx, addresses, allDetails), errors.Trace(err)
}

// details says how much of a node's status is read.
type details int

const (
	allDetails details = iota + 1

	// headOnly leaves the groups out.
	headOnly
)

func (details details) query() url.Values {
	if details == headOnly {
		return url.Values{admin.QueryGroups: {admin.GroupsNo}}
	}
	return nil
}

// ask asks the nodes at the addresses for their status. Reports are in the
// order of the addresses.
func (operator *Operator) ask(ctx context.Context, addresses []string, details details) []nodeReport {
	reports := make([]nodeReport, len(addresses))
	var calls errgroup.Group
	calls.SetLimit(nodeCalls)
	for index, address := range addresses {
		calls.Go(func() error {
			reports[index] = operator.readStatus(ctx, address, details)
			return nil
		})
	}
	// A call's failure is in its report.
	_ = calls.Wait()
	return reports
}

// sample returns at most size of the addresses, evenly spread over their
// order.
func sample(addresses []string, size int) []string {
	if len(addresses) <= size {
		return addresses
	}
	chosen := make([]string, 0, size)
	for index := range size {
		chosen = append(chosen, addresses[index*len(addresses)/size])
	}
	return chosen
}

func (operator *Operator) readStatus(ctx context.Context, address string, details details) nodeReport {
	report := nodeReport{address: address}
	reply, err := operator.caller.Do(ctx, httpsend.Request{
		Method:        http.MethodGet,
		Address:       address,
		Path:          statusPath,
		Query:         details.query(),
		Timeout:       nodeTimeout,
		MaxReplyBytes: maxStatusBytes,
	})
	switch {
	case err != nil:
		report.err = errors.Trace(err)
	case reply.Status != http.StatusOK:
		report.err = replyError(reply)
	default:
		report.err = errors.Annotate(json.Unmarshal(reply.Body, &report.status), "status")
	}
	return report
}

// replyError returns the text of a node's answer as an error.
func replyError(reply httpsend.Reply) error {
	return errors.Errorf("status %d: %s", reply.Status, bytes.TrimSpace(reply.Body))
}

// heldHeads returns the heads that nodes hold or have heard of from a peer.
// Change and digest are empty for one that only a peer holds.
func heldHeads(reports []nodeReport) []generation.Head {
	var heads []generation.Head
	for _, report := range reports {
		if report.err != nil {
			continue
		}
		heads = append(heads, report.head())
		for _, linked := range report.status.Peers {
			heads = append(heads, generation.Head{Generation: linked.Generation})
		}
	}
	return heads
}

// highestHead returns the highest head, preferably one with a digest.
func highestHead(heads []generation.Head) generation.Head {
	var highest generation.Head
	for _, head := range heads {
		known := head.Generation == highest.Generation && highest.Digest == ""
		if head.Generation > highest.Generation || known {
			highest = head
		}
	}
	return highest
}
