package group_test

import (
	"fmt"
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

func ExampleLeader() {
	now := time.Unix(0, 0)
	leader := group.NewLeader(group.LeaderConfig{Domain: "port-1", Node: "entry-3", Incarnation: "1", LeaseDuration: 10 * time.Second})
	leader.Handle(now, group.FolderAdopted{
		Groups: []folder.Group{{Name: "large", Model: "m", Version: "1", Size: 2, Replicas: 1}},
		Policy: folder.Policy{ReportInterval: 250 * time.Millisecond, GrantBound: time.Second},
	})
	effects := leader.Handle(now, group.LeaseHeld{Until: now.Add(10 * time.Second)})
	fmt.Printf("%T\n", effects[0])

	// The domain has no record yet: the leader writes the first one.
	effects = leader.Handle(now, group.PlacementRead{})
	commit := effects[0].(group.Commit)
	fmt.Printf("%T %s\n", commit, commit.ID)

	leader.Handle(now, group.CommitDone{ID: commit.ID, Outcome: kvstore.Written{Revision: 1}})
	fmt.Println(leader.Leading(), leader.Placement().Fence())
	// Output:
	// group.ReadPlacement
	// group.Commit entry-3/1/1
	// true 1
}

func ExamplePlan() {
	live := func(name string) group.VMStatus {
		return group.VMStatus{Name: name, Incarnation: "1", Live: true, Accelerators: 4}
	}
	spare := live("vm-2")
	spare.Spare = true
	now := time.Unix(600, 0)
	missing := group.VMStatus{Name: "vm-1", Incarnation: "1", MissingSince: now.Add(-time.Minute)}
	spec := folder.Group{Name: "large", Size: 2, Replicas: 1}
	decisions := group.Plan(group.PlanInput{
		Now: now,
		VMs: []group.VMStatus{live("vm-0"), missing, spare},
		Groups: []group.GroupStatus{{
			Group:        group.Group{Name: "large.port-1.0", Spec: "large", Epoch: 1, State: group.StateBroken, Size: 2},
			Members:      []string{"vm-0", "vm-1"},
			Incarnations: []string{"1", "1"},
		}},
		Demands: []group.Demand{{Group: spec, Share: 1, Total: 1, Placed: 1}},
	})
	for _, decision := range decisions {
		repair := decision.(group.Repair)
		fmt.Println(repair.Group, repair.Rank, repair.Replaced, "by", repair.VM)
	}
	// Output:
	// large.port-1.0 1 vm-1 by vm-2
}
