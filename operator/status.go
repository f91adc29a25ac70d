package operator

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/generation"
)

// Status prints what every node says of itself and of the groups. It returns
// ExitFailed when a node does not answer or when nodes hold different
// configurations.
func (operator *Operator) Status(ctx context.Context) ExitCode {
	reports, err := operator.survey(ctx)
	code := ExitDone
	if err != nil {
		operator.warn("nodes in the store are not known: %v", err)
		code = ExitFailed
	}
	sort.SliceStable(reports, func(i, j int) bool { return reports[i].status.Node < reports[j].status.Node })
	operator.printNodes(reports)
	operator.printGroups(reports)
	head := highestHead(heldHeads(reports))
	for _, report := range reports {
		if line := behindText(report, head); line != "" {
			operator.warn("%s", line)
			code = ExitFailed
		}
	}
	if len(reports) == 0 {
		operator.warn("no node is known; give --node or --store")
		code = ExitFailed
	}
	if operator.store != nil && !operator.storeAgrees(ctx, head) {
		code = ExitFailed
	}
	return code
}

// storeAgrees compares the store's head with the nodes' highest one. A store
// that is ahead is normal for a moment after an apply, one that is behind has
// come back with an older state.
func (operator *Operator) storeAgrees(ctx context.Context, held generation.Head) bool {
	switch event := operator.readHead(ctx).(type) {
	case generation.HeadRead:
		if event.Head.Generation < held.Generation {
			operator.warn("store has generation %d, nodes have %d; the next apply builds on the nodes' one",
				event.Head.Generation, held.Generation)
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

// digestDigits is the number of hexadecimal digits that a table shows.
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
			shortDigest(status.Digest), nodeState(status), reached(status.StoreReached), len(status.Peers),
			dash(strings.Join(status.Leads, ",")))
	}
	_ = table.Flush()
}

func shortDigest(digest string) string {
	if len(digest) > digestDigits {
		return digest[:digestDigits]
	}
	return dash(digest)
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

func reached(store bool) string {
	if store {
		return "reached"
	}
	return "not-reached"
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// groupSummary is one group as all nodes see it.
type groupSummary struct {
	latest  admin.GroupStatus
	granted int
}

// printGroups prints each group at its highest epoch, with the number of
// nodes that hold a grant for that epoch.
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
			dash(strings.Join(summary.latest.Members, ",")))
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
