package group

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/engine"
)

// conversionVMs form two large groups of 4 and two small ones of 3, with an eighth as spares.
const conversionVMs = 16

// smallIsBusy is the demand under which the small groups are full and the large ones idle.
func smallIsBusy() DemandObserved {
	return DemandObserved{Pools: []PoolDemand{
		{Spec: "large", Arrivals: 1, Least: 0.05, Mean: 0.05, Most: 0.05},
		{Spec: "small", Arrivals: 100, Least: 3, Mean: 3, Most: 3},
	}}
}

// largeElsewhere are two large replicas of other fabric domains.
func largeElsewhere() OtherDomains {
	var others OtherDomains
	for _, name := range []string{"fd-1", "fd-2"} {
		others.Domains = append(others.Domains, DomainSize{Name: name, FailureDomain: "fail-" + name, VMs: conversionVMs})
		others.Replicas = append(others.Replicas, PlacedReplicas{Group: "large", FabricDomain: name, FailureDomain: "fail-" + name, Count: 1, Ready: 1})
	}
	return others
}

// newConversionDomain returns a domain whose groups serve and whose members have staged both
// models.
func newConversionDomain(test *testing.T) *testDomain {
	domain := newOpenedByOrderDomain(test, conversionVMs)
	domain.waitFor(20*time.Second, domain.bothServing())
	domain.waitFor(20*time.Second, func() bool { return domain.openGroups("large") == 2 && domain.openGroups("small") >= 1 })
	domain.runFor(3 * time.Second)
	domain.stageBoth()
	domain.orders = nil
	return domain
}

// stageBoth has each host hold both models.
func (domain *testDomain) stageBoth() {
	for _, runner := range domain.engines {
		runner.report.Staged = []string{"large", "small"}
	}
	domain.runFor(300 * time.Millisecond)
}

func (domain *testDomain) openGroups(model string) int {
	count := 0
	for _, runner := range domain.engines {
		if !runner.dead && runner.report.State == engine.StateOpen && runner.report.Model == model {
			count++
		}
	}
	return count
}

// observe passes a demand to the leader each second. Members of converted groups hold both
// models again, as a trial of a later demand needs.
func (domain *testDomain) observe(seconds int, demand DemandObserved) {
	for range seconds {
		domain.send(largeElsewhere())
		domain.send(demand)
		domain.runFor(time.Second)
	}
}

func (domain *testDomain) drains() int {
	count := 0
	for _, order := range domain.orders {
		if order.Order.Action == engine.ActionDrain {
			count++
		}
	}
	return count
}

// Guards against VMs that stay with a model that nobody asks for, against requests that are cut
// by a conversion, and against members that leave before rank 0 has ended its requests (the
// test domain checks each order).
func TestLeaderConvertsWithoutCuttingRequests(test *testing.T) {
	domain := newConversionDomain(test)
	small := domain.openGroups("small")
	for _, runner := range domain.engines {
		runner.streamTime = 2 * time.Second
	}
	domain.observe(12, smallIsBusy())
	require.Greater(test, domain.openGroups("small"), small)
	require.Less(test, domain.openGroups("large"), 2)
	for _, order := range domain.orders {
		require.NotEqual(test, engine.ActionClose, order.Order.Action, "running requests are cut")
	}
}

// Guards against conversions without demand, for a demand that has ended, with a member that is
// lost, and with members that would have to load.
func TestLeaderDoesNotConvert(test *testing.T) {
	for name, prepare := range map[string]func(domain *testDomain) DemandObserved{
		"no demand": func(*testDomain) DemandObserved { return DemandObserved{} },
		"the demand fits": func(*testDomain) DemandObserved {
			demand := smallIsBusy()
			demand.Pools[1].Least, demand.Pools[1].Mean = 0.4, 0.4
			return demand
		},
		"the large groups are busy too": func(*testDomain) DemandObserved {
			demand := smallIsBusy()
			demand.Pools[0].Arrivals, demand.Pools[0].Least, demand.Pools[0].Mean, demand.Pools[0].Most = 100, 3, 3, 3
			return demand
		},
		"members hold one model": func(domain *testDomain) DemandObserved {
			for _, runner := range domain.engines {
				runner.report.Staged = []string{runner.report.Model}
				runner.extraLoadTime = time.Hour
			}
			return smallIsBusy()
		},
	} {
		test.Run(name, func(test *testing.T) {
			domain := newConversionDomain(test)
			domain.observe(8, prepare(domain))
			require.Zero(test, domain.drains())
			require.Equal(test, 2, domain.openGroups("large"))
		})
	}
}

// Guards against a domain that converts when it is the turn of another one, and against one that
// never does when the leader of that one is cut off.
func TestLeaderWaitsForItsTurn(test *testing.T) {
	domain := newConversionDomain(test)
	others := largeElsewhere()
	others.Replicas[0].Count, others.Replicas[0].Ready, others.Replicas[0].Staged = 4, 4, 4
	began := domain.now
	for domain.drains() == 0 && domain.now.Sub(began) < 20*time.Second {
		domain.send(others)
		domain.send(smallIsBusy())
		domain.runFor(500 * time.Millisecond)
	}
	require.Positive(test, domain.drains())
	require.GreaterOrEqual(test, domain.now.Sub(began), conversionTurn)
}

// Guards against a leader that takes over in the middle of a conversion and leaves the drained
// replica or its VMs unused, or converts a second one for the same need.
func TestConversionIsHandedOver(test *testing.T) {
	domain := newConversionDomain(test)
	for _, runner := range domain.engines {
		runner.streamTime = time.Second
	}
	domain.observe(1, smallIsBusy())
	for range 40 {
		if domain.drains() > 0 {
			break
		}
		domain.observe(1, smallIsBusy())
	}
	require.Positive(test, domain.drains())
	domain.replaceLeader(openedByOrderFolder())
	domain.waitFor(10*time.Second, func() bool {
		groups := domain.leader.Placement().Groups()
		return len(groups) > 0 && !slices.ContainsFunc(groups, func(group Group) bool { return group.State != StateReady })
	})
	domain.runFor(3 * time.Second)
	require.GreaterOrEqual(test, domain.openGroups("large")*4+domain.openGroups("small")*3, conversionVMs-conversionVMs/spareDivisor-3)
}
