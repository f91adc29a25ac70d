package checker_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"lacewingspoke.org/lacewingspoke/standin/caller"
	"lacewingspoke.org/lacewingspoke/standin/checker"
	"lacewingspoke.org/lacewingspoke/standin/engine"
	"lacewingspoke.org/lacewingspoke/standin/service"
)

const tokens = 4

func draft(outcome, text string, ended bool) caller.Result {
	return caller.Result{
		Kind: caller.KindDraft, Prompt: "p", MaxTokens: tokens, Status: 200, Outcome: outcome, Text: text, Ended: ended,
	}
}

func booked(outcome, key string, receipts ...string) caller.Result {
	return caller.Result{
		Kind: caller.KindBooking, Plank: "oak", Key: key, Status: 201, Outcome: outcome,
		Receipts: receipts, Ended: len(receipts) > 0,
	}
}

func ran(receipts ...string) []service.RecordLine {
	var lines []service.RecordLine
	for _, receipt := range receipts {
		lines = append(lines, service.RecordLine{Plank: "oak", Receipt: receipt})
	}
	return lines
}

// Guards against a checker that does not report a violation, or that reports
// one for results that agree with the records.
func TestCheckReportsViolatedRules(t *testing.T) {
	whole := engine.Answer("p", tokens)
	part := engine.Answer("p", 2)
	start := engine.RecordLine{Event: engine.EventStart, Prompt: "p", Attempt: "a"}
	runs := []engine.RecordLine{start}
	tests := []struct {
		name     string
		results  []caller.Result
		engines  []engine.RecordLine
		services []service.RecordLine
		want     []checker.Rule
	}{
		{"whole draft", []caller.Result{draft("complete", whole, true)}, runs, nil, nil},
		{"broken draft", []caller.Result{draft("", part, false)}, runs, nil, nil},
		{"refused draft", []caller.Result{draft("not-run", "", false)}, nil, nil, nil},
		{"refused draft that ran", []caller.Result{draft("not-run", "", false)}, runs, nil, []checker.Rule{checker.RuleNotRun}},
		{"cut draft", []caller.Result{draft("complete", part, true)}, runs, nil, []checker.Rule{checker.RuleWholeAnswer}},
		{"cut draft with marker only", []caller.Result{draft("", part, true)}, runs, nil, []checker.Rule{checker.RuleWholeAnswer}},
		{"complete without end", []caller.Result{draft("complete", whole, false)}, runs, nil, []checker.Rule{checker.RuleWholeAnswer}},
		{"other answer", []caller.Result{draft("complete", engine.Answer("q", tokens), true)}, runs, nil, []checker.Rule{checker.RuleOwnAnswer}},
		{"repeated token", []caller.Result{draft("", part+part, false)}, runs, nil, []checker.Rule{checker.RuleOwnAnswer}},
		{"answer without run", []caller.Result{draft("complete", whole, true)}, nil, nil, []checker.Rule{checker.RuleOwnAnswer}},
		{"run without request", nil, runs, nil, []checker.Rule{checker.RuleRequested}},
		{
			"wrong resume", []caller.Result{draft("complete", whole, true)},
			[]engine.RecordLine{{Event: engine.EventStart, Prompt: "p", WrongResume: true}}, nil, []checker.Rule{checker.RuleResume},
		},
		{"booking", []caller.Result{booked("complete", "", "r1")}, nil, ran("r1"), nil},
		{"replayed booking", []caller.Result{booked("complete", "k", "r1"), booked("complete", "k", "r1")}, nil, ran("r1"), nil},
		{"retried booking", []caller.Result{booked("not-run", "k"), booked("complete", "k", "r1")}, nil, ran("r1"), nil},
		{"unknown booking", []caller.Result{booked("unknown", "k")}, nil, ran("r1"), nil},
		{"refused booking that ran", []caller.Result{booked("not-run", "k")}, nil, ran("r1"), []checker.Rule{checker.RuleNotRun}},
		{"keyed booking twice", []caller.Result{booked("complete", "k", "r1"), booked("unknown", "k")}, nil, ran("r1", "r2"), []checker.Rule{checker.RuleNotRun, checker.RuleRunOnce}},
		{"booking twice", []caller.Result{booked("complete", "", "r1")}, nil, ran("r1", "r2"), []checker.Rule{checker.RuleNotRun, checker.RuleRunOnce}},
		{"other receipt", []caller.Result{booked("complete", "", "r9")}, nil, ran("r1"), []checker.Rule{checker.RuleOwnAnswer}},
		{"receipt missing", []caller.Result{booked("complete", "")}, nil, ran("r1"), []checker.Rule{checker.RuleWholeAnswer}},
		{"booking without request", nil, nil, ran("r1"), []checker.Rule{checker.RuleRequested}},
		{
			"other plank", []caller.Result{{Kind: caller.KindLookup, Plank: "oak", Status: 200, Outcome: "complete", Ended: true, Text: "ash"}},
			nil, nil, []checker.Rule{checker.RuleOwnAnswer},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			faults := checker.Check(checker.Evidence{Results: test.results, Engines: test.engines, Services: test.services})
			var rules []checker.Rule
			for _, fault := range faults {
				rules = append(rules, fault.Rule)
			}
			assert.Equal(t, test.want, rules, "%v", faults)
		})
	}
}
