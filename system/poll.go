package system

import (
	"context"
	"time"
)

// poll calls holds until it returns true or ctx ends.
func poll(ctx context.Context, holds func() bool) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

const pollInterval = 20 * time.Millisecond
