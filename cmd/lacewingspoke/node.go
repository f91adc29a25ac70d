package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"lacewingspoke.org/lacewingspoke/logline"
	"lacewingspoke.org/lacewingspoke/operator"
	"lacewingspoke.org/lacewingspoke/settings"
)

const (
	// memoryLimitRatio is the part of the process's memory from which on the garbage
	// collector runs more often.
	memoryLimitRatio = 0.75

	// bodiesRatio is the part that the bodies of requests and answers may hold: with the
	// garbage of as much again, and copies in the buffers of connections, they stay below half.
	bodiesRatio = 0.125

	// adminBodiesRatio is the part that the bodies of requests to the admin interface may hold.
	// Their decoded form takes as much again.
	adminBodiesRatio = 1.0 / 32

	// maxDescriptors is above what a node uses, and bounds an unlimited number.
	maxDescriptors = 1 << 16
)

// nodeCommand runs the daemon.
type nodeCommand struct {
	Settings string `long:"settings" env:"LACEWINGSPOKE_NODE_FILE" required:"yes" value-name:"FILE" description:"INI settings file of the node"`

	// StopGrace is an option besides the setting, because nodes of earlier releases, which
	// may be started with the same settings file, reject the key.
	StopGrace time.Duration `long:"stop-grace" env:"LACEWINGSPOKE_STOP_GRACE" value-name:"DURATION" description:"time from SIGTERM until the platform ends the process; replaces stop-grace of the settings"`

	// FollowDemand is an option for the same reason.
	FollowDemand bool `long:"follow-demand" env:"LACEWINGSPOKE_FOLLOW_DEMAND" description:"form the serving groups of the models by what callers ask, in place of by the shares of the configuration alone"`

	// Memory is an option for the same reason.
	Memory string `long:"memory" env:"LACEWINGSPOKE_MEMORY" value-name:"BYTES" description:"memory of the process, as 284MiB; replaces memory of the settings"`

	// Evacuation is no setting for the same reason. Platforms render an absent bound as "ms".
	Evacuation string `long:"evacuation" env:"LACEWINGSPOKE_EVACUATION" value-name:"DURATION" description:"time within which the evacuation of a failure domain has to take effect, as 5000ms; without it, failure domains are not evacuated"`

	// Descriptors is empty where the platform names no limit.
	Descriptors string `long:"descriptors" env:"LACEWINGSPOKE_DESCRIPTORS" value-name:"COUNT" description:"file descriptors that the process may open; the limit of the process if it is empty, 0 or higher"`

	// ColdOverage is no setting for the same reason.
	ColdOverage string `long:"cold-overage" env:"LACEWINGSPOKE_COLD_OVERAGE" value-name:"NUMBER" description:"requests that a cold target may get in a second at most, in units of the rate that it tolerates, as 1.5; without it, its rate is the bound"`
}

func addNodeCommand(parser *flags.Parser) error {
	_, err := parser.AddCommand("node", "Run the daemon",
		"Runs the daemon of one entry VM until SIGTERM, which stops it without cutting off a request in progress.",
		&nodeCommand{})
	return errors.Trace(err)
}

// Execute runs the daemon. If the settings have faults, it prints all of them and
// does not start.
func (command *nodeCommand) Execute([]string) error {
	// Without a channel, each of these signals would end the process while it starts.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	loaded, problems := settings.Load(command.Settings)
	if len(problems) > 0 {
		for _, problem := range problems {
			fmt.Fprintln(os.Stderr, problem)
		}
		return exitStatus(operator.ExitRejected)
	}
	if command.Memory != "" {
		if err := loaded.SetMemory(command.Memory); err != nil {
			fmt.Fprintln(os.Stderr, errors.Annotate(err, "option memory"))
			return exitStatus(operator.ExitRejected)
		}
	}
	if err := loaded.SetEvacuation(command.Evacuation); err != nil {
		fmt.Fprintln(os.Stderr, errors.Annotate(err, "option evacuation"))
		return exitStatus(operator.ExitRejected)
	}
	descriptors, err := strconv.Atoi(cmp.Or(command.Descriptors, "0"))
	if err != nil {
		fmt.Fprintln(os.Stderr, errors.Annotate(err, "option descriptors"))
		return exitStatus(operator.ExitRejected)
	}
	loaded.SetDescriptors(descriptorLimit(descriptors))
	if err := loaded.SetColdOverage(command.ColdOverage); err != nil {
		fmt.Fprintln(os.Stderr, errors.Annotate(err, "option cold-overage"))
		return exitStatus(operator.ExitRejected)
	}
	sink := logline.New(logline.Config{Output: os.Stdout})
	logger := sink.Logger().With(zap.String("node", loaded.Name()))
	err = command.run(loaded, logger, signals, reloads)
	sink.Close()
	return errors.Trace(err)
}

// descriptorLimit returns the number of descriptors that the process may open: the lower one of
// its limit and of the option, if that is set.
func descriptorLimit(option int) int {
	count := maxDescriptors
	var limits unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limits); err == nil && limits.Cur < maxDescriptors {
		count = int(limits.Cur)
	}
	if option > 0 {
		count = min(count, option)
	}
	return count
}

// followDemand is the option of that name.
type followDemand bool

// run runs the daemon until a signal arrives or one of its components fails, and
// then stops it gracefully.
func (command *nodeCommand) run(loaded *settings.Settings, logger *zap.Logger, signals, reloads <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(loaded.Memory())))
	var running *daemon
	app := fx.New(
		fx.Supply(loaded, logger, followDemand(command.FollowDemand)),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		nodeModule,
		storeModule(loaded),
		fx.Populate(&running),
	)
	if err := app.Start(context.Background()); err != nil {
		return errors.Annotate(err, "start node")
	}
	running.stopGrace = command.StopGrace
	cause := running.wait(signals, reloads, command.Settings)
	stopCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchDone := make(chan error, 1)
	go func() { watchDone <- watchSignals(stopCtx, signals, cancel, logger) }()
	if err := app.Stop(stopCtx); err != nil {
		logger.Warn("stopped before all requests had ended", zap.Error(err))
	}
	cancel()
	<-watchDone
	logger.Info("stopped")
	return errors.Trace(cause)
}

// watchSignals handles the signals that arrive during a graceful stop until the context
// ends. Platforms repeat SIGTERM, which changes nothing; SIGINT cuts off what still runs.
func watchSignals(ctx context.Context, signals <-chan os.Signal, cancel context.CancelFunc, logger *zap.Logger) error {
	for {
		select {
		case received := <-signals:
			logger.Info("signal during the stop", zap.Stringer("signal", received))
			if received == syscall.SIGINT {
				cancel()
			}
		case <-ctx.Done():
			return nil
		}
	}
}
