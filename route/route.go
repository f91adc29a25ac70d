// Package route decides which target receives a request.
//
// Table is the immutable snapshot that traffic reads: the configuration in
// force, the serving groups with their grants, and the service runners. The
// control thread publishes a new Table through a Publisher whenever something
// changes.
//
// A Picker chooses among the groups that are open and have a current grant. It
// compares two candidates by reported load, corrected with the node's own
// requests that the report cannot contain yet; it prefers the group that
// probably has the prompt's prefix cached unless that group is over its load
// bound, and the nearer failure domain unless that costs more. Suspects keeps
// targets that failed out of the choice for a while. A Pulse notices groups whose
// streams stand still together, as those of an engine that has lost a member do.
//
// # Usage
//
//	publisher := route.NewPublisher()
//	publisher.Publish(route.NewTable(route.TableConfig{Folder: folder, Groups: groups}))
//
//	picker := route.NewPicker(route.PickerConfig{
//		FailureDomain: "mamaia-north",
//		Source:        rand.NewPCG(1, 2),
//		Tracker:       tracker,
//	})
//	request := route.GroupRequest{Spec: "letters", Prompt: prompt}
//	target, found := picker.PickGroup(publisher.Current(), request, now)
package route
