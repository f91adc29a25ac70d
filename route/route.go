// Package route selects the target of each request.
//
// A Table is an immutable snapshot for the goroutines that serve requests. It
// contains the configuration in force, the serving groups with their grants, and
// the service runners. The control thread publishes a new Table through a
// Publisher at every change.
//
// A Picker selects one of the groups that are open and have a valid grant. It
// compares two random candidates by their reported load, which a Tracker corrects
// for the node's own requests that the report does not include yet, and prefers
// the node's own failure domain, unless the load there is higher by more than a
// fixed cost. A group that Holdings believe to hold a beginning of the prompt is
// selected instead if reading it elsewhere takes longer than the load costs, see
// GroupCandidate. Suspects excludes targets that failed
// recently. A StallDetector detects targets all of whose streams have stalled,
// which happens when an engine has lost a member.
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
//	request := route.GroupRequest{Spec: "letters", Prompt: route.NewTextPrompt(prompt)}
//	target, found := picker.PickGroup(publisher.Current(), request, now)
package route
