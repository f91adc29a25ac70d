package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"lacewingspoke.org/lacewingspoke/operator"
)

// Guards against a node that SIGHUP ends because it starts: the platform sends that signal
// when the settings file has changed.
func TestReloadSignalDoesNotEndStartingNode(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	require.NoError(t, unix.Mkfifo(path, 0o600))
	command := exec.Command("lacewingspoke", "node", "--settings", path)
	require.NoError(t, command.Start())
	t.Cleanup(func() { _ = command.Process.Kill() })
	// The file can be opened when the node reads it.
	var settings *os.File
	require.Eventually(t, func() bool {
		opened, err := os.OpenFile(path, os.O_WRONLY|unix.O_NONBLOCK, 0)
		settings = opened
		return err == nil
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, command.Process.Signal(syscall.SIGHUP))
	require.NoError(t, settings.Close())
	var exit *exec.ExitError
	require.True(t, errors.As(command.Wait(), &exit))
	require.Equal(t, int(operator.ExitRejected), exit.ExitCode(), "exit of a node whose settings are empty: %v", exit)
}
