package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// A node is a process of the system with the settings of a small deployment, as the deploy
// file and its template render them.
type node struct {
	name    string
	callers string
	ready   string
	process *exec.Cmd
	log     *os.File

	// store is the node's path to the store, and source the address at which the store sees it.
	store  *proxy
	source string
}

const settingsTemplate = `[node]
name           = %s
failure-domain = %s
stop-notice    = 2500ms
processor-share = 0.4
bootstrap      = %s

[listen]
callers = %s
ready   = %s
peers   = %s
admin   = %s

[store]
addresses = %s
timeout   = 1s
protocol  = shared

[bounds]
revocation   = 5000ms
retry-ratio  = 0.2
retry-slack  = 130
retry-window = 10s
load-window  = 5s
drain        = 2000ms
`

// Ports of nodes lie below those that the system gives to outgoing connections, which could
// take them before the node listens.
const (
	firstPort = 10000
	lastPort  = 30000
)

func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range 100 * count {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer listener.Close()
		if addresses = append(addresses, address); len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, errors.New("no free ports")
}

// addressesOfNode are those for callers, the health check, other nodes and operators.
const addressesOfNode = 4

func startNode(folder, name, zone, store, source string, addresses []string) (*node, error) {
	path, err := startProxy(store, source)
	if err != nil {
		return nil, err
	}
	started := &node{name: name, callers: addresses[0], ready: addresses[1], store: path, source: source}
	settings := filepath.Join(folder, name+".ini")
	text := fmt.Sprintf(settingsTemplate, name, zone, "yes", addresses[0], addresses[1], addresses[2], addresses[3], path.address())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if started.log, err = os.Create(filepath.Join(folder, name+".log")); err != nil {
		return nil, err
	}
	started.process = exec.Command("target/lacewingspoke", "node")
	started.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "LACEWINGSPOKE_NODE_FILE=" + settings,
		"LACEWINGSPOKE_STOP_GRACE=8s", "LACEWINGSPOKE_MEMORY=284MiB", "LACEWINGSPOKE_DESCRIPTORS=4200",
		"LACEWINGSPOKE_EVACUATION=ms", "LACEWINGSPOKE_COLD_OVERAGE=", "LACEWINGSPOKE_FOLLOW_DEMAND=true"}
	started.process.Stdout, started.process.Stderr = started.log, started.log
	return started, started.process.Start()
}

func (node *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + node.ready + "/ready")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// lastLine returns the end of the node's log.
func (node *node) lastLine() string {
	text, _ := os.ReadFile(node.log.Name())
	return string(text[max(0, len(text)-400):])
}

// end stops the process and waits for its end.
func (node *node) end() {
	_ = node.process.Process.Signal(syscall.SIGKILL)
	_ = node.process.Wait()
	node.log.Close()
}
