package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A cost of 93 ms in every first event that no field names made predictions a third of what
// came. Late first events of single requests must not count as such a cost, and a node that
// has no more first events must not go on with it.
func TestConstantCostIsMeasuredAndFades(test *testing.T) {
	forecast := NewForecast(ForecastConfig{GapMaxAge: time.Second})
	now := time.Unix(1000, 0)
	others := OtherNodes{Known: true}
	request := func(took time.Duration, load int) {
		prediction := forecast.PredictFirstEvent("group", "pool", enginePace, load, others, now)
		pending := forecast.Begin("group", "pool", 100, prediction, now)
		now = now.Add(took)
		pending.FirstEventArrived(now)
		now = now.Add(100*time.Millisecond - took%(100*time.Millisecond))
	}
	idle := IdleFirstEvent(enginePace)
	for index := range 200 {
		took := idle + 93*time.Millisecond
		if index%20 == 0 {
			took += 2 * time.Second
		}
		request(took, 0)
		if index > 100 {
			require.InDelta(test, 0.093, forecast.Correction("pool", now).Seconds(), 0.015)
		}
	}
	require.Zero(test, forecast.Correction("other", now))
	require.InDelta(test, 0.5, forecast.Correction("pool", now.Add(correctionHold+correctionHalfLife)).Seconds()/forecast.Correction("pool", now).Seconds(), 0.05)
	for range 200 {
		request(time.Second+idle, 0)
	}
	require.LessOrEqual(test, forecast.Correction("pool", now), maxCorrection)
	for range 100 {
		request(idle, 0)
	}
	require.Less(test, forecast.Correction("pool", now), 5*time.Millisecond)
}

// On a fleet of 83 nodes the places of a group were taken by requests of other nodes: 53 ms
// were predicted where 400 to 800 came.
func TestRequestsOfOtherNodesArePartOfTheForecast(test *testing.T) {
	forecast := NewForecast(ForecastConfig{GapMaxAge: time.Second})
	now := time.Unix(1000, 0)
	pace := Pace{Pass: 25 * time.Millisecond, ReadPerToken: 20 * time.Microsecond, Slots: 30, Events: 31, MeanPromptTokens: 700, OtherNodesShare: 82.0 / 83}
	predict := func(load int, others OtherNodes) time.Duration {
		return forecast.PredictFirstEvent("group", "pool", pace, load, others, now).FirstEvent
	}
	idle := predict(0, OtherNodes{Known: true})
	require.Equal(test, IdleFirstEvent(pace), idle)
	require.Equal(test, idle+70*time.Millisecond, predict(20, OtherNodes{Known: true, Waiting: 5, UnreadTokens: 3500}))
	queued := predict(45, OtherNodes{Known: true, Waiting: 20, UnreadTokens: 14000})
	require.Greater(test, queued, idle+500*time.Millisecond)
	require.Less(test, queued, idle+900*time.Millisecond)
	// What was seen of a queue that has ended does not count.
	forecast.Begin("group", "pool", 700, Prediction{}, now.Add(-2*time.Second)).FirstEventArrived(now)
	require.Equal(test, idle, predict(0, OtherNodes{Known: true}))
	require.Greater(test, predict(0, OtherNodes{}), time.Second)
}
