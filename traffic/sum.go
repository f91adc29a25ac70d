package traffic

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A Message is what a node posts to a hub, or the answer of the hub.
type Message struct {
	// Node is the name of the sender.
	Node string

	// Hub is true if the counts include those of the sender's members. The receiver of such a
	// post answers with the counts of its own members only.
	Hub bool

	// Nodes is the number of nodes that are counted, 0 in the answer of a hub that has not yet
	// received the posts of its members.
	Nodes int

	// Age is the age of the oldest counts that came from another hub.
	Age time.Duration

	Groups []GroupUse
	Pools  []PoolUse
}

// add adds a use, or takes it off with a factor of -1. Both hold the total time to the first
// events in FirstEvent.
func (use *GroupUse) add(other GroupUse, factor int) {
	use.Running += factor * other.Running
	use.Waiting += factor * other.Waiting
	use.UnreadTokens += factor * other.UnreadTokens
	use.FirstEvents += factor * other.FirstEvents
	use.FirstEvent += time.Duration(factor) * other.FirstEvent
}

func (use GroupUse) empty() bool {
	return use.Running == 0 && use.Waiting == 0 && use.UnreadTokens == 0 && use.FirstEvents == 0
}

// withMean returns the use with the mean in place of the total time to the first events.
func (use GroupUse) withMean() GroupUse {
	if use.FirstEvents > 0 {
		use.FirstEvent /= time.Duration(use.FirstEvents)
	}
	return use
}

// withTotal returns the use with the total in place of the mean time.
func (use GroupUse) withTotal() GroupUse {
	use.FirstEvent *= time.Duration(use.FirstEvents)
	return use
}

// valid reports whether the counts can be those of a node. It bounds what a faulty node adds
// to the sum.
func (use GroupUse) valid() bool {
	return min(use.Running, use.Waiting, use.UnreadTokens, use.FirstEvents) >= 0 && use.FirstEvent >= 0 &&
		use.Running <= maxRunning && use.Waiting <= use.Running && use.UnreadTokens <= maxTokens &&
		use.FirstEvents <= maxRunning && use.FirstEvent <= maxFirstEvent
}

const (
	// maxRunning, maxTokens and maxFirstEvent are above what all nodes together have at one
	// group, whose places are some dozens to hundreds.
	maxRunning    = 1 << 20
	maxTokens     = 1 << 32
	maxFirstEvent = time.Hour
)

// A sum adds the counts of several nodes.
type sum struct {
	nodes  int
	groups map[string]GroupUse
	pools  map[string]PoolUse
}

func newSum() sum { return sum{groups: map[string]GroupUse{}, pools: map[string]PoolUse{}} }

// apply adds the counts of a message, or takes them off with a factor of -1.
func (total *sum) apply(message Message, factor int) {
	total.nodes += factor * message.Nodes
	for _, use := range message.Groups {
		name := use.Group
		changed := total.groups[name]
		changed.Group = name
		changed.add(use.withTotal(), factor)
		if changed.empty() {
			delete(total.groups, name)
			continue
		}
		total.groups[name] = changed
	}
	for _, use := range message.Pools {
		total.addPool(use, float64(factor))
	}
}

// addPool adds a use with a factor. What is left after as much was taken off is dropped.
func (total *sum) addPool(use PoolUse, factor float64) {
	changed := total.pools[use.Pool]
	changed.Pool = use.Pool
	changed.Arrivals = max(0, changed.Arrivals+factor*use.Arrivals)
	changed.Refused = max(0, changed.Refused+factor*use.Refused)
	changed.Worked = max(0, changed.Worked+factor*use.Worked)
	changed.PromptTokens = max(0, changed.PromptTokens+factor*use.PromptTokens)
	if changed.Arrivals+changed.Worked < minPoolUse/2 {
		delete(total.pools, use.Pool)
		return
	}
	total.pools[use.Pool] = changed
}

func (total sum) sortedPools() []PoolUse {
	return slices.SortedFunc(maps.Values(total.pools), func(first, second PoolUse) int { return cmp.Compare(first.Pool, second.Pool) })
}

// message returns the counts.
func (total sum) message() Message {
	message := Message{Nodes: total.nodes}
	for _, use := range total.groups {
		message.Groups = append(message.Groups, use.withMean())
	}
	for _, use := range total.pools {
		message.Pools = append(message.Pools, use)
	}
	return message
}

// clean returns a received message without counts that cannot be right, and within MaxNames.
func (message Message) clean() Message {
	message.Groups = message.Groups[:min(len(message.Groups), MaxNames)]
	message.Pools = message.Pools[:min(len(message.Pools), MaxNames)]
	message.Nodes = max(0, message.Nodes)
	message.Age = max(0, message.Age)
	message.Groups = slices.DeleteFunc(message.Groups, func(use GroupUse) bool { return !use.valid() })
	message.Pools = slices.DeleteFunc(message.Pools, func(use PoolUse) bool {
		return !(min(use.Arrivals, use.Refused, use.Worked, use.PromptTokens) >= 0 && max(use.Arrivals, use.Refused, use.Worked) <= maxRunning && use.PromptTokens <= maxTokens)
	})
	return message
}
