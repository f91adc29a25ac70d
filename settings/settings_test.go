package settings_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/settings"
)

// minimal is a settings file that contains only the required keys.
const minimal = `
[node]
name = port-1
failure-domain = constanta-port
[listen]
callers = 127.0.0.1:8080
peers = 127.0.0.1:8081
admin = 127.0.0.1:0
[store]
addresses = 127.0.0.1:7000, 127.0.0.1:7001
`

// TestLoadDefaults guards against an absent key that leaves a limit at 0 instead of
// its default value.
func TestLoadDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	require.NoError(t, os.WriteFile(path, []byte(minimal), 0o600))
	loaded, problems := settings.Load(path)
	require.Empty(t, problems)
	assert.Equal(t, "port-1", loaded.Name())
	assert.Equal(t, []string{"127.0.0.1:7000", "127.0.0.1:7001"}, loaded.StoreAddresses())
	assert.Equal(t, 3*time.Second, loaded.StopNotice())
	assert.Zero(t, loaded.StopGrace())
	assert.Equal(t, 1.0, loaded.ProcessorShare())
	assert.Equal(t, 2*time.Second, loaded.StoreTimeout())
	assert.Empty(t, loaded.Seeds())
	assert.Equal(t, int64(1<<20), loaded.MaxBody())
	assert.Equal(t, int64(64<<10), loaded.MaxHeader())
	assert.Equal(t, int64(16<<20), loaded.MaxAnswer())
	assert.Equal(t, 4096, loaded.MaxInFlight())
	assert.Equal(t, 1024, loaded.MaxQueue())

	_, problems = settings.Load(path + ".missing")
	assert.Len(t, problems, 1)
}

// TestParseReportsAllProblems guards against a problem that prevents another one
// from being reported.
func TestParseReportsAllProblems(t *testing.T) {
	parsed, problems := settings.Parse("node.ini", []byte(`[node]
name = Port 1
stop-notice = 3
colour = red
[listen]
callers = localhost:8080
peers = 127.0.0.1:8081
admin = 127.0.0.1:8081
[store]
timeout = 0s
[peers]
seeds = 0.0.0.0:1
[limits]
max-body = 0B
max-queue = -1
[policy]
`))
	assert.Nil(t, parsed)
	var lines []string
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	assert.Equal(t, []string{
		`node.ini:2: name: name "Port 1" (want lower-case letters, digits and hyphens, at most 63) not valid`,
		`node.ini:3: stop-notice: duration "3" (want for example 250ms, 3s or 24h) not valid`,
		`node.ini:4: colour: unknown key of [node]`,
		`node.ini:6: callers: address "localhost:8080" (want IP:port; host names are not accepted) not valid`,
		`node.ini:10: timeout: duration "0s" (want at least 1ms) not valid`,
		`node.ini:12: seeds: address "0.0.0.0:1" (want the IP and port of one VM) not valid`,
		`node.ini:14: max-body: byte count "0B" (want more than 0) not valid`,
		`node.ini:15: max-queue: number "-1" (want a whole number from 0 to 1000000) not valid`,
		`node.ini:16: [policy]: unknown section`,
		`node.ini:1: failure-domain: missing in [node]`,
		`node.ini:1: addresses: missing in [store]`,
		`node.ini:8: admin: same address as peers`,
	}, lines)
}

// TestBoundsMayBeDecimals guards against a node that does not start because the
// platform fills in a bound that is not a whole number.
func TestBoundsMayBeDecimals(t *testing.T) {
	parsed, problems := settings.Parse("node.ini", []byte(minimal+`[bounds]
revocation   = 2500.5ms
retry-ratio  = 0.05
retry-slack  = 36.63157894736842
retry-window = 7.5s
load-window  = 2.5s
drain        = 1500.25ms
`))
	require.Empty(t, problems)
	assert.Equal(t, 2500*time.Millisecond+500*time.Microsecond, parsed.RevocationBound())
	assert.Equal(t, 0.05, parsed.RetryRatio())
	assert.Equal(t, 36.63157894736842, parsed.RetrySlack())
	assert.Equal(t, 7500*time.Millisecond, parsed.RetryWindow())
	assert.Equal(t, 2500*time.Millisecond, parsed.LoadWindow())
	assert.Equal(t, 1500*time.Millisecond+250*time.Microsecond, parsed.DrainBound())
}

// TestParseRejectsInvalidBounds guards against a bound without effect, such as NaN,
// which no number of retries exceeds.
func TestParseRejectsInvalidBounds(t *testing.T) {
	for line, want := range map[string]string{
		"retry-slack = -0.5":     `retry-slack: number "-0.5" (want 0 to 1000000) not valid`,
		"retry-slack = NaN":      `retry-slack: number "NaN" (want 0 to 1000000) not valid`,
		"retry-slack = Inf":      `retry-slack: number "Inf" (want 0 to 1000000) not valid`,
		"retry-slack = 1e7":      `retry-slack: number "1e7" (want 0 to 1000000) not valid`,
		"retry-slack =":          `retry-slack: number "" (want 0 to 1000000) not valid`,
		"retry-ratio = NaN":      `retry-ratio: number "NaN" (want 0 to 100) not valid`,
		"retry-window = 0.5s":    `retry-window: duration "0.5s" (want at least 1s) not valid`,
		"revocation = 999.999ms": `revocation: duration "999.999ms" (want at least 1s) not valid`,
	} {
		parsed, problems := settings.Parse("node.ini", []byte(minimal+"[bounds]\n"+line+"\n"))
		assert.Nil(t, parsed, line)
		require.Len(t, problems, 1, line)
		assert.Equal(t, "node.ini:12: "+want, problems[0].String())
	}
}

// Guards against a node that does not start, or evacuates nothing, because of how a platform
// renders bounds that a deployment has or does not have.
func TestBoundsOfOptions(test *testing.T) {
	for value, want := range map[string]time.Duration{"": 0, "ms": 0, "5000ms": 5 * time.Second} {
		loaded := &settings.Settings{}
		require.NoError(test, loaded.SetEvacuation(value))
		require.Equal(test, want, loaded.Evacuation())
	}
	for value, want := range map[string]float64{"": 0, "1.5": 1.5} {
		loaded := &settings.Settings{}
		require.NoError(test, loaded.SetColdOverage(value))
		require.Equal(test, want, loaded.ColdOverage())
	}
	loaded := &settings.Settings{}
	require.ErrorIs(test, loaded.SetEvacuation("soon"), errors.NotValid)
	require.ErrorIs(test, loaded.SetColdOverage("NaN"), errors.NotValid)
}
