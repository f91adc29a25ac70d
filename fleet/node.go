package fleet

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"
)

// Prefixes of the store's keys that the fleet reads and writes.
const (
	// NodePrefix is the prefix of the keys of node records.
	NodePrefix = "node/"

	// DomainPrefix is the prefix of the keys of fabric domains.
	DomainPrefix = "domain/"

	leaderSuffix = "/leader"
)

// NodeKey returns the key of the named node's record.
func NodeKey(name string) string { return NodePrefix + name }

// LeaderKey returns the key under which the leader of a fabric domain is
// stored.
func LeaderKey(domain string) string { return DomainPrefix + domain + leaderSuffix }

// leaderDomain returns the fabric domain of a leader key. It returns false for
// any other key.
func leaderDomain(key string) (string, bool) {
	rest, found := strings.CutPrefix(key, DomainPrefix)
	if !found {
		return "", false
	}
	return strings.CutSuffix(rest, leaderSuffix)
}

// A Node is the record of a node in the store.
type Node struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure-domain"`

	// PeerAddress and AdminAddress are IP:port.
	PeerAddress  string `json:"peer-address"`
	AdminAddress string `json:"admin-address"`

	// ProcessorShare is the share of a core that the node may use. Nodes with a
	// larger share are the first to lead and to read the store for others.
	ProcessorShare float64 `json:"processor-share,omitempty"`
}

// ParseNode decodes a node's record. It returns an errors.NotValid error if the
// value is malformed or has no name or incarnation.
func ParseNode(value []byte) (Node, error) {
	var node Node
	if err := json.Unmarshal(value, &node); err != nil {
		return Node{}, errors.NewNotValid(err, "node record")
	}
	if node.Name == "" || node.Incarnation == "" {
		return Node{}, errors.NotValidf("node record without name or incarnation")
	}
	return node, nil
}

// A Domain is a fabric domain and the failure domain that contains it.
type Domain struct {
	Name          string
	FailureDomain string
}

// A Leader is the value of a leader key: the node that leads a fabric domain.
type Leader struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// ParseLeader decodes the value of a leader key. It returns an errors.NotValid
// error if the value is malformed.
func ParseLeader(value []byte) (Leader, error) {
	var leader Leader
	if err := json.Unmarshal(value, &leader); err != nil {
		return Leader{}, errors.NewNotValid(err, "decoding leader record")
	}
	return leader, nil
}
