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
	// nodeTimeout bounds one call to a node. A node responds from memory, so one
	// that takes longer counts as unreachable.
	nodeTimeout = 2 * time.Second

	// maxNodeCalls bounds the number of concurrent calls, so that reading the
	// status of several hundred nodes needs few file descriptors.
	maxNodeCalls = 32

	// sampleSize is the number of nodes whose generations an apply compares with
	// the store's. Each node also reports the generations of its peers, about 8,
	// so that 24 nodes cover up to 200. If each of 3,000 applies a day read the
	// status of all 730 nodes, the responses would use most of each node's
	// 13 KB/s.
	sampleSize = 24

	// maxStatusBytes bounds the size of a node's response. The status of 181
	// groups with 32 members each takes about 300 KB.
	maxStatusBytes = 4 << 20
)

const (
	statusPath      = "/v1/status"
	drainPath       = "/v1/drain"
	releasePath     = admin.ReleasePath
	contentTypeJSON = "application/json"
)

// nodeReport is the status of one node, or the error if it could not be read.
type nodeReport struct {
	address string
	status  admin.Status
	err     error
}

// head returns the head of the configuration that the node has.
func (report nodeReport) head() generation.Head {
	return generation.Head{
		Generation: report.status.Generation,
		Change:     report.status.Change,
		Digest:     report.status.Digest,
	}
}

// nodeAddresses returns the admin addresses given by the operator and those
// listed in the store, sorted and without duplicates. If the store's list cannot
// be read, it returns the other addresses together with the error.
func (operator *Operator) nodeAddresses(ctx context.Context) ([]string, error) {
	unique := map[string]bool{}
	for _, address := range operator.nodes {
		unique[address] = true
	}
	err := operator.addStoredNodes(ctx, unique)
	addresses := make([]string, 0, len(unique))
	for address := range unique {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	return addresses, errors.Trace(err)
}

func (operator *Operator) addStoredNodes(ctx context.Context, addresses map[string]bool) error {
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
			addresses[node.AdminAddress] = true
		}
	}
	return nil
}

// readAllStatuses reads the status of every node whose address is known.
func (operator *Operator) readAllStatuses(ctx context.Context) ([]nodeReport, error) {
	addresses, err := operator.nodeAddresses(ctx)
	return operator.readStatuses(ctx, addresses, allDetails), errors.Trace(err)
}

// statusDetail selects the parts of a node's status to read.
type statusDetail int

const (
	allDetails statusDetail = iota + 1

	// headOnly omits the groups.
	headOnly
)

func (detail statusDetail) query() url.Values {
	if detail == headOnly {
		return url.Values{admin.QueryGroups: {admin.GroupsNo}}
	}
	return nil
}

// readStatuses reads the status of the nodes at the addresses, concurrently. The
// reports are in the order of the addresses.
func (operator *Operator) readStatuses(ctx context.Context, addresses []string, detail statusDetail) []nodeReport {
	reports := make([]nodeReport, len(addresses))
	var calls errgroup.Group
	calls.SetLimit(maxNodeCalls)
	for index, address := range addresses {
		calls.Go(func() error {
			reports[index] = operator.readStatus(ctx, address, detail)
			return nil
		})
	}
	// The calls return no error: a failure is in the report of its node.
	_ = calls.Wait()
	return reports
}

// sample returns at most size of the addresses, at even distances in the list.
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

func (operator *Operator) readStatus(ctx context.Context, address string, detail statusDetail) nodeReport {
	report := nodeReport{address: address}
	reply, err := operator.client.Do(ctx, httpsend.Request{
		Method:        http.MethodGet,
		Address:       address,
		Path:          statusPath,
		Query:         detail.query(),
		Timeout:       nodeTimeout,
		MaxReplyBytes: maxStatusBytes,
	})
	switch {
	case err != nil:
		report.err = errors.Trace(err)
	case reply.Status != http.StatusOK:
		report.err = replyError(reply)
	default:
		report.err = errors.Annotate(json.Unmarshal(reply.Body, &report.status), "decode status")
	}
	return report
}

// replyError returns the status code and body of a node's response as an error.
func replyError(reply httpsend.Reply) error {
	return errors.Errorf("status %d: %s", reply.Status, bytes.TrimSpace(reply.Body))
}

// reportedHeads returns the heads of the nodes that responded and of the peers that
// they report. Change and digest are empty for the head of a peer, since only
// its generation is reported.
func reportedHeads(reports []nodeReport) []generation.Head {
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

// highestHead returns the head with the highest generation. Among heads of the
// same generation it prefers one with a digest.
func highestHead(heads []generation.Head) generation.Head {
	var highest generation.Head
	for _, head := range heads {
		moreComplete := head.Generation == highest.Generation && highest.Digest == ""
		if head.Generation > highest.Generation || moreComplete {
			highest = head
		}
	}
	return highest
}
