package inifile

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxNameBytes bounds a name, so that it fits into a store key.
const maxNameBytes = 63

// byteUnit is one unit of a byte count.
type byteUnit struct {
	suffix string
	bytes  int64
}

// byteUnits holds the longest suffixes first, because "B" ends all of them.
var byteUnits = []byteUnit{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// durationUnit is one unit of a duration.
type durationUnit struct {
	suffix   string
	duration time.Duration
}

var durationUnits = []durationUnit{
	{"h", time.Hour},
	{"m", time.Minute},
	{"s", time.Second},
	{"ms", time.Millisecond},
	{"us", time.Microsecond},
	{"ns", time.Nanosecond},
}

// ParseDuration reads a duration such as 250ms, 3s or 24h. A negative
// duration is an errors.NotValid error.
func ParseDuration(value string) (time.Duration, error) {
	duration, err := time.ParseDuration(value)
	if err != nil || duration < 0 {
		return 0, errors.NotValidf("duration %q (want for example 250ms, 3s or 24h)", value)
	}
	return duration, nil
}

// FormatDuration returns the duration in the largest unit that holds it
// without a fraction. ParseDuration reads it back.
func FormatDuration(duration time.Duration) string {
	for _, unit := range durationUnits {
		if duration >= unit.duration && duration%unit.duration == 0 {
			return strconv.FormatInt(int64(duration/unit.duration), 10) + unit.suffix
		}
	}
	return "0s"
}

// ParseBytes reads a byte count such as 512KiB or 2GiB.
func ParseBytes(value string) (int64, error) {
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(value, unit.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || int64(count) > math.MaxInt64/unit.bytes {
			break
		}
		return int64(count) * unit.bytes, nil
	}
	return 0, errors.NotValidf("byte count %q (want a whole number with B, KiB, MiB, GiB or TiB)", value)
}

// FormatBytes returns the count in the largest unit that holds it without a
// fraction. ParseBytes reads it back.
func FormatBytes(count int64) string {
	for _, unit := range byteUnits {
		if count >= unit.bytes && count%unit.bytes == 0 {
			return strconv.FormatInt(count/unit.bytes, 10) + unit.suffix
		}
	}
	return "0B"
}

// ParseCount reads a whole number between least and most.
func ParseCount(value string, least, most int) (int, error) {
	count, err := strconv.Atoi(value)
	if err != nil || count < least || count > most {
		return 0, errors.NotValidf("number %q (want a whole number from %d to %d)", value, least, most)
	}
	return count, nil
}

// ParseFlag reads yes or no.
func ParseFlag(value string) (bool, error) {
	switch value {
	case "yes", "true":
		return true, nil
	case "no", "false":
		return false, nil
	default:
		return false, errors.NotValidf("flag %q (want yes or no)", value)
	}
}

// FormatFlag returns yes or no.
func FormatFlag(flag bool) string {
	if flag {
		return "yes"
	}
	return "no"
}

// ParseAddress reads IP:port and returns it in its shortest form. Host names
// are rejected, because the fleet has no name service.
func ParseAddress(value string) (string, error) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Addr().Zone() != "" {
		return "", errors.NotValidf("address %q (want IP:port; host names are not accepted)", value)
	}
	return address.String(), nil
}

// ParseTargetAddress is ParseAddress for an address to connect to, which
// needs a port other than 0 and an IP number of one VM.
func ParseTargetAddress(value string) (string, error) {
	address, err := ParseAddress(value)
	if err != nil {
		return "", errors.Trace(err)
	}
	parsed := netip.MustParseAddrPort(address)
	if parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		return "", errors.NotValidf("address %q (want the IP and port of one VM)", value)
	}
	return address, nil
}

// ParseName reads a name of lower-case letters, digits and inner hyphens, at
// most 63 bytes.
func ParseName(value string) (string, error) {
	valid := len(value) > 0 && len(value) <= maxNameBytes
	for index, char := range value {
		letter := char >= 'a' && char <= 'z' || char >= '0' && char <= '9'
		inner := char == '-' && index > 0 && index < len(value)-1
		valid = valid && (letter || inner)
	}
	if !valid {
		return "", errors.NotValidf("name %q (want lower-case letters, digits and hyphens, at most %d)", value, maxNameBytes)
	}
	return value, nil
}

// ParseList splits a value at commas. An empty element is an errors.NotValid
// error; the error does not repeat the value, which can be a secret.
func ParseList(value string) ([]string, error) {
	elements := strings.Split(value, ",")
	for index, element := range elements {
		elements[index] = strings.TrimSpace(element)
		if elements[index] == "" {
			return nil, errors.NotValidf("list with an empty element")
		}
	}
	return elements, nil
}
