// Package settings reads the INI settings file of one node.
//
// The file holds what differs between nodes and cannot come from the store,
// because it is needed before the store is reached:
//
//	[node]
//	name           = constanta-port-1    # required, unique in the fleet
//	failure-domain = constanta-port      # required
//	stop-notice    = 3s                  # listener stays open after SIGTERM
//	bootstrap      = no                  # the whole system starts for the first time
//
//	[listen]
//	callers = 127.0.0.1:8080             # required
//	peers   = 127.0.0.1:8081             # required
//	admin   = 127.0.0.1:8082             # required
//	ready   = 127.0.0.1:8083             # health check alone, may be absent
//
//	[store]
//	addresses = 127.0.0.1:7000           # required, comma-separated
//	timeout   = 2s                       # one store call
//	protocol  = native                   # or shared: the platform's own store
//
//	[peers]
//	seeds = 127.0.0.1:8181               # comma-separated, may be absent
//
//	[limits]
//	max-body      = 1MiB                 # request body
//	max-header    = 64KiB                # request header
//	max-answer    = 16MiB                # answer that is held as a whole
//	max-in-flight = 4096                 # requests in progress at this node
//	max-queue     = 1024                 # requests that wait at this node
//
//	[bounds]                             # of a platform with a shared store
//	revocation   = 5s                    # a key taken away passes no longer
//	retry-ratio  = 0.2                   # retries for each request, all nodes
//	retry-slack  = 130                   # retries beside them, all nodes
//	retry-window = 10s                   # span in which retries are bounded
//	load-window  = 5s                    # span in which loads are bounded
//	nodes        = 6                     # nodes that share the retries at least
//
// The values shown for keys that are not required are the defaults, except
// for seeds and ready. Addresses are IP:port. Unknown sections and keys are faults.
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

// maxRequests only catches slips of the keyboard.
const maxRequests = 1_000_000

// A Problem is one fault with its place. It prints as
// file:line: key: problem.
type Problem = inifile.Problem

// Settings is the content of one settings file. It is immutable.
type Settings struct {
	name           string
	failureDomain  string
	stopNotice     time.Duration
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
	retrySlack     int
	retryWindow    time.Duration
	loadWindow     time.Duration
	nodes          int

	// values holds the text of every key, with defaults.
	values map[fieldID]string
}

// Differences returns the keys, as section.key, whose values differ in other.
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
	// ProtocolNative is that of the stand-ins.
	ProtocolNative = "native"

	// ProtocolShared is that of the platform, whose store targets and operators
	// write to as well.
	ProtocolShared = "shared"
)

// Bootstrap reports whether the whole system starts for the first time.
func (settings *Settings) Bootstrap() bool { return settings.bootstrap }

// ReadyAddress returns the IP:port of the health check, empty for none.
func (settings *Settings) ReadyAddress() string { return settings.readyAddress }

// StoreProtocol returns ProtocolNative or ProtocolShared.
func (settings *Settings) StoreProtocol() string { return settings.storeProtocol }

// Revocation returns the time after which a key that was taken away must not
// pass.
func (settings *Settings) Revocation() time.Duration { return settings.revocation }

// RetryRatio returns the retries for each request over all nodes.
func (settings *Settings) RetryRatio() float64 { return settings.retryRatio }

// RetrySlack returns the retries beside RetryRatio over all nodes.
func (settings *Settings) RetrySlack() int { return settings.retrySlack }

// RetryWindow returns the span in which retries are bounded.
func (settings *Settings) RetryWindow() time.Duration { return settings.retryWindow }

// LoadWindow returns the span in which loads of weights are bounded.
func (settings *Settings) LoadWindow() time.Duration { return settings.loadWindow }

// Nodes returns the number of nodes that share the retries at least.
func (settings *Settings) Nodes() int { return settings.nodes }

// Name returns the node's name, which is unique in the fleet.
func (settings *Settings) Name() string { return settings.name }

// FailureDomain returns the failure domain that the node runs in.
func (settings *Settings) FailureDomain() string { return settings.failureDomain }

// StopNotice returns how long the listener stays open after SIGTERM.
func (settings *Settings) StopNotice() time.Duration { return settings.stopNotice }

// CallersAddress returns the IP:port for callers.
func (settings *Settings) CallersAddress() string { return settings.callersAddress }

// PeersAddress returns the IP:port for links from other nodes.
func (settings *Settings) PeersAddress() string { return settings.peersAddress }

// AdminAddress returns the IP:port for operators.
func (settings *Settings) AdminAddress() string { return settings.adminAddress }

// StoreAddresses returns the IP:port of each store endpoint.
func (settings *Settings) StoreAddresses() []string { return settings.storeAddresses }

// StoreTimeout returns the bound of one store call.
func (settings *Settings) StoreTimeout() time.Duration { return settings.storeTimeout }

// Seeds returns the peer addresses to link to before the store has been read.
func (settings *Settings) Seeds() []string { return settings.seeds }

// MaxBody returns the largest request body in bytes.
func (settings *Settings) MaxBody() int64 { return settings.maxBody }

// MaxHeader returns the largest request header in bytes.
func (settings *Settings) MaxHeader() int64 { return settings.maxHeader }

// MaxAnswer returns the largest answer in bytes that is held as a whole.
func (settings *Settings) MaxAnswer() int64 { return settings.maxAnswer }

// MaxInFlight returns the number of requests in progress at this node.
func (settings *Settings) MaxInFlight() int { return settings.maxInFlight }

// MaxQueue returns the number of requests that wait at this node.
func (settings *Settings) MaxQueue() int { return settings.maxQueue }

// Load reads the settings file at the path. A file that cannot be read is a
// problem at line 1.
func Load(path string) (*Settings, []Problem) {
	data, err := readLimited(path)
	if err != nil {
		return nil, []Problem{inifile.NewProblem(path, 1, "file", err.Error())}
	}
	return Parse(filepath.Base(path), data)
}

func readLimited(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if info.Size() > inifile.MaxFileBytes {
		return nil, errors.QuotaLimitExceededf("file of %d bytes", info.Size())
	}
	data, err := os.ReadFile(path)
	return data, errors.Trace(err)
}

// Parse reads the content of a settings file. Name is the file's name in
// problems. The settings are nil when there are problems.
func Parse(name string, data []byte) (*Settings, []Problem) {
	document, problems := inifile.Parse(name, data)
	parser := &parser{name: name, settings: &Settings{values: map[fieldID]string{}}, problems: problems, lines: map[fieldID]int{}}
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

func (parser *parser) addDefaults() {
	for _, field := range fields {
		if _, found := parser.lines[field.id]; found {
			continue
		}
		if field.required {
			parser.report(1, field.id.key, fmt.Sprintf("missing in [%s]", field.id.section))
			continue
		}
		if field.fallback == "" {
			continue
		}
		if err := field.set(parser.settings, field.fallback); err != nil {
			parser.report(1, field.id.key, errors.Cause(err).Error())
		}
	}
}

// checkAddresses reports listeners that cannot be open at the same time.
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
