package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lacewingspoke.org/lacewingspoke/limit"
)

// Guards against requests that are taken during a planned stop and cut at its end.
func TestGraceAllowsOnlyRequestsThatEndInside(test *testing.T) {
	now := time.Unix(1000, 0)
	end := now.Add(5 * time.Second)
	tests := []struct {
		name       string
		wait       time.Duration
		repeatable bool
		expected   time.Duration
		allowed    bool
	}{
		{"deadline inside", 5 * time.Second, false, time.Second, true},
		{"deadline outside", 5*time.Second + 1, false, time.Second, false},
		{"may be repeated, expected inside", time.Minute, true, 2500 * time.Millisecond, true},
		{"may be repeated, expected near the end", time.Minute, true, 2501 * time.Millisecond, false},
	}
	for _, request := range tests {
		test.Run(request.name, func(test *testing.T) {
			var grace limit.Grace
			deadline := now.Add(request.wait)
			assert.True(test, grace.Allows(deadline, request.repeatable, request.expected, now), "before the stop")
			assert.Equal(test, deadline, grace.Bound(deadline), "before the stop")
			grace.Begin(end)
			assert.Equal(test, request.allowed, grace.Allows(deadline, request.repeatable, request.expected, now))
			assert.False(test, grace.Bound(deadline).After(end))
		})
	}
}
