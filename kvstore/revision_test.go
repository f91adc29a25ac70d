package kvstore_test

import (
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// Guards against revisions of a later era that are not higher than all of an earlier one,
// and against a key that does not exist having a revision.
func TestJoinRevisionOrdersEras(test *testing.T) {
	last, err := kvstore.JoinRevision(1, 1<<48-1)
	require.NoError(test, err)
	first, err := kvstore.JoinRevision(2, 1)
	require.NoError(test, err)
	require.Greater(test, first, last)
	era, changes := kvstore.SplitRevision(first)
	require.Equal(test, []uint64{2, 1}, []uint64{era, changes})
	absent, err := kvstore.JoinRevision(7, 0)
	require.NoError(test, err)
	require.Zero(test, absent)
	for _, invalid := range [][2]uint64{{1 << 16, 1}, {1, 1 << 48}} {
		_, err := kvstore.JoinRevision(invalid[0], invalid[1])
		require.True(test, errors.Is(err, errors.NotValid), "%v", err)
	}
}
