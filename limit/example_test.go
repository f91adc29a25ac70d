package limit_test

import (
	"fmt"
	"time"

	"lacewingspoke.org/lacewingspoke/limit"
)

func Example() {
	now := time.Unix(0, 0)
	queue := limit.NewQueue(limit.Config{Node: "entry-1", Capacity: 1, QueueLimit: 8})
	queue.SetWorkspaces([]limit.Workspace{{Name: "memorials", Weight: 1}})
	deadline := now.Add(time.Minute)
	show := func(effects []limit.Effect) {
		for _, effect := range effects {
			switch effect := effect.(type) {
			case limit.Admit:
				fmt.Println("run", effect.ID)
			case limit.Refuse:
				fmt.Println("refuse", effect.ID, effect.Cause)
			}
		}
	}
	show(queue.Offer(limit.Request{ID: 1, Workspace: "memorials", Deadline: deadline}, now))
	show(queue.Offer(limit.Request{ID: 2, Workspace: "memorials", Deadline: deadline}, now))
	show(queue.Offer(limit.Request{ID: 3, Workspace: "stranger", Deadline: deadline}, now))
	show(queue.Finish(1, now.Add(time.Second)))
	// Output:
	// run 1
	// refuse 3 unknown-workspace
	// run 2
}
