package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func domainsOf(evacuations *Evacuations) []string {
	var domains []string
	for _, evacuation := range evacuations.All() {
		domains = append(domains, evacuation.FailureDomain)
	}
	return domains
}

// Guards against an evacuation whose bound is counted from when a node reads it: one that the
// node reads late, after an outage or its start, must take effect at once.
func TestEvacuationIsRequestedAfterTheLastReadingWithoutIt(test *testing.T) {
	now := time.Unix(1000, 0)
	started := NewEvacuations()
	started.List(now, now, revisionOf(test, 1, 10), []string{"a"})
	require.True(test, started.All()[0].Before.IsZero())
	following := NewEvacuations()
	following.List(now, now, revisionOf(test, 1, 10), nil)
	following.Change(now.Add(time.Second), now.Add(time.Second), nil, nil)
	following.List(now.Add(9*time.Second), now.Add(9*time.Second), revisionOf(test, 1, 20), []string{"a", "b"})
	require.Equal(test, []Evacuation{{"a", now.Add(time.Second)}, {"b", now.Add(time.Second)}}, following.All())
	// A domain that is taken back and evacuated again is a new one.
	following.Change(now.Add(10*time.Second), now.Add(10*time.Second), nil, []string{"a"})
	following.Change(now.Add(11*time.Second), now.Add(11*time.Second), []string{"a"}, nil)
	require.Equal(test, now.Add(10*time.Second), following.All()[0].Before)
}

// Guards against an evacuation that ends because the store returned from a copy without it,
// and against one that never ends because the copy had it or the operator took it back.
func TestCopyEndsEvacuationsAfterRewriteTime(test *testing.T) {
	now := time.Unix(1000, 0)
	evacuations := NewEvacuations()
	evacuations.List(now, now, revisionOf(test, 1, 10), []string{"a", "b", "c"})
	evacuations.List(now, now, revisionOf(test, 2, 5), []string{"a"})
	require.Equal(test, []string{"a", "b", "c"}, domainsOf(evacuations))
	evacuations.Change(now, now, []string{"b"}, nil)
	later := now.Add(rewriteTime)
	evacuations.List(later, later, revisionOf(test, 2, 9), []string{"a", "b"})
	require.Equal(test, []string{"a", "b"}, domainsOf(evacuations))
	evacuations.List(later, later, revisionOf(test, 2, 12), nil)
	require.Empty(test, domainsOf(evacuations))
}
