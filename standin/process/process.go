// Package process runs programs for tests and measurements, with their output in
// a log file.
//
// # Usage
//
//	started, err := process.Start(dir, "node-1", "bin/lacewingspoke", "node", "--settings", path)
//	line, err := started.AwaitLine(ctx, "started")
//	...
//	started.Kill()
package process

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// A Process is one running program. Signals are sent through its handle only, so
// that no other process is affected.
type Process struct {
	name    string
	command *exec.Cmd
	logPath string

	// ended is closed when the program has ended. failure is set before that.
	ended   chan struct{}
	failure error

	mu         sync.Mutex
	lines      []string
	linesAdded chan struct{}
}

// Start starts the program arguments[0] with the remaining arguments. Its
// standard output and error are written to the log file name.log in dir.
func Start(dir, name string, arguments ...string) (*Process, error) {
	started := &Process{
		name:       name,
		command:    exec.Command(arguments[0], arguments[1:]...),
		logPath:    filepath.Join(dir, name+".log"),
		ended:      make(chan struct{}),
		linesAdded: make(chan struct{}),
	}
	log, err := os.Create(started.logPath)
	if err != nil {
		return nil, errors.Trace(err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, errors.Trace(err)
	}
	started.command.Stdout = writer
	started.command.Stderr = writer
	err = started.command.Start()
	writer.Close()
	if err != nil {
		return nil, errors.Annotatef(err, "start %s", name)
	}
	go started.watch(reader, log)
	return started, nil
}

// watch copies the output to the log file until the program ends.
func (process *Process) watch(output io.ReadCloser, log io.WriteCloser) {
	defer log.Close()
	defer output.Close()
	scanner := bufio.NewScanner(io.TeeReader(output, log))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		process.mu.Lock()
		process.lines = append(process.lines, scanner.Text())
		close(process.linesAdded)
		process.linesAdded = make(chan struct{})
		process.mu.Unlock()
	}
	process.failure = process.command.Wait()
	close(process.ended)
}

// AwaitLine waits for a line of output that contains the text and returns the
// first such line. It fails if the program or ctx ends first.
func (process *Process) AwaitLine(ctx context.Context, text string) (string, error) {
	next := 0
	for {
		process.mu.Lock()
		newLines := process.lines[next:]
		linesAdded := process.linesAdded
		process.mu.Unlock()
		for _, line := range newLines {
			if strings.Contains(line, text) {
				return line, nil
			}
		}
		next += len(newLines)
		select {
		case <-linesAdded:
		case <-process.ended:
			return "", errors.Errorf("%s ended before it printed %q: %v", process.name, text, process.failure)
		case <-ctx.Done():
			return "", errors.Annotatef(ctx.Err(), "%s did not print %q", process.name, text)
		}
	}
}

// Name returns the name that the process was started with.
func (process *Process) Name() string { return process.name }

// Ended returns a channel that is closed when the program has ended.
func (process *Process) Ended() <-chan struct{} { return process.ended }

// Failure returns the error with which the program ended, nil for exit code 0.
// It must only be called after the channel Ended is closed.
func (process *Process) Failure() error { return process.failure }

// ID returns the process id.
func (process *Process) ID() int { return process.command.Process.Pid }

// Signal sends a signal to the program.
func (process *Process) Signal(signal syscall.Signal) error {
	return errors.Trace(process.command.Process.Signal(signal))
}

// Kill ends the program with SIGKILL and waits for its end.
func (process *Process) Kill() {
	// Kill fails only if the program has already ended.
	_ = process.command.Process.Kill()
	<-process.ended
}

// Tail returns the last count lines of output.
func (process *Process) Tail(count int) string {
	process.mu.Lock()
	defer process.mu.Unlock()
	first := max(0, len(process.lines)-count)
	return strings.Join(process.lines[first:], "\n")
}

// The range of ports for programs that cannot listen on a port chosen by the
// kernel and report it. It is below the range from which the kernel takes the
// ports of outgoing connections, so that no connection occupies such a port.
// portStep separates the first ports of processes with successive ids.
const (
	firstPort = 20000
	portCount = 12000
	portStep  = 97
)

var ports = struct {
	sync.Mutex
	next int
}{next: os.Getpid() * portStep}

// FreeAddress returns a loopback address whose port is not in use.
func FreeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range portCount {
		ports.next++
		address := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: firstPort + ports.next%portCount}
		if free, found := Unused(address.String()); found {
			return free, nil
		}
	}
	return "", errors.Errorf("find free port: all ports of the range are in use")
}

// Unused returns an address that is not in use, with a port that the system chooses if that
// of the given address is 0. It returns false if the address is in use.
func Unused(address string) (string, bool) {
	// A process that is forked in between has the listener until it runs its program.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", false
	}
	defer listener.Close()
	return listener.Addr().String(), true
}
