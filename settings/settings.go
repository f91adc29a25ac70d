// Package settings reads the INI settings file of one node.
//
// The file contains the settings that differ between nodes and that cannot come
// from the store, because a node needs them before it reaches the store:
//
//	[node]
//	name           = constanta-port-1    # required, unique in the fleet
//	failure-domain = constanta-port      # required
//	stop-notice    = 3s                  # time that the listener stays open after SIGTERM
//	stop-grace     = 0s                  # time from SIGTERM until the platform ends the process; 0s for no limit
//	processor-share = 1                  # cores that the node may use; larger nodes lead first
//	memory         = 256MiB              # memory of the process
//	bootstrap      = no                  # yes when the whole system starts for the first time
//
//	[listen]
//	callers = 127.0.0.1:8080             # required
//	peers   = 127.0.0.1:8081             # required
//	admin   = 127.0.0.1:8082             # required
//	ready   = 127.0.0.1:8083             # serves only the health check, may be absent
//
//	[store]
//	addresses = 127.0.0.1:7000           # required, comma-separated
//	timeout   = 2s                       # time-out of one store call
//	protocol  = native                   # or shared: the platform's own store
//
//	[peers]
//	seeds = 127.0.0.1:8181               # comma-separated, may be absent
//
//	[limits]
//	max-body      = 1MiB                 # size of a request body
//	max-header    = 64KiB                # size of a request header
//	max-answer    = 16MiB                # size of a response that is buffered as a whole
//	max-in-flight = 4096                 # requests in progress at this node
//	max-queue     = 1024                 # requests queued at this node
//
//	[bounds]                             # used with protocol = shared
//	revocation   = 5s                    # time until a revoked key is refused
//	retry-ratio  = 0.2                   # retries per request, all nodes together
//	retry-slack  = 130                   # retries on top of that, all nodes together
//	retry-window = 10s                   # time window in which retries are counted
//	load-window  = 5s                    # time window in which loads of weights are counted
//	drain        = 2s                    # time for which a leaving target may still receive requests
//	announcement = 1200ms                # time between two announcements of a target
//	nodes        = 6                     # minimum number of nodes that share the retries
//
// The values shown for keys that are not required are the defaults, except for
// seeds and ready. Addresses are IP:port. An unknown section or key is a problem.
//
// # Usage
//
//	settings, problems := settings.Load(path)
//	if len(problems) > 0 {
//		for _, problem := range problems {
//			fmt.Fprintln(os.Stderr, problem)
//		}
//		return
//	}
//	listener, err := net.Listen("tcp", settings.CallersAddress())
package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/inifile"
)

// defaultDescriptors is the usual limit of a process.
const defaultDescriptors = 1024

// maxCount is an upper bound of counts that only catches typing errors.
const maxCount = 1_000_000

// A Problem describes one problem of a file with its position. Its string form is
// file:line: key: text.
type Problem = inifile.Problem

// Settings is the content of one settings file. It is immutable.
type Settings struct {
	name           string
	failureDomain  string
	stopNotice     time.Duration
	stopGrace      time.Duration
	processorShare float64
	memory         int64
	evacuation     time.Duration
	descriptors    int
	coldOverage    float64
	callersAddress string
	peersAddress   string
	adminAddress   string
	storeAddresses []string
	storeTimeout   time.Duration
	seeds          []string
	maxBody        int64
	maxHeader      int64
	maxAnswer      int64
	maxInFlight    int
	maxQueue       int
	bootstrap      bool
	readyAddress   string
	storeProtocol  string
	revocation     time.Duration
	retryRatio     float64
	retrySlack     float64
	retryWindow    time.Duration
	loadWindow     time.Duration
	drain          time.Duration
	announcement   time.Duration
	nodes          int

	// values maps the keys that the file sets to their text.
	values map[fieldID]string
}

// Differences returns the keys, as section.key, whose text differs between the two
// settings files.
func (settings *Settings) Differences(other *Settings) []string {
	var keys []string
	for _, field := range fields {
		if settings.values[field.id] != other.values[field.id] {
			keys = append(keys, field.id.section+"."+field.id.key)
		}
	}
	return keys
}

// The protocols of the store.
const (
	// ProtocolNative is the protocol of the stand-in store.
	ProtocolNative = "native"

	// ProtocolShared is the protocol of the platform's own store, to which
	// targets and operators write as well.
	ProtocolShared = "shared"
)

// Bootstrap reports whether the whole system starts for the first time.
func (settings *Settings) Bootstrap() bool { return settings.bootstrap }

// ReadyAddress returns the IP:port that serves only the health check, or "" for
// none.
func (settings *Settings) ReadyAddress() string { return settings.readyAddress }

// StoreProtocol returns ProtocolNative or ProtocolShared.
func (settings *Settings) StoreProtocol() string { return settings.storeProtocol }

// RevocationBound returns the time after which a revoked key must be refused.
func (settings *Settings) RevocationBound() time.Duration { return settings.revocation }

// RetryRatio returns the number of retries per request that all nodes together may
// make.
func (settings *Settings) RetryRatio() float64 { return settings.retryRatio }

// RetrySlack returns the number of retries that all nodes together may make in
// addition to those of RetryRatio.
func (settings *Settings) RetrySlack() float64 { return settings.retrySlack }

// RetryWindow returns the time window for which the bound on retries holds.
func (settings *Settings) RetryWindow() time.Duration { return settings.retryWindow }

// LoadWindow returns the time window for which the bound on loads of weights holds.
func (settings *Settings) LoadWindow() time.Duration { return settings.loadWindow }

// DrainBound returns the time for which a target that leaves may still receive
// requests.
func (settings *Settings) DrainBound() time.Duration { return settings.drain }

// Announcement returns the time between two announcements of a target.
func (settings *Settings) Announcement() time.Duration { return settings.announcement }

// MinNodes returns the minimum number of nodes among which the retries are shared.
func (settings *Settings) MinNodes() int { return settings.nodes }

// Name returns the node's name, which is unique in the fleet.
func (settings *Settings) Name() string { return settings.name }

// FailureDomain returns the failure domain that the node runs in.
func (settings *Settings) FailureDomain() string { return settings.failureDomain }

// Memory returns the memory of the process in bytes.
func (settings *Settings) Memory() int64 { return settings.memory }

// SetMemory replaces the memory of the process, for example 284MiB. It returns an
// errors.NotValid error for a malformed value.
func (settings *Settings) SetMemory(value string) error {
	return errors.Trace(setBytes(&settings.memory, value))
}

// Evacuation returns the time within which the evacuation of a failure domain has to take
// effect, 0 if failure domains are not evacuated.
func (settings *Settings) Evacuation() time.Duration { return settings.evacuation }

// SetEvacuation sets the time within which an evacuation has to take effect, for example
// 5000ms. Without a number, as deployments that have no such bound render it, failure
// domains are not evacuated. It returns an errors.NotValid error for a malformed value.
func (settings *Settings) SetEvacuation(value string) error {
	if value == "" || value == unsetMillis {
		return nil
	}
	return errors.Trace(setDuration(&settings.evacuation, value, 0))
}

// ColdOverage returns how many requests a cold target may get in a second at most, in units of
// the rate that it tolerates, 0 if that is not set.
func (settings *Settings) ColdOverage() float64 { return settings.coldOverage }

// SetColdOverage sets the number that ColdOverage returns, from 0 to maxRatio. An empty value,
// as deployments that have no such bound render it, changes nothing. It returns an
// errors.NotValid error for a malformed value.
func (settings *Settings) SetColdOverage(value string) error {
	if value == "" {
		return nil
	}
	return errors.Trace(setNumber(&settings.coldOverage, value, maxRatio))
}

// unsetMillis is a number of milliseconds that a template renders without its number.
const unsetMillis = "ms"

// Descriptors returns the number of file descriptors that the process may open,
// defaultDescriptors if it was not set.
func (settings *Settings) Descriptors() int { return settings.descriptors }

// SetDescriptors sets the number of file descriptors that the process may open. There is no key
// for it: the platform gives it to the process.
func (settings *Settings) SetDescriptors(count int) { settings.descriptors = count }

// ProcessorShare returns the number of cores that the node may use.
func (settings *Settings) ProcessorShare() float64 { return settings.processorShare }

// StopNotice returns how long the listener stays open after SIGTERM.
func (settings *Settings) StopNotice() time.Duration { return settings.stopNotice }

// StopGrace returns the time from SIGTERM until the platform ends the process, 0 if it does
// not.
func (settings *Settings) StopGrace() time.Duration { return settings.stopGrace }

// CallersAddress returns the IP:port that accepts requests of callers.
func (settings *Settings) CallersAddress() string { return settings.callersAddress }

// PeersAddress returns the IP:port that accepts connections from other nodes.
func (settings *Settings) PeersAddress() string { return settings.peersAddress }

// AdminAddress returns the IP:port of the admin interface for operators.
func (settings *Settings) AdminAddress() string { return settings.adminAddress }

// StoreAddresses returns the IP:port addresses of the store.
func (settings *Settings) StoreAddresses() []string { return settings.storeAddresses }

// StoreTimeout returns the time-out of one store call.
func (settings *Settings) StoreTimeout() time.Duration { return settings.storeTimeout }

// Seeds returns the addresses of peers to connect to before the store has been
// read.
func (settings *Settings) Seeds() []string { return settings.seeds }

// MaxBody returns the maximum size of a request body in bytes.
func (settings *Settings) MaxBody() int64 { return settings.maxBody }

// MaxHeader returns the maximum size of a request header in bytes.
func (settings *Settings) MaxHeader() int64 { return settings.maxHeader }

// MaxAnswer returns the maximum size in bytes of a response that is buffered as a
// whole.
func (settings *Settings) MaxAnswer() int64 { return settings.maxAnswer }

// MaxInFlight returns the maximum number of requests in progress at this node.
func (settings *Settings) MaxInFlight() int { return settings.maxInFlight }

// MaxQueue returns the maximum number of requests queued at this node.
func (settings *Settings) MaxQueue() int { return settings.maxQueue }

// Load reads the settings file at the path. If the file cannot be read, it returns
// one problem at line 1.
func Load(path string) (*Settings, []Problem) {
	data, err := readLimited(path)
	if err != nil {
		return nil, []Problem{inifile.NewProblem(path, 1, "file", err.Error())}
	}
	return Parse(filepath.Base(path), data)
}

// readLimited reads a file of at most inifile.MaxFileBytes.
func readLimited(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if info.Size() > inifile.MaxFileBytes {
		return nil, errors.QuotaLimitExceededf("file of %d bytes is over the size limit", info.Size())
	}
	data, err := os.ReadFile(path)
	return data, errors.Trace(err)
}

// Parse parses the content of a settings file. The problems contain name as the
// name of the file. The settings are nil when there are problems.
func Parse(name string, data []byte) (*Settings, []Problem) {
	document, problems := inifile.Parse(name, data)
	parser := &parser{name: name, settings: &Settings{descriptors: defaultDescriptors, values: map[fieldID]string{}}, problems: problems, lines: map[fieldID]int{}}
	for _, section := range document.Sections() {
		parser.addSection(section)
	}
	parser.addDefaults()
	parser.checkAddresses()
	if len(parser.problems) > 0 {
		return nil, parser.problems
	}
	return parser.settings, nil
}

// parser collects the settings and the problems of one file.
type parser struct {
	name     string
	settings *Settings
	problems []Problem

	// lines maps the keys that the file sets to their lines.
	lines map[fieldID]int
}

func (parser *parser) report(line int, key, text string) {
	parser.problems = append(parser.problems, inifile.NewProblem(parser.name, line, key, text))
}

func (parser *parser) addSection(section inifile.Section) {
	if section.Erase() || section.Name() != "" || !knownSection(section.Kind()) {
		parser.report(section.Line(), section.Header(), "unknown section")
		return
	}
	for _, entry := range section.Entries() {
		parser.addEntry(section, entry)
	}
}

func (parser *parser) addEntry(section inifile.Section, entry inifile.Entry) {
	id := fieldID{section: section.Kind(), key: entry.Key()}
	field, found := findField(id)
	if !found {
		parser.report(entry.Line(), entry.Key(), "unknown key of "+section.Header())
		return
	}
	parser.lines[id] = entry.Line()
	parser.settings.values[id] = entry.Value()
	if err := field.set(parser.settings, entry.Value()); err != nil {
		parser.report(entry.Line(), entry.Key(), errors.Cause(err).Error())
	}
}

// addDefaults sets the default values of absent keys and reports absent keys that
// are required.
func (parser *parser) addDefaults() {
	for _, field := range fields {
		if _, found := parser.lines[field.id]; found {
			continue
		}
		if field.required {
			parser.report(1, field.id.key, fmt.Sprintf("missing in [%s]", field.id.section))
			continue
		}
		if field.defaultValue == "" {
			continue
		}
		if err := field.set(parser.settings, field.defaultValue); err != nil {
			parser.report(1, field.id.key, errors.Cause(err).Error())
		}
	}
}

// checkAddresses reports listeners with the same address, of which only one could
// be opened.
func (parser *parser) checkAddresses() {
	seen := map[string]string{}
	for _, listener := range parser.settings.listeners() {
		other, found := seen[listener.address]
		if found && listener.address != "" && !isAnyPort(listener.address) {
			line := parser.lines[fieldID{section: sectionListen, key: listener.key}]
			parser.report(line, listener.key, fmt.Sprintf("same address as %s", other))
		}
		seen[listener.address] = listener.key
	}
}
