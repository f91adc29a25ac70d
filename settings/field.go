package settings

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/inifile"
)

// The sections of the file.
const (
	sectionNode   = "node"
	sectionListen = "listen"
	sectionStore  = "store"
	sectionPeers  = "peers"
	sectionLimits = "limits"
	sectionBounds = "bounds"
)

// fieldID identifies a key.
type fieldID struct {
	section string
	key     string
}

// field is one key of the file.
type field struct {
	id       fieldID
	required bool

	// fallback is the default, empty for a key that may be absent.
	fallback string
	set      func(settings *Settings, value string) error
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
		id:       fieldID{sectionNode, "stop-notice"},
		fallback: "3s",
		set:      func(settings *Settings, value string) error { return setDuration(&settings.stopNotice, value, 0) },
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
		set:      func(settings *Settings, value string) error { return setTargets(&settings.storeAddresses, value) },
	},
	{
		id:       fieldID{sectionStore, "timeout"},
		fallback: "2s",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.storeTimeout, value, time.Millisecond)
		},
	},
	{
		id:  fieldID{sectionPeers, "seeds"},
		set: func(settings *Settings, value string) error { return setTargets(&settings.seeds, value) },
	},
	{
		id:       fieldID{sectionLimits, "max-body"},
		fallback: "1MiB",
		set:      func(settings *Settings, value string) error { return setBytes(&settings.maxBody, value) },
	},
	{
		id:       fieldID{sectionLimits, "max-header"},
		fallback: "64KiB",
		set:      func(settings *Settings, value string) error { return setBytes(&settings.maxHeader, value) },
	},
	{
		id:       fieldID{sectionLimits, "max-answer"},
		fallback: "16MiB",
		set:      func(settings *Settings, value string) error { return setBytes(&settings.maxAnswer, value) },
	},
	{
		id:       fieldID{sectionLimits, "max-in-flight"},
		fallback: "4096",
		set:      func(settings *Settings, value string) error { return setCount(&settings.maxInFlight, value, 1) },
	},
	{
		id:       fieldID{sectionLimits, "max-queue"},
		fallback: "1024",
		set:      func(settings *Settings, value string) error { return setCount(&settings.maxQueue, value, 0) },
	},
	{
		id:       fieldID{sectionNode, "bootstrap"},
		fallback: "no",
		set:      func(settings *Settings, value string) error { return setFlag(&settings.bootstrap, value) },
	},
	{
		id:  fieldID{sectionListen, "ready"},
		set: func(settings *Settings, value string) error { return setListener(&settings.readyAddress, value) },
	},
	{
		id:       fieldID{sectionStore, "protocol"},
		fallback: ProtocolNative,
		set:      func(settings *Settings, value string) error { return setProtocol(&settings.storeProtocol, value) },
	},
	{
		id:       fieldID{sectionBounds, "revocation"},
		fallback: "5s",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.revocation, value, time.Second)
		},
	},
	{
		id:       fieldID{sectionBounds, "retry-ratio"},
		fallback: "0.2",
		set:      func(settings *Settings, value string) error { return setRatio(&settings.retryRatio, value) },
	},
	{
		id:       fieldID{sectionBounds, "retry-slack"},
		fallback: "130",
		set:      func(settings *Settings, value string) error { return setCount(&settings.retrySlack, value, 0) },
	},
	{
		id:       fieldID{sectionBounds, "retry-window"},
		fallback: "10s",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.retryWindow, value, time.Second)
		},
	},
	{
		id:       fieldID{sectionBounds, "load-window"},
		fallback: "5s",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.loadWindow, value, time.Second)
		},
	},
	{
		id:       fieldID{sectionBounds, "nodes"},
		fallback: "6",
		set:      func(settings *Settings, value string) error { return setCount(&settings.nodes, value, 1) },
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

// listener is one listening address with its key.
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

// isAnyPort reports whether the system chooses the port of an address.
func isAnyPort(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() == 0
}

func setName(name *string, value string) error {
	parsed, err := inifile.ParseName(value)
	*name = parsed
	return errors.Trace(err)
}

func setDuration(duration *time.Duration, value string, least time.Duration) error {
	parsed, err := inifile.ParseDuration(value)
	if err == nil && parsed < least {
		err = errors.NotValidf("duration %q (want at least %v)", value, least)
	}
	*duration = parsed
	return errors.Trace(err)
}

func setListener(address *string, value string) error {
	parsed, err := inifile.ParseAddress(value)
	*address = parsed
	return errors.Trace(err)
}

func setTargets(addresses *[]string, value string) error {
	elements, err := inifile.ParseList(value)
	if err != nil {
		return errors.Trace(err)
	}
	for index, element := range elements {
		elements[index], err = inifile.ParseTargetAddress(element)
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

func setRatio(ratio *float64, value string) error {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || !(parsed >= 0 && parsed <= maxRatio) {
		return errors.NotValidf("ratio %q (want 0 to %d)", value, maxRatio)
	}
	*ratio = parsed
	return nil
}

// maxRatio only catches slips of the keyboard.
const maxRatio = 100

func setBytes(count *int64, value string) error {
	parsed, err := inifile.ParseBytes(value)
	if err == nil && parsed == 0 {
		err = errors.NotValidf("byte count %q (want more than 0)", value)
	}
	*count = parsed
	return errors.Trace(err)
}

func setCount(count *int, value string, least int) error {
	parsed, err := inifile.ParseCount(value, least, maxRequests)
	*count = parsed
	return errors.Trace(err)
}
