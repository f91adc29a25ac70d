package limit

// shares holds the other nodes' demand for each workspace.
type shares struct {
	nodes  int
	demand map[string][]nodeDemand
}

type nodeDemand struct {
	node   string
	demand int
}

func newShares(others []NodeUsage) shares {
	result := shares{nodes: len(others), demand: map[string][]nodeDemand{}}
	for _, other := range others {
		for _, usage := range other.Workspaces {
			entry := nodeDemand{node: other.Node, demand: usage.InFlight + usage.Queued}
			result.demand[usage.Workspace] = append(result.demand[usage.Workspace], entry)
		}
	}
	return result
}

// of returns this node's share of a limit, given its own demand.
//
// When the limit covers all demand, the rest is divided equally among all
// nodes, so that two nodes that grow at once do not both take it. Otherwise
// the limit is filled evenly: no node gets more than it asks for, and nodes
// that ask for more get the same amount, the remainder going by one to the
// first of them in name order. If all nodes know the same demand, the shares
// add up to at most the limit; a change of demand can exceed it until the
// announcements arrive.
func (shares shares) of(node, workspace string, limit, own int) int {
	others := shares.demand[workspace]
	total := own
	highest := own
	for _, other := range others {
		total += other.demand
		highest = max(highest, other.demand)
	}
	if total <= limit {
		return own + (limit-total)/(shares.nodes+1)
	}
	level, filled := fillLevel(others, own, limit, highest)
	if own <= level {
		return own
	}
	return level + remainder(others, node, level, limit-filled)
}

// fillLevel returns the highest level at which all demands, cut at the level,
// fit into the limit, and their sum.
func fillLevel(others []nodeDemand, own, limit, highest int) (level, filled int) {
	low, high := 0, highest
	for low < high {
		middle := (low + high + 1) / 2
		if sumAt(others, own, middle) <= limit {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low, sumAt(others, own, low)
}

func sumAt(others []nodeDemand, own, level int) int {
	sum := min(own, level)
	for _, other := range others {
		sum += min(other.demand, level)
	}
	return sum
}

// remainder returns 1 for the first rest nodes, in name order, that want more
// than the level.
func remainder(others []nodeDemand, node string, level, rest int) int {
	earlier := 0
	for _, other := range others {
		if other.demand > level && other.node < node {
			earlier++
		}
	}
	if earlier < rest {
		return 1
	}
	return 0
}
