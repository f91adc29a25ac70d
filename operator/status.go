package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/generation"
)

// Status prints what the nodes report about themselves and about the groups. It
// returns ExitFailed if no node is known, if a node does not respond, if nodes
// have different configurations, or if the store cannot be read or has an older
// configuration than a node.
func (operator *Operator) Status(ctx context.Context) ExitCode {
	reports, err := operator.readAllStatuses(ctx)
	code := ExitDone
	if err != nil {
		operator.warn("nodes in the store are not known: %v", err)
		code = ExitFailed
	}
	sort.SliceStable(reports, func(i, j int) bool { return reports[i].status.Node < reports[j].status.Node })
	operator.printNodes(reports)
	operator.printGroups(reports)
	operator.printQuarantined(reports)
	operator.printEvacuated(reports)
	head := highestHead(reportedHeads(reports))
	for _, report := range reports {
		if line := behindLine(report, head); line != "" {
			operator.warn("%s", line)
			code = ExitFailed
		}
	}
	if len(reports) == 0 {
		operator.warn("no node is known; give --node or --store")
		code = ExitFailed
	}
	if operator.store != nil && !operator.checkStoreHead(ctx, head) {
		code = ExitFailed
	}
	return code
}

// checkStoreHead compares the store's head with the nodes' highest one and
// prints the result. Just after an apply it is normal that the store has a
// higher generation. If it has a lower one, it was restored to an older state,
// and checkStoreHead returns false. It also returns false if the store cannot be
// read.
func (operator *Operator) checkStoreHead(ctx context.Context, highest generation.Head) bool {
	switch event := operator.readHead(ctx).(type) {
	case generation.HeadRead:
		if event.Head.Generation < highest.Generation {
			operator.warn("store has generation %d, nodes have %d; the next apply builds on the nodes' one",
				event.Head.Generation, highest.Generation)
			return false
		}
		operator.print("store has generation %d", event.Head.Generation)
		return true
	case generation.ReadFailed:
		operator.warn("store does not answer: %v", event.Err)
		return false
	default:
		return false
	}
}

// digestDigits is the number of hexadecimal digits of a digest in the table of
// nodes.
const digestDigits = 12

func (operator *Operator) printNodes(reports []nodeReport) {
	table := tabwriter.NewWriter(operator.output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tFAILURE-DOMAIN\tGENERATION\tDIGEST\tSTATE\tSTORE\tPEERS\tLEADS")
	for _, report := range reports {
		if report.err != nil {
			continue
		}
		status := report.status
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%d\t%s\n", status.Node, status.FailureDomain, status.Generation,
			shortDigest(status.Digest), nodeState(status), storeState(status.StoreReached), len(status.Peers),
			orDash(strings.Join(status.Leads, ",")))
	}
	_ = table.Flush()
}

func shortDigest(digest string) string {
	if len(digest) > digestDigits {
		return digest[:digestDigits]
	}
	return orDash(digest)
}

func nodeState(status admin.Status) string {
	switch {
	case status.Stopping:
		return "stopping"
	case status.Ready:
		return "ready"
	default:
		return "not-ready"
	}
}

func storeState(store bool) string {
	if store {
		return "reached"
	}
	return "not-reached"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// groupSummary combines the reports of all nodes about one group.
type groupSummary struct {
	// latest is the status with the highest epoch. granted is the number of
	// nodes that have a grant for that epoch.
	latest  admin.GroupStatus
	granted int
}

// printGroups prints each group at its highest epoch, with the number of nodes
// that have a grant for that epoch.
func (operator *Operator) printGroups(reports []nodeReport) {
	groups := map[string]groupSummary{}
	nodes := 0
	for _, report := range reports {
		if report.err != nil {
			continue
		}
		nodes++
		for _, group := range report.status.Groups {
			groups[group.Name] = groups[group.Name].add(group)
		}
	}
	table := tabwriter.NewWriter(operator.output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "GROUP\tSPEC\tEPOCH\tSTATE\tGRANTED\tRUNNING\tQUEUED\tMEMBERS")
	for _, name := range sortedGroups(groups) {
		summary := groups[name]
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d/%d\t%d\t%d\t%s\n", name, summary.latest.Spec, summary.latest.Epoch,
			summary.latest.State, summary.granted, nodes, summary.latest.Running, summary.latest.Queued,
			orDash(strings.Join(summary.latest.Members, ",")))
	}
	_ = table.Flush()
}

func (summary groupSummary) add(group admin.GroupStatus) groupSummary {
	if group.Epoch > summary.latest.Epoch || summary.latest.Name == "" {
		summary = groupSummary{latest: group}
	}
	if group.Granted && group.Epoch == summary.latest.Epoch {
		summary.granted++
	}
	return summary
}

func sortedGroups(groups map[string]groupSummary) []string {
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// printQuarantined prints the parts of requests that any node keeps from targets.
func (operator *Operator) printQuarantined(reports []nodeReport) {
	parts := map[string]bool{}
	for _, report := range reports {
		for _, part := range report.status.Quarantined {
			parts[part] = true
		}
	}
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		operator.print("part %s is in quarantine", part)
	}
}

// printEvacuated prints the evacuated failure domains: how many nodes send no requests there,
// and how many requests are still in progress there.
func (operator *Operator) printEvacuated(reports []nodeReport) {
	nodes, running := map[string]int{}, map[string]int{}
	reached := 0
	for _, report := range reports {
		if report.err != nil {
			continue
		}
		reached++
		for _, evacuated := range report.status.Evacuated {
			if evacuated.Stopped {
				nodes[evacuated.FailureDomain]++
			}
			running[evacuated.FailureDomain] += evacuated.InProgress
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(running)) {
		operator.print("failure domain %s is evacuated: %d of %d nodes send no requests there, %d are in progress", domain, nodes[domain], reached, running[domain])
	}
}
