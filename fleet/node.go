package fleet

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"
)

// The store's key space that the fleet reads and writes.
const (
	// NodePrefix is the prefix of the nodes' records.
	NodePrefix = "node/"

	// DomainPrefix is the prefix of the fabric domains' keys.
	DomainPrefix = "domain/"

	leaderSuffix = "/leader"
)

// NodeKey returns the key of a node's record.
func NodeKey(name string) string { return NodePrefix + name }

// LeaderKey returns the key of the leader of a fabric domain.
func LeaderKey(domain string) string { return DomainPrefix + domain + leaderSuffix }

// leaderDomain returns the fabric domain of a leader's key.
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
}

// ParseNode reads a node's record. It returns an errors.NotValid error for a
// record that is not one.
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

// A Domain is a fabric domain and the failure domain it is in.
type Domain struct {
	Name          string
	FailureDomain string
}

// A Leader is the value of a leader's key.
type Leader struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// ParseLeader reads the value of a leader's key. It returns an errors.NotValid
// error for a value that is not one.
func ParseLeader(value []byte) (Leader, error) {
	var leader Leader
	if err := json.Unmarshal(value, &leader); err != nil {
		return Leader{}, errors.NewNotValid(err, "leader record")
	}
	return leader, nil
}
