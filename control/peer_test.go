package control

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/peer"
	"lacewingspoke.org/lacewingspoke/quarantine"
)

// Guards against state that a peer never receives because its frame was queued on a link
// that closed or was replaced: the new link carries all of it, also the end of a quarantine.
func TestNewLinkCarriesWhatWasLostWithTheLast(test *testing.T) {
	now := time.Now()
	states, records := make([]*state, 2), make([]*recorder, 2)
	for index := range states {
		states[index], records[index] = newTestState(test)
		states[index].quarantine = newQuarantineState(quarantine.NewTracker())
		for _, part := range []string{"kept", "released"} {
			value, err := quarantine.Record{Part: part}.Encode()
			require.NoError(test, err)
			states[index].receiveRecord(now, peer.Record{Key: quarantine.Key(part), Revision: 5, Value: value}, "")
		}
	}
	state, sent := states[0], records[0]
	state.setPlacement(now, "fd", 1, testPlacement(false))
	state.markDraining(now, peer.Leaving{Target: "vm", Incarnation: "1", Reason: "test"}, "")
	state.receiveRecord(now, peer.Record{Key: quarantine.Key("released"), Revision: 6}, "")

	sent.sent = nil
	state.handleLinkUp(now, peer.Hello{Name: "two", Incarnation: "1"})
	require.True(test, slices.ContainsFunc(sent.sent, func(frame peer.Frame) bool {
		placement, isPlacement := frame.(peer.Placement)
		return isPlacement && placement.Domain == "fd"
	}), "placement")
	require.Contains(test, sent.sent, peer.Leaving{Target: "vm", Incarnation: "1", Reason: "test"})
	for _, frame := range sent.sent {
		states[1].handleFrame(now, peer.Received{From: "one", Frame: frame})
	}
	refused := func(part string) string { return states[1].quarantine.tracker.Admit([]string{part}, now).Refused() }
	require.Equal(test, "kept", refused("kept"))
	require.Empty(test, refused("released"), "the quarantine of the part has ended")
}
