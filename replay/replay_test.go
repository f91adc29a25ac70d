package replay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a policy that causes more downtime or strands more accelerators
// than replacing members in name order, the better baseline, and against groups
// that never recover. Traces with half set require the target: at most half of
// the baseline on both measures.
func TestPolicyNoWorseThanReplacingInNameOrder(test *testing.T) {
	for _, row := range []struct {
		trace string
		half  bool
	}{
		{trace: "dark-domain", half: true},
		{trace: "stragglers", half: true},
		{trace: "rolling-restart"},
	} {
		test.Run(row.trace, func(test *testing.T) {
			test.Parallel()
			trace, err := ReadTrace("../group/testdata/" + row.trace + ".txt")
			require.NoError(test, err)
			weighting := Weightings()[0]
			weighting.Trace = trace
			weighting.Policy = PolicyNameOrder
			baseline := Run(weighting)
			weighting.Policy = PolicyPlan
			result := Run(weighting)
			require.Equal(test, 11, result.Wanted)
			require.Equal(test, result.Wanted, result.Serving)
			factor := 1.0
			if row.half {
				factor = 0.5
			}
			require.LessOrEqual(test, result.Downtime, baseline.Downtime*factor)
			require.LessOrEqual(test, result.Stranded, baseline.Stranded*factor)
			require.GreaterOrEqual(test, result.Downtime, result.Unavoidable)
		})
	}
}

// Guards against a malformed trace that is accepted, in whole or in part.
func TestParseTraceRejectsMalformedTraces(test *testing.T) {
	const fleet = "fabric-domain a f 4 1\ngroup large 4 1 1 60\nend 1h\ntime vm event\n"
	_, err := ParseTrace(fleet + "1m a-00 fail\n")
	require.NoError(test, err)
	for name, content := range map[string]string{
		"unknown VM":     fleet + "1m b-00 fail\n",
		"unknown event":  fleet + "1m a-00 melt\n",
		"negative time":  fleet + "-1m a-00 fail\n",
		"unknown domain": fleet + "1m b domain-dark\n",
		"extra field":    fleet + "1m a-00 fail 3\n",
		"no fleet":       "end 1h\ntime vm event\n",
		"unknown line":   "fabric a f 4 1\n",
		"size 0":         "fabric-domain a f 4 1\ngroup large 0 1 1 60\nend 1h\ntime vm event\n",
		"too many VMs":   "fabric-domain a f 1000000 1\n",
	} {
		_, err := ParseTrace(content)
		require.Error(test, err, name)
	}
}
