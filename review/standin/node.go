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
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	programPath  = "target/lacewingspoke"
	templatePath = "deploy/node.ini.tmpl"
	graceSeconds = "8"

	// startTime is the longest time until a started process listens.
	startTime = 5 * time.Second
)

// A node is a process of the system.
type node struct {
	name, zone      string
	callers, ready  string
	folder, setting string
	record          *record

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// The ports of nodes lie below those that the system gives to outgoing connections.
const (
	firstPort = 12000
	portCount = 18000
)

// freeAddress returns a loopback address without a listener.
func freeAddress() (string, error) {
	for range 100 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String(), nil
		}
	}
	return "", errors.New("no free port")
}

var (
	sectionPattern = regexp.MustCompile(`\{\{([#^])([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	fieldPattern   = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)\}\}`)
)

// fillIn fills the template of the deploy file in, as the platform does.
func fillIn(template string, fields map[string]string) string {
	filled := sectionPattern.ReplaceAllStringFunc(template, func(found string) string {
		parts := sectionPattern.FindStringSubmatch(found)
		if (parts[1] == "#") == (fields[parts[2]] == "true") {
			return parts[3]
		}
		return ""
	})
	return fieldPattern.ReplaceAllStringFunc(filled, func(found string) string {
		return fields[strings.Trim(found, "{}")]
	})
}

// newNode prepares a node of a small deployment.
func newNode(record *record, folder, name, zone, storeAddress string) (*node, error) {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	var addresses [4]string
	for index := range addresses {
		if addresses[index], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	portOf := func(address string) string { return address[strings.LastIndex(address, ":")+1:] }
	fields := map[string]string{
		"nodeName": name, "zone": zone, "ip": "127.0.0.1", "bootstrap": "true",
		"internalPorts.0": portOf(addresses[2]), "internalPorts.1": portOf(addresses[3]),
		"listen.frontend": addresses[0], "listen.ready": addresses[1], "limits.cpuShare": "0.4",
		"bounds.revokeMs": "5000", "bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "130", "bounds.budgetWindowS": "10",
		"bounds.ceilingWindowS": "5", "bounds.drainMs": "2000", "platform.address": storeAddress,
	}
	prepared := &node{name: name, zone: zone, callers: addresses[0], ready: addresses[1], folder: folder, record: record}
	prepared.setting = filepath.Join(folder, name+".ini")
	return prepared, os.WriteFile(prepared.setting, []byte(fillIn(string(template), fields)), 0o600)
}

// start starts the process with the command of the deploy file.
func (node *node) start() error {
	log, err := os.OpenFile(filepath.Join(node.folder, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(programPath, "node")
	process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"LACEWINGSPOKE_NODE_FILE=" + node.setting, "LACEWINGSPOKE_STOP_GRACE=" + graceSeconds + "s",
	}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	node.mutex.Lock()
	node.process, node.ended = process, ended
	node.mutex.Unlock()
	node.record.note("node %s starts as process %d", node.name, process.Process.Pid)
	go func() {
		err := process.Wait()
		node.record.note("node %s, process %d, has ended: %v", node.name, process.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// pid returns the id of the process.
func (node *node) pid() int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.process.Process.Pid
}

// kill ends the process at once and waits for its end.
func (node *node) kill() {
	node.mutex.Lock()
	process, ended := node.process, node.ended
	node.mutex.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGKILL)
	<-ended
}

// awaitListening waits until the process answers health checks. It returns false if the process
// ends before.
func (node *node) awaitListening() bool {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); {
		select {
		case <-node.ended:
			return false
		case <-time.After(100 * time.Millisecond):
		}
		response, err := client.Get("http://" + node.ready + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		// A process whose port is taken has ended by now.
		select {
		case <-node.ended:
			return false
		case <-time.After(200 * time.Millisecond):
			return true
		}
	}
	return false
}

func (node *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + node.ready + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func await(limit time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, limit)
}
