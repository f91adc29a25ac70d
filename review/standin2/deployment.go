package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// startTime bounds the time until all nodes are ready.
const startTime = 20 * time.Second

var zones = []string{"constanta-port", "mamaia-north", "eforie-south"}

// A deployment is a small deployment of six nodes.
type deployment struct {
	store   *store
	address string
	runners []*runner
	engines []*engine
	nodes   []*node
	folder  string

	// starting is held while a node is started and while all are ended.
	starting sync.Mutex

	mutex    sync.Mutex
	arrivals []arrival
	bookings []booking
}

var (
	bookingRoute = fields{"name": "book", "host": "planks.example", "prefix": "/book/", "kind": "non_idempotent", "timeoutMs": 2500,
		"targetLatencyMs": 150, "priority": 1, "service": "ledger", "maxAttempts": 2, "public": false}
	streamRoute = fields{"name": "draft", "host": "planks.example", "prefix": "/draft/", "kind": "streaming", "timeoutMs": 8000,
		"targetLatencyMs": 300, "priority": 1, "service": "scribe", "maxAttempts": 2, "public": false, "sessionAffinity": true,
		"streamResume": true, "gapAimMs": 300}
	plainService  = fields{"name": "ledger", "healthCheck": "/health", "maxConnections": 96, "protocol": "h1", "tls": false}
	engineService = fields{"name": "scribe", "healthCheck": "/health", "maxConnections": 464, "protocol": "h1", "tls": false, "engine": fields{
		"slots": 26, "kvCapacity": 1590000, "stride": 7, "models": []fields{{"name": engineModel, "size": 2, "share": 1.0, "pace": 1.0,
			"loadS": loadTime.Seconds(), "warmS": warmTime.Seconds()}},
		"step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700.0, "pairs_per_m": 0.368, "chunk": 2048,
		"report_lag_ms": 200.0, "loadsPerS": 4.5, "loads_at_once": 6, "delays": []fields{}, "usual": fields{"prompt": 400, "answer": 21},
		"keeps": 1, "far_x": 3.0, "formMs": float64(formTime.Milliseconds())}}
)

func newDeployment() (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &deployment{store: newStore(), folder: folder, address: listener.Addr().String()}
	go created.store.serve(listener)
	go created.store.expire()
	go created.endAtSignal()
	return created, nil
}

// endAtSignal ends the nodes and the program when it is told to end.
func (deployment *deployment) endAtSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	<-told
	deployment.end()
	fmt.Fprintln(os.Stderr, "not run: told to end")
	os.Exit(exitNotRun)
}

// configure writes the configuration as the operator does.
func (deployment *deployment) configure(route, service fields) {
	deployment.store.set("op/config", fields{
		"version":  7,
		"routes":   []fields{route},
		"services": []fields{service},
		"limits":   fields{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []fields{{"name": "tenant-1", "apiKeys": []string{"key-of-tenant-1"}, "priority": 1}},
	})
}

// startNodes starts six nodes, each with its own path to the store, and waits until they are
// ready.
func (deployment *deployment) startNodes(notes *record) error {
	count := 2 * len(zones)
	addresses, err := freeAddresses(addressesOfNode * count)
	if err != nil {
		return err
	}
	for index := range count {
		zone := zones[index%len(zones)]
		deployment.starting.Lock()
		node, err := startNode(deployment.folder, fmt.Sprintf("edge-%s-%d", zone, index/len(zones)+1), zone, deployment.address, fmt.Sprintf("127.0.0.%d", 11+index),
			addresses[addressesOfNode*index:addressesOfNode*(index+1)])
		if err == nil {
			deployment.nodes = append(deployment.nodes, node)
		}
		deployment.starting.Unlock()
		if err != nil {
			return err
		}
		notes.line(time.Now(), "node %s started as process %d", node.name, node.process.Process.Pid)
	}
	for began := time.Now(); time.Since(began) < startTime; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, node := range deployment.nodes {
			if node.isReady() {
				ready++
			}
		}
		if ready == len(deployment.nodes) {
			return nil
		}
	}
	for _, node := range deployment.nodes {
		if !node.isReady() {
			fmt.Println(node.name, "is not ready:", node.lastLine())
		}
	}
	return errors.New("the nodes did not become ready")
}

func (deployment *deployment) arrived(arrived arrival) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.arrivals = append(deployment.arrivals, arrived)
}

func (deployment *deployment) ended(ended booking) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.bookings = append(deployment.bookings, ended)
}

func (deployment *deployment) end() {
	deployment.starting.Lock()
	defer deployment.starting.Unlock()
	for _, node := range deployment.nodes {
		node.end()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployment.folder)
	} else {
		fmt.Println("logs are in", deployment.folder)
	}
}
