package main

import (
	"context"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/operator"
)

// bookingCommand groups the commands about bookings.
type bookingCommand struct {
	Settle settleCommand `command:"settle" description:"Record what became of a booking whose outcome is unknown"`
}

// settleCommand records an operator's decision about one claim.
type settleCommand struct {
	connectionOptions
	authorOptions
	Workspace string `long:"workspace" required:"yes" value-name:"NAME" description:"workspace of the booking"`
	Key       string `long:"key" required:"yes" value-name:"KEY" description:"the caller's Idempotency-Key"`
	Outcome   string `long:"outcome" required:"yes" choice:"ran" choice:"not-run" description:"what the operator found"`
}

func addBookingCommand(parser *flags.Parser) error {
	return addCommand(parser, "booking", "Commands about bookings",
		"Commands about requests that must run at most once.", &bookingCommand{})
}

// Execute settles the claim.
func (command *settleCommand) Execute([]string) error {
	author, err := command.author()
	if err != nil {
		return errors.Trace(err)
	}
	request := operator.SettleRequest{
		Workspace: command.Workspace,
		Key:       command.Key,
		Ran:       command.Outcome == "ran",
		Author:    author,
		Reason:    command.Reason,
	}
	return command.runOperator(storeRequired, func(ctx context.Context, commands *operator.Operator) operator.ExitCode {
		return commands.SettleBooking(ctx, request)
	})
}
