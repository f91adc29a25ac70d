package group

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// Guards against a group that is taken apart under its streams because its rank 0, or a
// member, was not seen for a second.
func TestShortAbsenceEndsNoStreams(test *testing.T) {
	for _, scenario := range []struct {
		name             string
		draining, member bool
	}{{"open rank 0", false, false}, {"closing rank 0", true, false}, {"member of an open group", false, true}, {"member of a closing group", true, true}} {
		for _, absence := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second} {
			test.Run(scenario.name+" "+absence.String(), func(test *testing.T) {
				domain := newOpenedByOrderDomain(test, 9)
				domain.waitFor(20*time.Second, domain.bothServing())
				domain.runFor(5 * time.Second)
				rank0 := domain.openVM("large")
				members := slices.Clone(domain.leader.Placement().Members(domain.engines[rank0].report.Group))
				domain.engines[rank0].streamTime = 8 * time.Second
				if scenario.draining {
					domain.setListed(rank0, kvstore.VMUnlisted)
					domain.waitFor(2*time.Second, func() bool { return domain.engines[rank0].report.State == engine.StateDraining })
				}
				absent := rank0
				if scenario.member {
					absent = members[1]
				}
				complete := domain.list
				domain.orders = nil
				domain.unlist(absent)
				domain.runFor(absence)
				domain.engines[absent].dead = false
				domain.list = complete
				domain.send(VMsListed{VMs: domain.list})
				domain.runFor(time.Second)
				for _, order := range domain.orders {
					switch order.Order.Action {
					case engine.ActionRelease, engine.ActionClose, engine.ActionLoad:
						require.False(test, slices.Contains(members, order.VM), "%v to %s, rank0 %s", order.Order.Action, order.VM, rank0)
					}
				}
			})
		}
	}
}

// A member was silent all through an outage of the store. Guards against a leader that waits
// once more, after the return, as long as a sound member may be silent.
func TestMemberThatWasSilentInAnOutageIsNotWaitedFor(test *testing.T) {
	for _, asked := range []bool{false, true} {
		domain := newOpenedByOrderDomain(test, 9)
		domain.waitFor(20*time.Second, domain.bothServing())
		rank0 := domain.openVM("large")
		lost := domain.leader.Placement().Members(domain.engines[rank0].report.Group)[1]
		incarnation := domain.engines[lost].report.Incarnation
		domain.runFor(5 * time.Second)
		domain.orders = nil
		domain.unlist(lost)
		if asked {
			domain.send(VMSilent{VM: lost, Incarnation: incarnation, Since: domain.now.Add(-silenceHold)})
		}
		domain.runFor(time.Second)
		closes := slices.ContainsFunc(domain.orders, func(order SendOrder) bool { return order.VM == rank0 && order.Order.Action == engine.ActionClose })
		require.Equal(test, asked, closes)
	}
}
