package settings

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/inifile"
)

// The sections of the settings file.
const (
	sectionNode   = "node"
	sectionListen = "listen"
	sectionStore  = "store"
	sectionPeers  = "peers"
	sectionLimits = "limits"
	sectionBounds = "bounds"
)

// fieldID identifies a key by its section and name.
type fieldID struct {
	section string
	key     string
}

// field describes one key of the settings file.
type field struct {
	id       fieldID
	required bool

	// defaultValue is the default, empty for a key that may be absent.
	defaultValue string

	// set parses the value and sets it in the settings.
	set func(settings *Settings, value string) error
}

var fields = []field{
	{
		id:       fieldID{sectionNode, "name"},
		required: true,
		set:      func(settings *Settings, value string) error { return setName(&settings.name, value) },
	},
	{
		id:       fieldID{sectionNode, "failure-domain"},
		required: true,
		set:      func(settings *Settings, value string) error { return setName(&settings.failureDomain, value) },
	},
	{
		id:           fieldID{sectionNode, "stop-notice"},
		defaultValue: "3s",
		set:          func(settings *Settings, value string) error { return setDuration(&settings.stopNotice, value, 0) },
	},
	{
		id:           fieldID{sectionNode, "stop-grace"},
		defaultValue: "0s",
		set:          func(settings *Settings, value string) error { return setDuration(&settings.stopGrace, value, 0) },
	},
	{
		id:           fieldID{sectionNode, "processor-share"},
		defaultValue: "1",
		set: func(settings *Settings, value string) error {
			return setNumber(&settings.processorShare, value, maxProcessors)
		},
	},
	{
		id:           fieldID{sectionNode, "memory"},
		defaultValue: "256MiB",
		set:          func(settings *Settings, value string) error { return setBytes(&settings.memory, value) },
	},
	{
		id:       fieldID{sectionListen, "callers"},
		required: true,
		set:      func(settings *Settings, value string) error { return setListener(&settings.callersAddress, value) },
	},
	{
		id:       fieldID{sectionListen, "peers"},
		required: true,
		set:      func(settings *Settings, value string) error { return setListener(&settings.peersAddress, value) },
	},
	{
		id:       fieldID{sectionListen, "admin"},
		required: true,
		set:      func(settings *Settings, value string) error { return setListener(&settings.adminAddress, value) },
	},
	{
		id:       fieldID{sectionStore, "addresses"},
		required: true,
		set:      func(settings *Settings, value string) error { return setDialAddresses(&settings.storeAddresses, value) },
	},
	{
		id:           fieldID{sectionStore, "timeout"},
		defaultValue: "2s",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.storeTimeout, value, time.Millisecond)
		},
	},
	{
		id:  fieldID{sectionPeers, "seeds"},
		set: func(settings *Settings, value string) error { return setDialAddresses(&settings.seeds, value) },
	},
	{
		id:           fieldID{sectionLimits, "max-body"},
		defaultValue: "1MiB",
		set:          func(settings *Settings, value string) error { return setBytes(&settings.maxBody, value) },
	},
	{
		id:           fieldID{sectionLimits, "max-header"},
		defaultValue: "64KiB",
		set:          func(settings *Settings, value string) error { return setBytes(&settings.maxHeader, value) },
	},
	{
		id:           fieldID{sectionLimits, "max-answer"},
		defaultValue: "16MiB",
		set:          func(settings *Settings, value string) error { return setBytes(&settings.maxAnswer, value) },
	},
	{
		id:           fieldID{sectionLimits, "max-in-flight"},
		defaultValue: "4096",
		set:          func(settings *Settings, value string) error { return setCount(&settings.maxInFlight, value, 1) },
	},
	{
		id:           fieldID{sectionLimits, "max-queue"},
		defaultValue: "1024",
		set:          func(settings *Settings, value string) error { return setCount(&settings.maxQueue, value, 0) },
	},
	{
		id:           fieldID{sectionNode, "bootstrap"},
		defaultValue: "no",
		set:          func(settings *Settings, value string) error { return setFlag(&settings.bootstrap, value) },
	},
	{
		id:  fieldID{sectionListen, "ready"},
		set: func(settings *Settings, value string) error { return setListener(&settings.readyAddress, value) },
	},
	{
		id:           fieldID{sectionStore, "protocol"},
		defaultValue: ProtocolNative,
		set:          func(settings *Settings, value string) error { return setProtocol(&settings.storeProtocol, value) },
	},
	{
		id:           fieldID{sectionBounds, "revocation"},
		defaultValue: "5s",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.revocation, value, time.Second)
		},
	},
	{
		id:           fieldID{sectionBounds, "retry-ratio"},
		defaultValue: "0.2",
		set:          func(settings *Settings, value string) error { return setNumber(&settings.retryRatio, value, maxRatio) },
	},
	{
		id:           fieldID{sectionBounds, "retry-slack"},
		defaultValue: "130",
		set:          func(settings *Settings, value string) error { return setNumber(&settings.retrySlack, value, maxCount) },
	},
	{
		id:           fieldID{sectionBounds, "retry-window"},
		defaultValue: "10s",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.retryWindow, value, time.Second)
		},
	},
	{
		id:           fieldID{sectionBounds, "load-window"},
		defaultValue: "5s",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.loadWindow, value, time.Second)
		},
	},
	{
		id:           fieldID{sectionBounds, "drain"},
		defaultValue: "2s",
		set:          func(settings *Settings, value string) error { return setDuration(&settings.drain, value, 0) },
	},
	{
		id:           fieldID{sectionBounds, "announcement"},
		defaultValue: "1200ms",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.announcement, value, time.Millisecond)
		},
	},
	{
		id:           fieldID{sectionBounds, "nodes"},
		defaultValue: "6",
		set:          func(settings *Settings, value string) error { return setCount(&settings.nodes, value, 1) },
	},
}

func findField(id fieldID) (field, bool) {
	for _, field := range fields {
		if field.id == id {
			return field, true
		}
	}
	return field{}, false
}

func knownSection(section string) bool {
	for _, field := range fields {
		if field.id.section == section {
			return true
		}
	}
	return false
}

// listener is one listening address with the key that sets it.
type listener struct {
	key     string
	address string
}

func (settings *Settings) listeners() []listener {
	return []listener{
		{"callers", settings.callersAddress},
		{"peers", settings.peersAddress},
		{"admin", settings.adminAddress},
		{"ready", settings.readyAddress},
	}
}

// isAnyPort reports whether the address has port 0, for which the operating system
// chooses a free port.
func isAnyPort(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() == 0
}

func setName(name *string, value string) error {
	parsed, err := inifile.ParseName(value)
	*name = parsed
	return errors.Trace(err)
}

// setDuration sets a duration whose minimum is least.
func setDuration(duration *time.Duration, value string, least time.Duration) error {
	parsed, err := inifile.ParseDuration(value)
	if err == nil && parsed < least {
		err = errors.NotValidf("duration %q (want at least %v)", value, least)
	}
	*duration = parsed
	return errors.Trace(err)
}

// setListener sets an address to listen on.
func setListener(address *string, value string) error {
	parsed, err := inifile.ParseAddress(value)
	*address = parsed
	return errors.Trace(err)
}

// setDialAddresses sets a list of addresses to connect to.
func setDialAddresses(addresses *[]string, value string) error {
	elements, err := inifile.ParseList(value)
	if err != nil {
		return errors.Trace(err)
	}
	for index, element := range elements {
		elements[index], err = inifile.ParseDialAddress(element)
		if err != nil {
			return errors.Trace(err)
		}
	}
	*addresses = elements
	return nil
}

func setFlag(flag *bool, value string) error {
	parsed, err := inifile.ParseFlag(value)
	*flag = parsed
	return errors.Trace(err)
}

func setProtocol(protocol *string, value string) error {
	if value != ProtocolNative && value != ProtocolShared {
		return errors.NotValidf("protocol %q (want %s or %s)", value, ProtocolNative, ProtocolShared)
	}
	*protocol = value
	return nil
}

// setNumber sets a decimal number from 0 to most.
func setNumber(number *float64, value string, most int) error {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || !(parsed >= 0 && parsed <= float64(most)) {
		return errors.NotValidf("number %q (want 0 to %d)", value, most)
	}
	*number = parsed
	return nil
}

// maxProcessors is an upper bound that only catches typing errors.
const maxProcessors = 1024

// maxRatio is an upper bound that only catches typing errors.
const maxRatio = 100

// setBytes sets a byte count that must be above 0.
func setBytes(count *int64, value string) error {
	parsed, err := inifile.ParseBytes(value)
	if err == nil && parsed == 0 {
		err = errors.NotValidf("byte count %q (want more than 0)", value)
	}
	*count = parsed
	return errors.Trace(err)
}

func setCount(count *int, value string, least int) error {
	parsed, err := inifile.ParseCount(value, least, maxCount)
	*count = parsed
	return errors.Trace(err)
}
