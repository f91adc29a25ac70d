package control

import "lacewingspoke.org/lacewingspoke/engine"

// An orderCount is how many orders one incarnation of an engine has begun.
type orderCount struct {
	vm          string
	incarnation string
	count       uint64
	known       bool
}

// learn takes in the outcome of an order that named the count.
func (counted *orderCount) learn(outcome engine.OrderOutcome) {
	switch outcome := outcome.(type) {
	case engine.OrderAccepted:
		if outcome.Begun {
			counted.count++
		}
	default:
		// The count differs, or the order may have begun.
		counted.known = false
	}
}

// orderCounts keeps the counts of the engines that this node gave orders to. A
// count may become wrong when another node orders too; the engine then refuses
// the next order.
type orderCounts struct{ counts map[string]orderCount }

func newOrderCounts() *orderCounts { return &orderCounts{counts: map[string]orderCount{}} }

// known returns the count of an incarnation, which may not be known. fresh says
// that an engine without a count has begun no order yet, because the whole
// system is just being started.
func (counts *orderCounts) known(vm, incarnation string, fresh bool) orderCount {
	counted, found := counts.counts[vm]
	if !found || counted.incarnation != incarnation {
		return orderCount{vm: vm, incarnation: incarnation, known: fresh && !found}
	}
	return counted
}

// note keeps a count.
func (counts *orderCounts) note(counted orderCount) {
	if counted.vm != "" {
		counts.counts[counted.vm] = counted
	}
}

// retain forgets the engines that are gone.
func (counts *orderCounts) retain(reports map[string]engine.Report) {
	for vm := range counts.counts {
		if _, found := reports[vm]; !found {
			delete(counts.counts, vm)
		}
	}
}
