package route_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/route"
)

func Example() {
	now := time.Unix(0, 0)
	target := func(name string, validity time.Duration) route.GroupTarget {
		return route.GroupTarget{
			Name: name, Spec: "letters", Epoch: 1, FailureDomain: "mamaia-north", Open: true,
			Grant: group.Grant{Group: name, Epoch: 1, ReportedAt: now, ValidUntil: now.Add(validity)},
		}
	}
	table := route.NewTable(route.TableConfig{Groups: []route.GroupTarget{
		target("complete", time.Second),
		target("without-grant", -time.Second),
	}})
	picker := route.NewPicker(route.PickerConfig{
		FailureDomain: "mamaia-north",
		Source:        rand.NewPCG(1, 1),
		Tracker:       route.NewTracker(),
	})
	chosen, found := picker.PickGroup(table, route.GroupRequest{Spec: "letters", Prompt: route.NewTextPrompt("Dear")}, now)
	fmt.Println(chosen.Name, found)
	// Output: complete true
}
