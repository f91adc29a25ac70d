package group

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/folder"
)

// Guards against a replica of one service that counts as one of another with the same model,
// also after the set of services has changed, and against members of two services in a group
// that stays.
func TestSpecOfAGroupFollowsTheServiceOfItsMembers(test *testing.T) {
	spec := func(service string) folder.Group {
		return folder.Group{Name: ServiceSpec(service, "m"), Service: service, Model: "m", Size: 2}
	}
	both, first := []folder.Group{spec("a"), spec("b")}, []folder.Group{spec("a")}
	services := map[string]string{"a0": "a", "a1": "a", "b0": "b", "b1": "b"}
	for name, fixture := range map[string]struct {
		members []string
		specs   []folder.Group
		want    string
		found   bool
	}{
		"first service":              {members: []string{"a0", "a1"}, specs: both, want: "a/m", found: true},
		"second service":             {members: []string{"b0", "b1"}, specs: both, want: "b/m", found: true},
		"one member is unknown":      {members: []string{"x", "b1"}, specs: both, want: "b/m", found: true},
		"service is gone":            {members: []string{"b0", "b1"}, specs: first, want: "b/m"},
		"members are unknown":        {members: []string{"x", "y"}, specs: first, want: "a/m", found: true},
		"unknown, and two have it":   {members: []string{"x", "y"}, specs: both, want: "/m"},
		"members of two services":    {members: []string{"a0", "b0"}, specs: both, want: "mixed g"},
		"groups belong to none":      {members: []string{"a0", "a1"}, specs: []folder.Group{{Name: "m"}}, want: "m", found: true},
		"group of none that is gone": {members: []string{"a0", "a1"}, specs: []folder.Group{{Name: "n"}}, want: "m"},
	} {
		test.Run(name, func(test *testing.T) {
			placement := NewPlacement("fd")
			for rank, member := range fixture.members {
				placement.assign(member, Assignment{Group: "g", Rank: rank})
			}
			placed := Group{Name: "g", Spec: "m", Model: "m", Size: 2}
			placement.compose(placed)
			got, found := SpecOf(placement, placed, fixture.specs, func(vm string) (string, bool) {
				service, known := services[vm]
				return service, known
			})
			require.Equal(test, fixture.want, got.Name)
			require.Equal(test, fixture.found, found)
			// A group may serve only if the service of its members is known.
			service, known := ServiceOf(placement, placed, func(vm string) (string, bool) {
				service, known := services[vm]
				return service, known
			})
			require.Equal(test, strings.HasPrefix(name, "members") || strings.HasPrefix(name, "unknown"), !known)
			require.True(test, !known || service == services[fixture.members[1]])
		})
	}
}
