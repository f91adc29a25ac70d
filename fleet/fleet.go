// Package fleet decides which nodes are alive, which node leads each fabric
// domain, which peers a node links to and which nodes watch the store.
package fleet

import (
	"math/rand/v2"
	"time"
)

// Config is the configuration of a Fleet.
type Config struct {
	Name          string
	Incarnation   string
	FailureDomain string

	// PeerAddress and AdminAddress are IP:port.
	PeerAddress  string
	AdminAddress string

	// Seeds are peer addresses to dial while no node is known by name.
	Seeds []string

	// LeaseMinimum is the shortest lease; 0 means DefaultLeaseMinimum.
	LeaseMinimum time.Duration

	// Random spreads retries and polls. It is required.
	Random *rand.Rand
}

// DefaultLeaseMinimum is the shortest lease of a node: three renewals of 3 s.
const DefaultLeaseMinimum = 9 * time.Second

// A Fleet is the state of one node's view of the fleet. It is not safe for
// concurrent use.
type Fleet struct {
	config Config
}

// New returns a fleet that knows of no other node.
func New(config Config) *Fleet { return &Fleet{config: config} }

// Handle takes in an event at now, which carries the monotonic reading, and
// returns the effects to carry out in order.
func (fleet *Fleet) Handle(now time.Time, event Event) []Effect { return nil }

// Nodes returns the nodes that are alive as far as this node knows, itself
// included, by name.
func (fleet *Fleet) Nodes() []Node { return nil }

// Alive reports whether a node is alive as far as this node knows.
func (fleet *Fleet) Alive(name string) bool { return false }

// Leads reports whether this node leads the domain at now, and until when at
// least. The shell asks right before each effect of a leader.
func (fleet *Fleet) Leads(domain string, now time.Time) (until time.Time, leads bool) {
	return time.Time{}, false
}

// Led returns the domains that this node leads at now, by name.
func (fleet *Fleet) Led(now time.Time) []string { return nil }

// LeaderOf returns the leader of a domain according to the store.
func (fleet *Fleet) LeaderOf(domain string) (Leader, bool) { return Leader{}, false }

// Watching reports whether this node holds store watches.
func (fleet *Fleet) Watching() bool { return false }
