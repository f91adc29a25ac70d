// Package checker compares the results that callers received with the records
// of the stand-ins, and reports every contradiction.
//
// # Usage
//
//	faults := checker.Check(checker.Evidence{
//		Results:  results,
//		Engines:  engineLines,
//		Services: serviceLines,
//	})
package checker

import (
	"fmt"
	"sort"

	"lacewingspoke.org/lacewingspoke/standin/caller"
	"lacewingspoke.org/lacewingspoke/standin/engine"
	"lacewingspoke.org/lacewingspoke/standin/service"
)

// Evidence holds the results of the callers and the records of the stand-ins.
type Evidence struct {
	// Results must contain every request for the prompts and planks in the
	// records. A prompt belongs to one request; several requests may name the
	// same plank.
	Results  []caller.Result
	Engines  []engine.RecordLine
	Services []service.RecordLine
}

// A Rule is the name of a property that every run must have.
type Rule string

// The rules that Check verifies.
const (
	// RuleNotRun: a request with the outcome "not-run" did not run.
	RuleNotRun Rule = "not-run"

	// RuleRunOnce: a booking ran at most once for each key and each request
	// without a key.
	RuleRunOnce Rule = "once"

	// RuleWholeAnswer: an answer that ended or has the outcome "complete" is
	// whole.
	RuleWholeAnswer Rule = "whole"

	// RuleOwnAnswer: an answer, whole or not, belongs to its request.
	RuleOwnAnswer Rule = "own"

	// RuleResume: the resume text of a resumed stream is the beginning of the
	// answer.
	RuleResume Rule = "resume"

	// RuleRequested: every recorded run belongs to exactly one request for a
	// prompt, or to a booking of its plank.
	RuleRequested Rule = "known"
)

// A Fault is one violation of a rule.
type Fault struct {
	Rule   Rule
	Detail string
}

// String returns the rule and the detail.
func (fault Fault) String() string { return string(fault.Rule) + ": " + fault.Detail }

// Check returns all faults, sorted by rule and detail.
func Check(evidence Evidence) []Fault {
	check := &check{}
	check.drafts(evidence)
	check.bookings(evidence)
	check.lookups(evidence)
	sort.Slice(check.faults, func(i, j int) bool {
		return check.faults[i].String() < check.faults[j].String()
	})
	return check.faults
}

type check struct{ faults []Fault }

func (check *check) add(rule Rule, format string, values ...any) {
	check.faults = append(check.faults, Fault{rule, fmt.Sprintf(format, values...)})
}

func (check *check) drafts(evidence Evidence) {
	runs := map[string]int{}
	for _, line := range evidence.Engines {
		if line.Event != engine.EventStart {
			continue
		}
		runs[line.Prompt]++
		if line.WrongResume {
			check.add(RuleResume, "attempt %s was resumed at %d with a text that is not the beginning of the answer", line.Attempt, line.From)
		}
	}
	known := map[string]bool{}
	for _, result := range evidence.Results {
		if result.Kind != caller.KindDraft {
			continue
		}
		if known[result.Prompt] {
			check.add(RuleRequested, "prompt %q was sent twice, so its runs cannot be assigned to requests", result.Prompt)
		}
		known[result.Prompt] = true
		check.draft(result, runs[result.Prompt])
	}
	for prompt := range runs {
		if !known[prompt] {
			check.add(RuleRequested, "prompt %q ran without a request", prompt)
		}
	}
}

func (check *check) draft(result caller.Result, runs int) {
	whole := engine.Answer(result.Prompt, result.MaxTokens)
	if result.Outcome == caller.OutcomeNotRun && runs > 0 {
		check.add(RuleNotRun, "prompt %q ran %d times, but its outcome was not-run", result.Prompt, runs)
	}
	if len(result.Text) > len(whole) || whole[:len(result.Text)] != result.Text {
		check.add(RuleOwnAnswer, "prompt %q was answered with a text that is not the beginning of its answer", result.Prompt)
		return
	}
	if (result.Ended || result.Outcome == caller.OutcomeComplete) && result.Text != whole {
		check.add(RuleWholeAnswer, "answer to prompt %q ended after %d of %d bytes", result.Prompt, len(result.Text), len(whole))
	}
	if result.Outcome == caller.OutcomeComplete && (!result.Ended || result.Error != "") {
		check.add(RuleWholeAnswer, "answer to prompt %q has outcome complete, but its end was not received: %s", result.Prompt, result.Error)
	}
	if result.Text != "" && runs == 0 {
		check.add(RuleOwnAnswer, "prompt %q was answered but never ran", result.Prompt)
	}
}

func (check *check) bookings(evidence Evidence) {
	receipts := map[string][]string{}
	for _, line := range evidence.Services {
		receipts[line.Plank] = append(receipts[line.Plank], line.Receipt)
	}
	requests := map[string][]caller.Result{}
	for _, result := range evidence.Results {
		if result.Kind == caller.KindBooking {
			requests[result.Plank] = append(requests[result.Plank], result)
		}
	}
	for plank, results := range requests {
		check.booking(plank, results, receipts[plank])
	}
	for plank := range receipts {
		if len(requests[plank]) == 0 {
			check.add(RuleRequested, "plank %q was booked without a request", plank)
		}
	}
}

// booking checks the requests for one plank. Each distinct key, and each
// request without a key, may run at most once.
func (check *check) booking(plank string, results []caller.Result, receipts []string) {
	allowed := 0
	keys := map[string]bool{}
	possible := map[string]bool{}
	for index, result := range results {
		identity := "key " + result.Key
		if result.Key == "" {
			identity = fmt.Sprintf("request %d", index)
		}
		if !keys[identity] {
			keys[identity] = true
			allowed++
		}
		if result.Outcome != caller.OutcomeNotRun {
			possible[identity] = true
		}
		check.receipt(result, receipts)
	}
	if len(receipts) > allowed {
		check.add(RuleRunOnce, "plank %q was booked %d times, but only %d bookings were requested", plank, len(receipts), allowed)
	}
	if len(receipts) > len(possible) {
		check.add(RuleNotRun, "plank %q was booked %d times, but all except %d bookings had the outcome not-run", plank, len(receipts), len(possible))
	}
	check.replays(plank, results)
}

// receipt checks that a complete booking returned a receipt and that each
// returned receipt belongs to a recorded run.
func (check *check) receipt(result caller.Result, receipts []string) {
	if result.Outcome == caller.OutcomeComplete && !result.Ended && result.Status < 300 {
		check.add(RuleWholeAnswer, "booking of plank %q has outcome complete, but no receipt was received: %s", result.Plank, result.Error)
	}
	for _, receipt := range result.Receipts {
		if !contains(receipts, receipt) {
			check.add(RuleOwnAnswer, "booking of plank %q returned receipt %q, which was not recorded for it", result.Plank, receipt)
		}
	}
}

// replays checks that all requests with the same key returned the same receipt.
func (check *check) replays(plank string, results []caller.Result) {
	first := map[string]string{}
	for _, result := range results {
		if result.Key == "" || len(result.Receipts) == 0 {
			continue
		}
		earlier, found := first[result.Key]
		if found && earlier != result.Receipts[0] {
			check.add(RuleOwnAnswer, "plank %q key %q has receipts %q and %q", plank, result.Key, earlier, result.Receipts[0])
		}
		first[result.Key] = result.Receipts[0]
	}
}

func (check *check) lookups(evidence Evidence) {
	for _, result := range evidence.Results {
		if result.Kind != caller.KindLookup {
			continue
		}
		if result.Outcome == caller.OutcomeComplete && result.Status == 200 && !result.Ended {
			check.add(RuleWholeAnswer, "lookup of plank %q has outcome complete, but its answer was not received", result.Plank)
		}
		if result.Ended && result.Text != result.Plank {
			check.add(RuleOwnAnswer, "lookup of plank %q returned plank %q", result.Plank, result.Text)
		}
	}
}

func contains(items []string, wanted string) bool {
	for _, item := range items {
		if item == wanted {
			return true
		}
	}
	return false
}
