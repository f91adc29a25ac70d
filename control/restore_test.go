package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/quarantine"
)

func revisionOf(test *testing.T, era, changes uint64) uint64 {
	revision, err := kvstore.JoinRevision(era, changes)
	require.NoError(test, err)
	return revision
}

// quarantineEntry returns the record of a part in the store.
func quarantineEntry(test *testing.T, part string, probes int, revision uint64) kvstore.Entry {
	record := quarantine.Record{Part: part, Probes: probes}
	value, err := record.Encode()
	require.NoError(test, err)
	return kvstore.Entry{Key: quarantine.Key(part), Value: value, Revision: revision}
}

// Guards against parts that leave quarantine because the store lost their records, and
// against parts that were released and return with its older copy.
func TestSharedRecordsOutliveCopyOfStore(test *testing.T) {
	state, record := newTestState(test)
	state.quarantine = newQuarantineState(quarantine.NewTracker())
	now := time.Now()
	list := func(revision uint64, entries ...kvstore.Entry) {
		state.handleListed(now, keysListed{prefix: fleet.DomainPrefix, revision: revision, entries: entries})
		state.awaitWorkers()
	}
	first := revisionOf(test, 1, 9)
	list(first, quarantineEntry(test, "kept", 0, first), quarantineEntry(test, "lost", 0, first),
		quarantineEntry(test, "probed", 2, first), quarantineEntry(test, "released", 0, first))
	released := []string{quarantine.Key("released")}
	state.handleChanged(now, keysChanged{prefix: fleet.DomainPrefix, revision: revisionOf(test, 1, 10), deleted: released})
	require.Equal(test, []string{"kept", "lost", "probed"}, state.quarantinedParts())

	copied := revisionOf(test, 2, 4)
	list(copied, quarantineEntry(test, "kept", 0, copied), quarantineEntry(test, "probed", 1, copied), quarantineEntry(test, "released", 0, copied))
	require.Equal(test, []string{"kept", "lost", "probed"}, state.quarantinedParts())
	require.ElementsMatch(test, []kvstore.PutRequest{
		{Key: quarantine.Key("lost"), Value: quarantineEntry(test, "lost", 0, 0).Value, Expect: kvstore.ExpectAbsent()},
		{Key: quarantine.Key("probed"), Value: quarantineEntry(test, "probed", 2, 0).Value, Expect: kvstore.ExpectRevision(copied)},
	}, record.puts)
	require.Equal(test, map[string]kvstore.Expect{released[0]: kvstore.ExpectRevision(copied)}, record.deletes)

	again := revisionOf(test, 2, 5)
	list(again, quarantineEntry(test, "kept", 0, copied))
	require.Equal(test, []string{"kept"}, state.quarantinedParts(), "a listing of the same era is complete")
}

// Guards against a node that goes back to a placement record of an older copy, and against
// one that ignores the records of the new era.
func TestPlacementOfCopyIsIgnored(test *testing.T) {
	state, _ := newTestState(test)
	now := time.Now()
	placement := func(fence string, change string) []byte {
		return []byte(`{"domain":"fd","fence":` + fence + `,"epoch":1,"leader":"one/1","change":"` + change + `"}`)
	}
	state.setPlacement(now, "fd", revisionOf(test, 1, 20), placement("3", "one/1/12"))
	state.setPlacement(now, "fd", revisionOf(test, 2, 5), placement("3", "one/1/9"))
	require.Equal(test, "one/1/12", state.domains["fd"].placement.Change())
	read := group.PlacementRead{Record: placement("3", "one/1/9"), Revision: revisionOf(test, 2, 5), Era: 2}
	recovered := state.recoverPlacement("fd", read)
	require.True(test, recovered.Lost)
	require.Equal(test, string(placement("3", "one/1/12")), string(recovered.Record))
	state.setPlacement(now, "fd", revisionOf(test, 2, 6), placement("4", "two/1/1"))
	require.Equal(test, "two/1/1", state.domains["fd"].placement.Change())
	require.False(test, state.recoverPlacement("fd", read).Lost, "records of one era are not compared")
}

// Guards against placement records that only the nodes have, and lose when they end.
func TestPlacementsAreWrittenAgain(test *testing.T) {
	state, record := newTestState(test)
	now := time.Now()
	value := []byte(`{"domain":"fd","fence":3,"epoch":1,"leader":"one/1","change":"one/1/12"}`)
	older := []byte(`{"domain":"fd","fence":3,"epoch":1,"leader":"one/1","change":"one/1/11"}`)
	list := func(revision uint64, record []byte) {
		result := keysListed{prefix: fleet.DomainPrefix, revision: revision}
		if record != nil {
			result.entries = []kvstore.Entry{{Key: placementKey("fd"), Value: record, Revision: revision}}
		}
		state.handleListed(now, result)
		state.awaitWorkers()
	}
	list(revisionOf(test, 1, 9), value)
	require.Empty(test, record.puts)
	list(revisionOf(test, 2, 5), older)
	list(revisionOf(test, 3, 4), nil)
	list(revisionOf(test, 4, 6), value)
	require.Equal(test, []kvstore.PutRequest{
		{Key: placementKey("fd"), Value: value, Expect: kvstore.ExpectRevision(revisionOf(test, 2, 5))},
		{Key: placementKey("fd"), Value: value, Expect: kvstore.ExpectAbsent()},
	}, record.puts)
}
