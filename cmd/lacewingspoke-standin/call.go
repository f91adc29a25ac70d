package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/standin/caller"
	"lacewingspoke.org/lacewingspoke/standin/engine"
)

// callCommand sends one request as a caller. It fails if the response is
// incomplete or contains the text of another request.
type callCommand struct {
	Address        string        `long:"address" required:"true" description:"IP:port for callers"`
	Key            string        `long:"key" required:"true" description:"Caller key"`
	Stream         bool          `long:"stream" description:"Stream the draft"`
	MaxTokens      int           `long:"max-tokens" default:"32" description:"Tokens of the draft"`
	IdempotencyKey string        `long:"idempotency-key" description:"Idempotency key of the booking"`
	Timeout        time.Duration `long:"timeout" default:"30s" description:"Time for the request"`
	Argument       struct {
		Kind    string `positional-arg-name:"KIND" description:"draft, booking or lookup"`
		Subject string `positional-arg-name:"SUBJECT" description:"Prompt or plank"`
	} `positional-args:"yes" required:"yes"`
}

// Execute sends the request and prints the result as one JSON line.
func (command *callCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), command.Timeout)
	defer cancel()
	client := caller.New(caller.Config{Address: command.Address, Key: command.Key})
	subject := command.Argument.Subject
	var result caller.Result
	switch caller.Kind(command.Argument.Kind) {
	case caller.KindDraft:
		result = client.Draft(ctx, caller.Draft{Prompt: subject, MaxTokens: command.MaxTokens, Stream: command.Stream})
	case caller.KindBooking:
		result = client.Book(ctx, subject, command.IdempotencyKey)
	case caller.KindLookup:
		result = client.Lookup(ctx, subject)
	default:
		return errors.NotValidf("kind %q", command.Argument.Kind)
	}
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		return errors.Trace(err)
	}
	return requireComplete(result)
}

// requireComplete returns an error unless the response has the outcome complete
// and was received to its end. A draft must also contain the text that the engine
// stand-in generates for this prompt.
func requireComplete(result caller.Result) error {
	if result.Outcome != caller.OutcomeComplete || !result.Ended {
		return errors.Errorf("answer is not whole: told %q, %s", result.Outcome, result.Error)
	}
	if result.Kind == caller.KindDraft && result.Text != engine.Answer(result.Prompt, result.MaxTokens) {
		return errors.Errorf("answer belongs to another request")
	}
	return nil
}
