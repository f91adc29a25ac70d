package main

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/explanation"
	"lacewingspoke.org/lacewingspoke/operator"
)

// explainCommand prints where a request would go now.
type explainCommand struct {
	connectionOptions
	Host       string        `long:"host" value-name:"HOST" description:"host of the request"`
	Path       string        `long:"path" required:"yes" value-name:"PATH" description:"path of the request"`
	Workspace  string        `long:"workspace" value-name:"NAME" description:"workspace of the request; its key is not needed"`
	Model      string        `long:"model" value-name:"NAME" description:"model that the request's header names"`
	Tokens     int           `long:"tokens" value-name:"N" description:"prompt tokens that the request's header names"`
	Parts      string        `long:"parts" value-name:"ID:TOKENS[,...]" description:"parts of the prompt that the request's header names"`
	PromptFile string        `long:"prompt-file" value-name:"FILE" description:"text of a draft's prompt"`
	Deadline   time.Duration `long:"deadline" value-name:"DURATION" description:"time for which the caller waits"`
	JSON       bool          `long:"json" description:"print JSON"`
}

func addExplainCommand(parser *flags.Parser) error {
	return addCommand(parser, "explain", "Print where a request would go now, and why",
		"Asks the first node that answers, --node names it, where it would send a request now. Nothing is sent to a target. Exit code 2 for an unknown route or workspace.",
		&explainCommand{})
}

// Execute prints the explanation.
func (command *explainCommand) Execute([]string) error {
	question, err := command.question()
	if err != nil {
		return errors.Trace(err)
	}
	request := operator.ExplainRequest{Question: question, JSON: command.JSON}
	return command.runOperator(storeOptional, func(ctx context.Context, commands *operator.Operator) operator.ExitCode {
		return commands.Explain(ctx, request)
	})
}

func (command *explainCommand) question() (explanation.Question, error) {
	question := explanation.Question{
		Host: command.Host, Path: command.Path, Workspace: command.Workspace, Model: command.Model, Tokens: command.Tokens,
		DeadlineMillis: command.Deadline.Milliseconds(),
	}
	for text := range strings.SplitSeq(command.Parts, ",") {
		if text == "" {
			continue
		}
		id, count, _ := strings.Cut(text, ":")
		tokens, err := strconv.Atoi(count)
		if id == "" || err != nil || tokens < 0 {
			return question, errors.NotValidf("--parts %q (want ID:TOKENS)", text)
		}
		question.Parts = append(question.Parts, explanation.Part{ID: id, Tokens: tokens})
	}
	if command.PromptFile == "" {
		return question, nil
	}
	text, err := os.ReadFile(command.PromptFile)
	if err != nil {
		return question, errors.Trace(err)
	}
	question.Prompt = string(text)
	return question, nil
}
