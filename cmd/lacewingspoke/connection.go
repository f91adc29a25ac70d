package main

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/operator"
	"lacewingspoke.org/lacewingspoke/timer"
)

// connectionOptions are the addresses of the store and of nodes.
type connectionOptions struct {
	Store   string        `long:"store" env:"LACEWINGSPOKE_STORE" value-name:"IP:PORT[,...]" description:"addresses of the platform's store"`
	Node    string        `long:"node" env:"LACEWINGSPOKE_NODE" value-name:"IP:PORT[,...]" description:"admin addresses of nodes, in addition to those in the store"`
	Timeout time.Duration `long:"timeout" default:"2s" value-name:"DURATION" description:"time for one store call"`
}

// authorOptions are the author of a change and the reason for it. Both become
// part of the audit entry.
type authorOptions struct {
	Author string `long:"author" env:"LACEWINGSPOKE_AUTHOR" value-name:"NAME" description:"who makes the change (default: the user name)"`
	Reason string `long:"reason" required:"yes" value-name:"TEXT" description:"why the change is made"`
}

// author returns the author's name, by default the user name. It returns an
// errors.NotValid error if both are empty.
func (options authorOptions) author() (string, error) {
	if options.Author != "" {
		return options.Author, nil
	}
	if user := os.Getenv("USER"); user != "" {
		return user, nil
	}
	return "", errors.NotValidf("command without --author and without a user name")
}

// exitStatus is the error of a command that has already printed its result.
type exitStatus operator.ExitCode

// Error implements error.
func (exitStatus) Error() string { return "command failed" }

// asError returns nil for ExitDone and an exitStatus for other exit codes.
func asError(code operator.ExitCode) error {
	if code == operator.ExitDone {
		return nil
	}
	return exitStatus(code)
}

// storeRequirement is whether a command needs the store.
type storeRequirement int

const (
	storeOptional storeRequirement = iota
	storeRequired
)

// runOperator connects, runs a command until it ends or a signal arrives, and
// disconnects.
func (options connectionOptions) runOperator(requirement storeRequirement, command func(context.Context, *operator.Operator) operator.ExitCode) error {
	config, closeStore, err := options.operatorConfig(requirement)
	if err != nil {
		return errors.Trace(err)
	}
	defer closeStore()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	timerCtx, stopTimers := context.WithCancel(context.Background())
	go config.Timers.Run(timerCtx)
	commands := operator.New(config)
	code := command(ctx, commands)
	commands.Close()
	stopTimers()
	<-config.Timers.Done()
	return asError(code)
}

func (options connectionOptions) operatorConfig(requirement storeRequirement) (operator.Config, func(), error) {
	config := operator.Config{
		Timers: timer.New(timer.Config{}),
		Output: os.Stdout,
		Errors: os.Stderr,
	}
	nodes, err := splitAddresses("--node", options.Node)
	if err != nil {
		return config, nil, errors.Trace(err)
	}
	config.Nodes = nodes
	stores, err := splitAddresses("--store", options.Store)
	if err != nil {
		return config, nil, errors.Trace(err)
	}
	if len(stores) == 0 {
		if requirement == storeRequired {
			return config, nil, errors.NotValidf("command without --store and LACEWINGSPOKE_STORE")
		}
		return config, func() {}, nil
	}
	client, err := kvstore.NewClient(kvstore.ClientConfig{Addresses: stores, Timeout: options.Timeout})
	if err != nil {
		return config, nil, errors.Trace(err)
	}
	config.Store = client
	return config, client.Close, nil
}

// splitAddresses parses a comma-separated list of IP:port. The option is named in
// the error.
func splitAddresses(option, text string) ([]string, error) {
	if text == "" {
		return nil, nil
	}
	addresses := strings.Split(text, ",")
	for index, address := range addresses {
		parsed, err := netip.ParseAddrPort(strings.TrimSpace(address))
		if err != nil {
			return nil, errors.NotValidf("%s %q (want IP:PORT)", option, address)
		}
		addresses[index] = parsed.String()
	}
	return addresses, nil
}

// addCommand adds a subcommand to the parser.
func addCommand(parser *flags.Parser, name, short, long string, command any) error {
	_, err := parser.AddCommand(name, short, long, command)
	return errors.Trace(err)
}
