package outcome_test

import (
	"fmt"

	"lacewingspoke.org/lacewingspoke/outcome"
)

// The refusal of the target changes the outcome of a sent attempt from unknown
// to not-run.
func Example() {
	attempt := outcome.NewAttempt("attempt-1")
	fmt.Println(attempt.Outcome())
	attempt = attempt.Apply(outcome.Sent{})
	fmt.Println(attempt.Outcome())
	fmt.Println(outcome.MayRetry(outcome.RunOnce, attempt.Outcome()))
	attempt = attempt.Apply(outcome.Refused{Reason: "not ready"})
	fmt.Println(attempt.Outcome())
	// Output:
	// not-run
	// unknown
	// false
	// not-run
}
