package catalog

import (
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

func testConfig() Config {
	return Config{
		Version:  3,
		Services: []Service{{Name: "desk"}, {Name: "pool", Engine: &Engine{}}},
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Kind: KindOnce, Splits: []Split{{Service: "desk", Weight: 1}}},
			{Name: "long", Host: "A.example", Prefix: "/x/y/", Kind: KindStream, Splits: []Split{{Service: "pool", Weight: 3}, {Service: "desk", Weight: 1}}},
		},
		Workspaces: []WorkspaceKeys{{Workspace: Workspace{Name: "one", Priority: -1}, Keys: []string{"key"}}},
	}
}

// Guards against requests that are matched to the first prefix instead of the
// longest one, or to a route of another host.
func TestMatchTakesTheLongestPrefixOfTheHost(test *testing.T) {
	catalog, err := New(testConfig())
	require.NoError(test, err)
	for path, want := range map[string]string{"/x/": "short", "/x/1": "short", "/x/y/": "long", "/x/y/z": "long", "/x": "", "/": ""} {
		route, found := catalog.Match("a.EXAMPLE", path)
		require.Equal(test, want, route.Name, path)
		require.Equal(test, want != "", found, path)
	}
	_, found := catalog.Match("b.example", "/x/")
	require.False(test, found)
}

// Guards against a key that is accepted although no workspace has it.
func TestWorkspaceIsFoundByItsKeyOnly(test *testing.T) {
	catalog, err := New(testConfig())
	require.NoError(test, err)
	workspace, found := catalog.Workspace("key")
	require.True(test, found)
	require.Equal(test, "one", workspace.Name)
	for _, key := range []string{"", "ke", "key ", "KEY"} {
		_, found := catalog.Workspace(key)
		require.False(test, found, key)
	}
	require.True(test, catalog.RequiresKey(Route{}))
	require.False(test, catalog.RequiresKey(Route{Public: true}))
}

// Guards against requests that are sent to a service without a share of the route.
func TestChooseTakesNoServiceWithoutWeight(test *testing.T) {
	for name, fixture := range map[string]struct {
		splits []Split
		want   string
	}{
		"none has a weight": {splits: []Split{{Service: "a"}, {Service: "b"}}},
		"last has none":     {splits: []Split{{Service: "a", Weight: 1}, {Service: "b"}}, want: "a"},
		"first has none":    {splits: []Split{{Service: "a"}, {Service: "b", Weight: 1}}, want: "b"},
		"negative":          {splits: []Split{{Service: "a", Weight: -3}, {Service: "b", Weight: 1}, {Service: "c", Weight: -1}}, want: "b"},
	} {
		test.Run(name, func(test *testing.T) {
			for _, draw := range []float64{0, 0.5, 0.9999999} {
				require.Equal(test, fixture.want, Route{Splits: fixture.splits}.Choose(draw))
			}
		})
	}
}

// Guards against requests that are not split in proportion to the weights.
func TestChooseFollowsTheWeights(test *testing.T) {
	catalog, err := New(testConfig())
	require.NoError(test, err)
	route, _ := catalog.Match("a.example", "/x/y/")
	require.Equal(test, "pool", route.Choose(0))
	require.Equal(test, "pool", route.Choose(0.74))
	require.Equal(test, "desk", route.Choose(0.76))
	require.Equal(test, "desk", route.Choose(0.9999))
}

// Guards against routes that no request can be forwarded on because they lack a
// kind or an existing service.
func TestNewRejectsRoutesWithoutKindOrService(test *testing.T) {
	for name, change := range map[string]func(*Config){
		"unknown service": func(config *Config) { config.Routes[0].Splits[0].Service = "other" },
		"no service":      func(config *Config) { config.Routes[0].Splits = nil },
		"no kind":         func(config *Config) { config.Routes[0].Kind = 0 },
	} {
		test.Run(name, func(test *testing.T) {
			config := testConfig()
			change(&config)
			_, err := New(config)
			require.True(test, errors.Is(err, errors.NotValid), "%v", err)
		})
	}
}

// Guards against a stream that is sent to a second target although it cannot be
// resumed.
func TestRepeatableFollowsTheKind(test *testing.T) {
	require.False(test, Route{Kind: KindOnce}.Repeatable())
	require.True(test, Route{Kind: KindIdempotent}.Repeatable())
	require.False(test, Route{Kind: KindStream}.Repeatable())
	require.True(test, Route{Kind: KindStream, Resumable: true}.Repeatable())
}
