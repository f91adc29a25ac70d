package system

import (
	"context"
	"time"
)

// poll calls condition until it returns true or ctx ends.
func poll(ctx context.Context, condition func() bool) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

const pollInterval = 20 * time.Millisecond
