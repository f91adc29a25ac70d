package forward_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against streams whose shared beginning several groups read although the configuration
// says that they keep prompts, and against a choice that depends on prompts where it does not.
func TestStreamsGoToTheHolderOfTheirBeginning(test *testing.T) {
	readers := func(keepsPrompts bool) int {
		groups := []*target{newTarget(test, "a", streams(1, "0\r\n\r\n")), newTarget(test, "b", streams(1, "0\r\n\r\n")), newTarget(test, "c", streams(1, "0\r\n\r\n")), newTarget(test, "d", streams(1, "0\r\n\r\n"))}
		node := newNode(test, tableFixture{groups: groups, keepsPrompts: keepsPrompts})
		for range 12 {
			request := node.newRequest(test, http.MethodPost, "/stream/1", "")
			request.Header["Part"] = []string{"system", "session"}
			require.Equal(test, http.StatusOK, node.send(request).status)
		}
		count := 0
		for _, group := range groups {
			count += min(1, group.count())
		}
		return count
	}
	require.Equal(test, 1, readers(true))
	require.Greater(test, readers(false), 1)
}
