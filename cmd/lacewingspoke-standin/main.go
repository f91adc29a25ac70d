// Command lacewingspoke-standin runs stand-ins for the platform in tests and in
// the demo: the store, model engines, a booking service and a balancer. It can
// also send a request as a caller and check the response.
//
// # Usage
//
//	lacewingspoke-standin store --listen 127.0.0.1:7000 --vms vms.json
//	lacewingspoke-standin engine --vm vm-0=127.0.0.1:7100 --checks-fencing
//	lacewingspoke-standin service --listen 127.0.0.1:7301
//	lacewingspoke-standin balancer --listen 127.0.0.1:7800 --node 127.0.0.1:7400=127.0.0.1:7600
//	lacewingspoke-standin call --address 127.0.0.1:7800 --key KEY draft PROMPT
//
// All subcommands except call are servers. A server prints one line when it
// listens and runs until SIGTERM or SIGINT:
//
//	lacewingspoke-standin store: listening on 127.0.0.1:7000
//
// If an address has port 0, a free port is chosen, and the line contains it.
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
