package outcome_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/outcome"
)

// Guards against an attempt of which a byte may have been sent and whose outcome
// is NotRun without a refusal of the target.
func TestAttemptOutcome(t *testing.T) {
	broken := outcome.Broken{Reason: "reset"}
	cases := []struct {
		name   string
		events []outcome.Event
		want   outcome.Outcome
	}{
		{"nothing sent", nil, outcome.NotRun{}},
		{"dial failed", []outcome.Event{broken}, outcome.NotRun{Reason: "reset"}},
		{"sent", []outcome.Event{outcome.Sent{}}, outcome.Unknown{}},
		{"sent and broken", []outcome.Event{outcome.Sent{}, broken}, outcome.Unknown{Reason: "reset"}},
		{"refused", []outcome.Event{outcome.Sent{}, outcome.Refused{Reason: "busy"}}, outcome.NotRun{Reason: "busy"}},
		{"answered", []outcome.Event{outcome.Sent{}, outcome.Answered{}, broken}, outcome.Complete{}},
		{"answered then refused", []outcome.Event{outcome.Sent{}, outcome.Answered{}, outcome.Refused{}}, outcome.Complete{}},
		{"refused then answered", []outcome.Event{outcome.Sent{}, outcome.Refused{}, outcome.Answered{}}, outcome.NotRun{}},
	}
	for _, test := range cases {
		attempt := outcome.NewAttempt("a")
		for _, event := range test.events {
			attempt = attempt.Apply(event)
		}
		require.Equal(t, test.want, attempt.Outcome(), test.name)
	}
}

// Guards against a later attempt that was not run and replaces the unknown
// outcome of an earlier one, and against a retry of a request that must run
// once.
func TestRetryRules(t *testing.T) {
	unknown, notRun := outcome.Unknown{Reason: "first"}, outcome.NotRun{}
	require.Equal(t, unknown, outcome.Combine(unknown, notRun))
	require.Equal(t, unknown, outcome.Combine(notRun, unknown))
	require.Equal(t, outcome.Complete{}, outcome.Combine(unknown, outcome.Complete{}))
	require.True(t, outcome.MayRetry(outcome.RunOnce, notRun))
	require.False(t, outcome.MayRetry(outcome.RunOnce, unknown))
	require.True(t, outcome.MayRetry(outcome.Repeatable, unknown))
	require.False(t, outcome.MayRetry(outcome.Repeatable, outcome.Complete{}))
	require.True(t, outcome.MayResume(outcome.Resumable, unknown))
	require.False(t, outcome.MayResume(outcome.Repeatable, unknown))
}

// Guards against an answer with a missing, repeated or foreign piece, when
// pieces arrive in any order, several times and mixed with pieces of other
// attempts.
func TestAssemblerAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, outcome.MaxHeldPieces).Draw(t, "count")
		assembler := outcome.NewAssembler()
		assembler.Start("old")
		assembler.Start("own")
		texts := []string{}
		order := rapid.Permutation(indices(count)).Draw(t, "order")
		for _, index := range order {
			repeats := rapid.IntRange(1, 3).Draw(t, "repeats")
			for range repeats {
				texts = append(texts, deliver(assembler, "own", index)...)
			}
			require.IsType(t, outcome.Drop{}, assembler.Accept(engine.Piece{Attempt: "old", Index: index}))
			require.Equal(t, outcome.Drop{Cause: outcome.DropForeign}, assembler.Accept(engine.Piece{Attempt: "strange", Index: index}))
		}
		require.Equal(t, outcome.End{Count: count}, assembler.Accept(engine.Piece{Attempt: "own", Index: count, Done: true}))
		require.Len(t, texts, count)
		for index, text := range texts {
			require.Equal(t, string(rune('a'+index)), text)
		}
	})
}

func indices(count int) []int {
	result := make([]int, count)
	for index := range result {
		result[index] = index
	}
	return result
}

// deliver passes a piece with the letter of its index to the assembler and
// returns the texts to deliver.
func deliver(assembler *outcome.Assembler, attempt string, index int) []string {
	verdict := assembler.Accept(engine.Piece{Attempt: attempt, Index: index, Text: string(rune('a' + index))})
	if delivered, isDeliver := verdict.(outcome.Deliver); isDeliver {
		return delivered.Texts
	}
	return nil
}

// Guards against an end that is accepted although a piece is missing, and
// against held pieces of an earlier attempt that are delivered after a new
// attempt has started.
func TestAssemblerMissing(t *testing.T) {
	assembler := outcome.NewAssembler()
	assembler.Start("first")
	require.Equal(t, []string{"a"}, deliver(assembler, "first", 0))
	require.Equal(t, outcome.Hold{}, assembler.Accept(engine.Piece{Attempt: "first", Index: 2, Text: "wrong"}))
	require.Equal(t, outcome.Missing{Index: 1}, assembler.Accept(engine.Piece{Attempt: "first", Index: 3, Done: true}))
	assembler.Start("second")
	require.Equal(t, 1, assembler.Next())
	require.Equal(t, []string{"b"}, deliver(assembler, "second", 1))
	require.Equal(t, outcome.Drop{Cause: outcome.DropLate}, assembler.Accept(engine.Piece{Attempt: "first", Index: 2}))
	require.Equal(t, outcome.Missing{Index: 2}, assembler.Accept(engine.Piece{Attempt: "second", Index: 1, Done: true}))
	require.Equal(t, "ab", assembler.Text())
	assembler.Start("third")
	for index := range outcome.MaxHeldPieces {
		require.Equal(t, outcome.Hold{}, assembler.Accept(engine.Piece{Attempt: "third", Index: 3 + index}))
	}
	require.Equal(t, outcome.Missing{Index: 2}, assembler.Accept(engine.Piece{Attempt: "third", Index: 3 + outcome.MaxHeldPieces}))
}

// Guards against pieces that are delivered after the end of the answer.
func TestAssemblerDropsPiecesAfterEnd(t *testing.T) {
	assembler := outcome.NewAssembler()
	assembler.Start("own")
	require.Equal(t, []string{"a"}, deliver(assembler, "own", 0))
	require.Equal(t, outcome.End{Count: 1}, assembler.Accept(engine.Piece{Attempt: "own", Index: 1, Done: true}))
	require.Equal(t, outcome.Drop{Cause: outcome.DropLate}, assembler.Accept(engine.Piece{Attempt: "own", Index: 1, Text: "b"}))
	require.Equal(t, "a", assembler.Text())
}
