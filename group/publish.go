package group

import (
	"time"

	"lacewingspoke.org/lacewingspoke/engine"
)

// A publication is the content of the last PublishGrants and the time of the next.
type publication struct {
	groups map[string]grantKey
	nextAt time.Time
}

// A grantKey is the part of a grant whose changes are published immediately.
type grantKey struct {
	epoch uint64
	open  bool
}

// publishGrants publishes the grants of complete groups: immediately when a group
// is added, removed, opened, closed or changes its epoch, and otherwise once per
// report interval.
func (leader *Leader) publishGrants(now time.Time) []Effect {
	grants := leader.grants(now)
	groups := map[string]grantKey{}
	for _, grant := range grants {
		groups[grant.Grant.Group] = grantKey{epoch: grant.Grant.Epoch, open: grant.Open}
	}
	if leader.published.sameGroups(groups) && (now.Before(leader.published.nextAt) || len(grants) == 0) {
		return nil
	}
	leader.published = publication{groups: groups, nextAt: now.Add(leader.policy.ReportInterval)}
	return []Effect{PublishGrants{Fence: leader.placement.fence, Grants: grants}}
}

func (last publication) sameGroups(groups map[string]grantKey) bool {
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

// grants returns the grants that follow from the committed record and the reports.
// A draining group keeps a grant that is not open, which its requests in progress
// need to finish.
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

// complete reports whether every member reported its assignment and is ready, and
// returns the send time of the oldest of these reports. A group whose rank 0 is
// unlisted is not complete, because the VM may be leaving.
func (leader *Leader) complete(group Group) (oldest time.Time, complete bool) {
	for rank, name := range leader.placement.Members(group.Name) {
		vm, found := leader.members[name]
		if !found || !vm.live() || !vm.reportsAssignment(group, leader.placement.vms[name]) {
			return time.Time{}, false
		}
		if !leader.serves(vm, group) || rank == 0 && (vm.unlisted || !leader.admits(vm, group)) {
			return time.Time{}, false
		}
		if rank == 0 || vm.sentAt.Before(oldest) {
			oldest = vm.sentAt
		}
	}
	return oldest, group.Size > 0
}

// serves reports whether the engine has the group's weights and is ready to serve
// it.
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
