package engine

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that is cancelled because its timer expires while its first piece
// arrives.
func TestExpiredWatchdogDoesNotCancelAfterStop(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	started := newWatchdog(cancel, time.Hour, func() bool { return false })
	started.stop()
	// The timer's goroutine had begun before the stop.
	started.expire()
	require.NoError(t, context.Cause(ctx))
}
