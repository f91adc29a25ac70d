package limit

import (
	"slices"
	"strings"
)

// demand is the demand for one workspace that one node announced.
type demand struct {
	node     string
	inFlight int
	queued   int
}

func (demand demand) total() int { return demand.inFlight + demand.queued }

// computeShare returns own's share of a workspace's limit. It uses only
// announced demand, so that all nodes compute the same division.
//
// If the limit covers all demand, the remainder is divided equally among all
// nodes, so that nodes that grow at the same time do not each take all of it.
// While there is any remainder, every node may grow by one. So a first request
// does not wait for an announcement, even if the limit is smaller than the
// number of nodes. This can exceed the limit by less than the number of nodes
// until the announcements arrive.
//
// Otherwise the limit is divided evenly. A node below its part grows only into
// the places that nodes above their parts have freed, so that the requests in
// progress do not exceed the limit.
func computeShare(limit int, own demand, others []demand) int {
	all := append(slices.Clone(others), own)
	slices.SortFunc(all, func(first, second demand) int { return strings.Compare(first.node, second.node) })
	self := slices.IndexFunc(all, func(each demand) bool { return each.node == own.node })
	wanted := make([]int, len(all))
	total, inFlight := 0, 0
	for index, each := range all {
		wanted[index] = each.total()
		total += each.total()
		inFlight += each.inFlight
	}
	if total <= limit {
		rest := limit - total
		return own.total() + max(rest/len(all), min(rest, 1))
	}
	parts := divide(limit, wanted)
	if own.inFlight >= parts[self] {
		return parts[self]
	}
	missing := make([]int, len(all))
	for index, each := range all {
		missing[index] = max(0, parts[index]-each.inFlight)
	}
	free := max(0, limit-inFlight)
	return own.inFlight + divide(free, missing)[self]
}

// divide divides an amount evenly without giving anyone more than wanted: each
// part is at most a common level, and the remainder is given one by one to the
// first that want more than the level.
func divide(amount int, wanted []int) []int {
	level := highestLevel(amount, wanted)
	rest := amount
	for _, each := range wanted {
		rest -= min(each, level)
	}
	parts := make([]int, len(wanted))
	for index, each := range wanted {
		parts[index] = min(each, level)
		if each > level && rest > 0 {
			parts[index]++
			rest--
		}
	}
	return parts
}

// highestLevel returns the highest level for which the sum of the wanted
// amounts, each capped at the level, does not exceed the amount.
func highestLevel(amount int, wanted []int) int {
	low, high := 0, slices.Max(wanted)
	for low < high {
		middle := (low + high + 1) / 2
		sum := 0
		for _, each := range wanted {
			sum += min(each, middle)
		}
		if sum <= amount {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// otherDemands returns the demand of each other node for a workspace. It
// includes nodes without demand, because they take part in the division.
func otherDemands(others []NodeUsage, workspace string) []demand {
	result := make([]demand, 0, len(others))
	for _, other := range others {
		announced := demand{node: other.Node}
		for _, usage := range other.Workspaces {
			if usage.Workspace == workspace {
				announced.inFlight = usage.InFlight
				announced.queued = usage.Queued
			}
		}
		result = append(result, announced)
	}
	return result
}
