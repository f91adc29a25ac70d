package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/standin/balancer"
	"lacewingspoke.org/lacewingspoke/standin/engine"
	"lacewingspoke.org/lacewingspoke/standin/fault"
	"lacewingspoke.org/lacewingspoke/standin/service"
	"lacewingspoke.org/lacewingspoke/standin/store"
)

// engineDiedExitCode is the exit code of an engine that is ended by the fault
// "die".
const engineDiedExitCode = 3

type storeCommand struct {
	Listen          string        `long:"listen" required:"true" description:"IP:port to serve"`
	Control         string        `long:"control" description:"IP:port for /control and /counters that no fault closes"`
	VMs             string        `long:"vms" description:"JSON file with the initial VM list, as POST /v1/vms takes it"`
	VMLag           time.Duration `long:"vm-lag" description:"How late changes of the VM list are visible"`
	WritesPerSecond float64       `long:"writes-per-second" description:"Limit on writes, 0 for none"`
	ReadsPerSecond  float64       `long:"reads-per-second" description:"Limit on reads, 0 for none"`
	WeightRate      float64       `long:"weight-rate" description:"Bytes per second of the weight store, 0 for no limit"`
}

func (command *storeCommand) readVMs() ([]store.VM, error) {
	if command.VMs == "" {
		return nil, nil
	}
	data, err := os.ReadFile(command.VMs)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var list struct {
		VMs []store.VM `json:"vms"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Annotatef(err, "decode VM list %s", command.VMs)
	}
	return list.VMs, nil
}

// Execute runs the store until a signal arrives.
func (command *storeCommand) Execute([]string) error {
	vms, err := command.readVMs()
	if err != nil {
		return err
	}
	standin := store.New(store.Config{
		WritesPerSecond:      command.WritesPerSecond,
		ReadsPerSecond:       command.ReadsPerSecond,
		WeightBytesPerSecond: command.WeightRate,
		VMLag:                command.VMLag,
		VMs:                  vms,
	})
	return serveOne("store", command.Listen, command.Control, standin, standin.Injector())
}

// serveOne serves a stand-in with one address and, if control is not empty, its
// control paths on that second address.
func serveOne(name, listen, control string, standin http.Handler, injector *fault.Injector) error {
	primary, err := openEndpoint("", listen, standin, injector)
	if err != nil {
		return err
	}
	endpoints := []endpoint{primary}
	if control != "" {
		controlEndpoint, err := openControl(control, controlPaths(standin))
		if err != nil {
			return err
		}
		endpoints = append(endpoints, controlEndpoint)
	}
	return serve(name, endpoints)
}

// controlPaths returns a handler for the paths of a stand-in to which its faults
// do not apply.
func controlPaths(standin http.Handler) http.Handler {
	handler := http.NewServeMux()
	handler.Handle("/control", standin)
	handler.Handle("/record", standin)
	handler.Handle("/counters", standin)
	return handler
}

type engineCommand struct {
	VMs             []string      `long:"vm" required:"true" description:"NAME=IP:port of one VM; may be repeated"`
	Control         string        `long:"control" description:"IP:port for /vm/NAME/control and /vm/NAME/record that no fault closes"`
	Incarnation     string        `long:"incarnation" description:"Incarnation of a single VM (default: random)"`
	Record          string        `long:"record" description:"Directory for the records NAME.jsonl, which are appended to"`
	TokenInterval   time.Duration `long:"token-interval" default:"2ms" description:"Time between tokens"`
	PrefillPerBlock time.Duration `long:"prefill-per-block" default:"500us" description:"Time before the first token per uncached block of 64 bytes"`
	BatchSize       int           `long:"batch-size" default:"16" description:"Requests that run at once"`
	CacheBlocks     int           `long:"cache-blocks" default:"4096" description:"Capacity of the prefix cache"`
	LoadTime        time.Duration `long:"load-time" default:"100ms" description:"Time that loading takes"`
	ReportLag       time.Duration `long:"report-lag" description:"Age of the load figures"`
	EventLag        time.Duration `long:"event-lag" description:"How late cache events are"`
	EventGap        uint64        `long:"event-gap" description:"Lose every n-th cache event"`
	ChecksFencing   bool          `long:"checks-fencing" description:"Refuse orders with an old fencing number"`
}

// Execute runs the engines of all VMs until a signal arrives.
func (command *engineCommand) Execute([]string) error {
	controlHandler := http.NewServeMux()
	endpoints := []endpoint{}
	for _, vm := range command.VMs {
		name, address, found := strings.Cut(vm, "=")
		if !found {
			return errors.NotValidf("VM %q without NAME=IP:port", vm)
		}
		standin, err := command.newEngine(name)
		if err != nil {
			return err
		}
		endpoint, err := openEndpoint(name+"=", address, standin, standin.Injector())
		if err != nil {
			return err
		}
		endpoints = append(endpoints, endpoint)
		controlHandler.Handle("/vm/"+name+"/", http.StripPrefix("/vm/"+name, controlPaths(standin)))
	}
	if command.Control != "" {
		controlEndpoint, err := openControl(command.Control, controlHandler)
		if err != nil {
			return err
		}
		endpoints = append(endpoints, controlEndpoint)
	}
	return serve("engine", endpoints)
}

func (command *engineCommand) newEngine(name string) (*engine.Engine, error) {
	config := engine.Config{
		VM:              name,
		TokenInterval:   command.TokenInterval,
		PrefillPerBlock: command.PrefillPerBlock,
		BatchSize:       command.BatchSize,
		CacheBlocks:     command.CacheBlocks,
		LoadTime:        command.LoadTime,
		ReportLag:       command.ReportLag,
		EventLag:        command.EventLag,
		EventGap:        command.EventGap,
		ChecksFencing:   command.ChecksFencing,
	}
	if len(command.VMs) == 1 {
		config.Incarnation = command.Incarnation
		config.Die = func() { os.Exit(engineDiedExitCode) }
	}
	record, err := command.openRecord(name)
	if err != nil {
		return nil, err
	}
	if record != nil {
		config.Record = record
	}
	return engine.New(config), nil
}

func (command *engineCommand) openRecord(name string) (io.Writer, error) {
	if command.Record == "" {
		return nil, nil
	}
	return openRecord(filepath.Join(command.Record, name+".jsonl"))
}

type serviceCommand struct {
	Name     string        `long:"name" default:"bookings" description:"Name in receipts and the record"`
	Listen   string        `long:"listen" required:"true" description:"IP:port to serve"`
	Control  string        `long:"control" description:"IP:port for /control and /record that no fault closes"`
	Record   string        `long:"record" description:"Record file, which is appended to"`
	WorkTime time.Duration `long:"work-time" description:"How long a booking takes after it was recorded"`
}

// Execute runs the booking service until a signal arrives.
func (command *serviceCommand) Execute([]string) error {
	config := service.Config{Name: command.Name, WorkTime: command.WorkTime}
	record, err := openRecord(command.Record)
	if err != nil {
		return err
	}
	if record != nil {
		config.Record = record
	}
	standin := service.New(config)
	return serveOne("service", command.Listen, command.Control, standin, standin.Injector())
}

type balancerCommand struct {
	Listen   string        `long:"listen" required:"true" description:"IP:port to serve"`
	Nodes    []string      `long:"node" required:"true" description:"CALLERS=ADMIN addresses of one node; may be repeated"`
	Interval time.Duration `long:"interval" default:"100ms" description:"Time between health checks"`
}

// Execute runs the balancer until a signal arrives.
func (command *balancerCommand) Execute([]string) error {
	config := balancer.Config{Interval: command.Interval}
	for _, node := range command.Nodes {
		callers, admin, found := strings.Cut(node, "=")
		if !found {
			return errors.NotValidf("node %q without CALLERS=ADMIN", node)
		}
		config.Nodes = append(config.Nodes, balancer.Node{Callers: callers, Admin: admin})
	}
	listener, err := net.Listen("tcp", command.Listen)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", command.Listen)
	}
	ctx, stop := signalContext()
	defer stop()
	announce("balancer", []endpoint{{"", listener, nil}})
	return balancer.New(config).Serve(ctx, listener)
}
