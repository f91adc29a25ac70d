// Command lacewingspoke-standin runs the small test stand-ins for the platform:
// the store, model engines, a booking service and a balancer.
//
// Each subcommand prints one line when it listens and runs until SIGTERM or
// SIGINT:
//
//	lacewingspoke-standin store: listening on 127.0.0.1:7000
//
// Addresses may have port 0; the printed line has the chosen port.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Store    storeCommand    `command:"store" description:"Key-value store, VM list and weight store"`
	Engine   engineCommand   `command:"engine" description:"Engines of one or more VMs"`
	Service  serviceCommand  `command:"service" description:"Booking service"`
	Balancer balancerCommand `command:"balancer" description:"TCP balancer over healthy nodes"`
	Call     callCommand     `command:"call" description:"Send one request as a caller and check its answer"`
}

func main() {
	parser := flags.NewParser(&options{}, flags.Default)
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
