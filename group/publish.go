package group

import (
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
)

// A publication is what the last PublishGrants said.
type publication struct {
	groups map[string]grantKey
	nextAt time.Time
}

// A grantKey is the part of a grant whose change is published at once.
type grantKey struct {
	epoch uint64
	open  bool
}

// publishGrants publishes the grants of complete groups: at once when the set
// of groups changes, else once per report interval.
func (leader *Leader) publishGrants(now time.Time) []Effect {
	grants := leader.grants(now)
	groups := map[string]grantKey{}
	for _, grant := range grants {
		groups[grant.Grant.Group] = grantKey{epoch: grant.Grant.Epoch, open: grant.Open}
	}
	if leader.published.same(groups) && (now.Before(leader.published.nextAt) || len(grants) == 0) {
		return nil
	}
	leader.published = publication{groups: groups, nextAt: now.Add(leader.policy.ReportInterval)}
	return []Effect{PublishGrants{Fence: leader.placement.fence, Grants: grants}}
}

func (last publication) same(groups map[string]grantKey) bool {
	if len(last.groups) != len(groups) {
		return false
	}
	for name, key := range groups {
		if last.groups[name] != key {
			return false
		}
	}
	return true
}

// grants returns the grants that the committed record and the reports prove.
// A draining group keeps a grant that is not open: the requests in progress
// need it to finish.
func (leader *Leader) grants(now time.Time) []GroupGrant {
	var grants []GroupGrant
	for _, group := range leader.placement.Groups() {
		if group.State != StateReady && group.State != StateDraining {
			continue
		}
		oldest, complete := leader.complete(group)
		if !complete {
			continue
		}
		grant := Grant{
			Group:      group.Name,
			Epoch:      group.Epoch,
			ReportedAt: oldest,
			ValidUntil: oldest.Add(leader.policy.GrantBound),
		}
		if !grant.Holds(group.Epoch, now) {
			continue
		}
		grants = append(grants, GroupGrant{Grant: grant, Load: leader.load(group), Open: group.State == StateReady})
	}
	return grants
}

// complete reports whether every seat is held by a VM that reported the seat
// and is ready, and returns the send time of the oldest of these reports.
func (leader *Leader) complete(group Group) (oldest time.Time, complete bool) {
	for rank, name := range leader.placement.Members(group.Name) {
		vm, found := leader.members[name]
		if !found || !vm.live() || !vm.holds(group, leader.placement.vms[name]) {
			return time.Time{}, false
		}
		if !leader.serves(vm, group) || rank == 0 && !leader.admits(vm, group) {
			return time.Time{}, false
		}
		if rank == 0 || vm.sent.Before(oldest) {
			oldest = vm.sent
		}
	}
	return oldest, group.Size > 0
}

// serves reports whether the engine is loaded for the group.
func (leader *Leader) serves(vm *member, group Group) bool {
	if leader.needsWeights(vm, group) {
		return false
	}
	if vm.report.State == engine.StateReady || vm.report.State == engine.StateOpen {
		return true
	}
	return group.State == StateDraining && vm.report.State == engine.StateDraining
}

func (leader *Leader) load(group Group) Load {
	members := leader.placement.Members(group.Name)
	report := leader.members[members[0]].report
	return Load{Running: report.Running, Queued: report.Queued, FreeCache: report.FreeCache}
}
