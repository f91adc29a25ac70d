package inifile

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxNameBytes is the maximum length of a name, which must fit into a store key.
const maxNameBytes = 63

// byteUnit is one unit of a byte count.
type byteUnit struct {
	suffix string
	bytes  int64
}

// byteUnits are sorted from the largest unit to the smallest. "B" must be last,
// because it is a suffix of all the others.
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

// durationUnits are sorted from the largest unit to the smallest.
var durationUnits = []durationUnit{
	{"h", time.Hour},
	{"m", time.Minute},
	{"s", time.Second},
	{"ms", time.Millisecond},
	{"us", time.Microsecond},
	{"ns", time.Nanosecond},
}

// ParseDuration parses a duration such as 250ms, 3s or 24h. It returns an
// errors.NotValid error for a negative or malformed duration.
func ParseDuration(value string) (time.Duration, error) {
	duration, err := time.ParseDuration(value)
	if err != nil || duration < 0 {
		return 0, errors.NotValidf("duration %q (want for example 250ms, 3s or 24h)", value)
	}
	return duration, nil
}

// FormatDuration returns the duration as a whole number of the largest possible
// unit, in the form that ParseDuration parses.
func FormatDuration(duration time.Duration) string {
	for _, unit := range durationUnits {
		if duration >= unit.duration && duration%unit.duration == 0 {
			return strconv.FormatInt(int64(duration/unit.duration), 10) + unit.suffix
		}
	}
	return "0s"
}

// ParseBytes parses a byte count such as 512KiB or 2GiB.
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

// FormatBytes returns the byte count as a whole number of the largest possible
// unit, in the form that ParseBytes parses.
func FormatBytes(count int64) string {
	for _, unit := range byteUnits {
		if count >= unit.bytes && count%unit.bytes == 0 {
			return strconv.FormatInt(count/unit.bytes, 10) + unit.suffix
		}
	}
	return "0B"
}

// ParseCount parses a whole number from least to most, both included.
func ParseCount(value string, least, most int) (int, error) {
	count, err := strconv.Atoi(value)
	if err != nil || count < least || count > most {
		return 0, errors.NotValidf("number %q (want a whole number from %d to %d)", value, least, most)
	}
	return count, nil
}

// ParseFlag parses yes or no. It also accepts true and false.
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

// FormatFlag returns yes for true and no for false.
func FormatFlag(flag bool) string {
	if flag {
		return "yes"
	}
	return "no"
}

// ParseAddress parses an IP:port address and returns it in its shortest form. Host
// names are rejected, because the fleet has no name service.
func ParseAddress(value string) (string, error) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Addr().Zone() != "" {
		return "", errors.NotValidf("address %q (want IP:port; host names are not accepted)", value)
	}
	return address.String(), nil
}

// ParseDialAddress parses an address to connect to. In addition to ParseAddress,
// it requires a port other than 0 and the IP address of one VM, so that an
// unspecified address such as 0.0.0.0 is rejected.
func ParseDialAddress(value string) (string, error) {
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

// ParseName parses a name of lower-case letters, digits and hyphens. The name has
// at most 63 bytes and does not start or end with a hyphen.
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

// ParseList splits a value at commas. It returns an errors.NotValid error for an
// empty element. The error does not contain the value, which may be a secret.
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
