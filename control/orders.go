package control

import "lacewingspoke.org/lacewingspoke/engine"

// An orderCount is the number of orders that one incarnation of an engine has
// begun.
type orderCount struct {
	vm          string
	incarnation string
	begun       uint64

	// leaving is true if an answer of the engine contained that it leaves.
	leaving bool

	// known is false if begun may differ from the count of the engine.
	known bool
}

// apply updates the count with the outcome of an order that was sent with it.
func (count *orderCount) apply(outcome engine.OrderOutcome) {
	count.leaving = count.leaving || engine.ReportsLeaving(outcome)
	switch outcome := outcome.(type) {
	case engine.OrderAccepted:
		if outcome.Begun {
			count.begun++
		}
	default:
		// The engine has another count, or the order may have begun.
		count.known = false
	}
}

// orderCounts holds the counts of the engines to which this node has sent
// orders. A count becomes wrong if another node sends an order too; the engine
// then refuses the next order of this node.
type orderCounts struct{ counts map[string]orderCount }

func newOrderCounts() *orderCounts { return &orderCounts{counts: map[string]orderCount{}} }

// lookup returns the count of an incarnation. If there is none, the result is
// not known, unless fresh is true: the whole system is then being started for the
// first time, so that an engine without a count has begun no order.
func (counts *orderCounts) lookup(vm, incarnation string, fresh bool) orderCount {
	count, found := counts.counts[vm]
	if !found || count.incarnation != incarnation {
		return orderCount{vm: vm, incarnation: incarnation, known: fresh && !found}
	}
	return count
}

// record stores a count. It ignores the empty count, which results other than
// those of orders carry.
func (counts *orderCounts) record(count orderCount) {
	if count.vm != "" {
		counts.counts[count.vm] = count
	}
}

// retain drops the counts of engines without a report.
func (counts *orderCounts) retain(reports map[string]engine.Report) {
	for vm := range counts.counts {
		if _, found := reports[vm]; !found {
			delete(counts.counts, vm)
		}
	}
}
