package folder

import (
	"encoding/hex"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/inifile"
)

// The kinds of section, in canonical order.
const (
	sectionPolicy      = "policy"
	sectionTargetClass = "target-class"
	sectionGroup       = "group"
	sectionService     = "service"
	sectionWorkspace   = "workspace"
	sectionRoute       = "route"
)

// Upper bounds of numbers. They only catch typing errors: the bounds are far above
// the scale that the system is designed for.
const (
	maxWeight     = 1_000_000
	maxInFlight   = 10_000_000
	maxGroupSize  = 1024
	maxReplicas   = 10_000
	maxGroupValue = 1_000_000
	maxPolicyCost = 1e9
	maxPercent    = 100
	maxShare      = 1000 // thousandths
	maxTextBytes  = 200
	digestBytes   = 32
)

// digestPrefix is the prefix of every key digest in the folder.
const digestPrefix = "sha256:"

// A builtSection contains the typed content of one section. Only the field for the
// section's kind is used.
type builtSection struct {
	workspace Workspace
	route     Route
	group     Group
	service   Service
	class     TargetClass
	policy    Policy
}

// A field describes one key of a kind of section.
type field struct {
	key string

	// required is true when the key has no default. A key that is not required
	// and has an empty default value may be absent.
	required bool

	// defaultValue returns the default. It can depend on earlier fields of the
	// section.
	defaultValue func(section *builtSection) string

	// set parses the value and sets it in the section.
	set func(section *builtSection, value string) error

	// format returns the value in its canonical spelling, empty when absent.
	format func(section *builtSection) string
}

// A schema describes one kind of section.
type schema struct {
	kind   string
	named  bool
	fields []field
}

func (schema *schema) field(key string) (field, bool) {
	for _, candidate := range schema.fields {
		if candidate.key == key {
			return candidate, true
		}
	}
	return field{}, false
}

func (section *builtSection) setName(kind, name string) {
	switch kind {
	case sectionWorkspace:
		section.workspace.Name = name
	case sectionRoute:
		section.route.Name = name
	case sectionGroup:
		section.group.Name = name
	case sectionService:
		section.service.Name = name
	case sectionTargetClass:
		section.class.Name = name
	}
}

// schemas are in canonical order, in which a section refers only to sections of
// earlier kinds.
var schemas = []*schema{
	{kind: sectionPolicy, fields: policyFields},
	{kind: sectionTargetClass, named: true, fields: classFields},
	{kind: sectionGroup, named: true, fields: groupFields},
	{kind: sectionService, named: true, fields: serviceFields},
	{kind: sectionWorkspace, named: true, fields: workspaceFields},
	{kind: sectionRoute, named: true, fields: routeFields},
}

func findSchema(kind string) (*schema, bool) {
	for _, schema := range schemas {
		if schema.kind == kind {
			return schema, true
		}
	}
	return nil, false
}

// fixedDefault returns a defaultValue function for a default that does not depend
// on other keys.
func fixedDefault(value string) func(*builtSection) string {
	return func(*builtSection) string { return value }
}

var policyFields = []field{
	{
		key:          "downtime-weight",
		defaultValue: fixedDefault("1"),
		set:          func(section *builtSection, value string) error { return setCost(&section.policy.DowntimeWeight, value) },
		format:       func(section *builtSection) string { return formatCost(section.policy.DowntimeWeight) },
	},
	{
		key:          "stranded-weight",
		defaultValue: fixedDefault("1"),
		set:          func(section *builtSection, value string) error { return setCost(&section.policy.StrandedWeight, value) },
		format:       func(section *builtSection) string { return formatCost(section.policy.StrandedWeight) },
	},
	{
		key:          "report-interval",
		defaultValue: fixedDefault("250ms"),
		set: func(section *builtSection, value string) error {
			return setDuration(&section.policy.ReportInterval, value)
		},
		format: func(section *builtSection) string { return inifile.FormatDuration(section.policy.ReportInterval) },
	},
	{
		key:          "grant-bound",
		defaultValue: fixedDefault("1s"),
		set:          func(section *builtSection, value string) error { return setDuration(&section.policy.GrantBound, value) },
		format:       func(section *builtSection) string { return inifile.FormatDuration(section.policy.GrantBound) },
	},
	{
		key:          "weight-rate",
		defaultValue: fixedDefault("1GiB"),
		set:          func(section *builtSection, value string) error { return setBytes(&section.policy.WeightRate, value) },
		format:       func(section *builtSection) string { return inifile.FormatBytes(section.policy.WeightRate) },
	},
	{
		key:          "retry-percent",
		defaultValue: fixedDefault("10"),
		set: func(section *builtSection, value string) error {
			return setCount(&section.policy.RetryPercent, value, 0, maxPercent)
		},
		format: func(section *builtSection) string { return strconv.Itoa(section.policy.RetryPercent) },
	},
	{
		key:          "booking-retention",
		defaultValue: fixedDefault("24h"),
		set: func(section *builtSection, value string) error {
			return setDuration(&section.policy.BookingRetention, value)
		},
		format: func(section *builtSection) string { return inifile.FormatDuration(section.policy.BookingRetention) },
	},
	{
		key:          "spread-time",
		defaultValue: fixedDefault("3s"),
		set:          func(section *builtSection, value string) error { return setDuration(&section.policy.SpreadTime, value) },
		format:       func(section *builtSection) string { return inifile.FormatDuration(section.policy.SpreadTime) },
	},
}

var classFields = []field{
	{
		key:          "checks-fencing",
		defaultValue: fixedDefault("no"),
		set:          func(section *builtSection, value string) error { return setFlag(&section.class.ChecksFencing, value) },
		format:       func(section *builtSection) string { return inifile.FormatFlag(section.class.ChecksFencing) },
	},
	{
		key:          "order-delay",
		defaultValue: fixedDefault("5s"),
		set:          func(section *builtSection, value string) error { return setDuration(&section.class.OrderDelay, value) },
		format:       func(section *builtSection) string { return inifile.FormatDuration(section.class.OrderDelay) },
	},
	{
		key:          "opened-by-order",
		defaultValue: fixedDefault("no"),
		set:          func(section *builtSection, value string) error { return setFlag(&section.class.OpenedByOrder, value) },
		format:       func(section *builtSection) string { return inifile.FormatFlag(section.class.OpenedByOrder) },
	},
	{
		key:          "checks-sequence",
		defaultValue: fixedDefault("no"),
		set:          func(section *builtSection, value string) error { return setFlag(&section.class.ChecksSequence, value) },
		format:       func(section *builtSection) string { return inifile.FormatFlag(section.class.ChecksSequence) },
	},
	{
		key:          "open-time",
		defaultValue: fixedDefault("300ms"),
		set: func(section *builtSection, value string) error {
			return setDurationOrZero(&section.class.OpenTime, value)
		},
		format: func(section *builtSection) string { return inifile.FormatDuration(section.class.OpenTime) },
	},
}

var groupFields = []field{
	{
		key:      "model",
		required: true,
		set:      func(section *builtSection, value string) error { return setText(&section.group.Model, value) },
		format:   func(section *builtSection) string { return section.group.Model },
	},
	{
		key:      "version",
		required: true,
		set:      func(section *builtSection, value string) error { return setText(&section.group.Version, value) },
		format:   func(section *builtSection) string { return section.group.Version },
	},
	{
		key:      "size",
		required: true,
		set: func(section *builtSection, value string) error {
			return setCount(&section.group.Size, value, 1, maxGroupSize)
		},
		format: func(section *builtSection) string { return strconv.Itoa(section.group.Size) },
	},
	{
		key:      "replicas",
		required: true,
		set: func(section *builtSection, value string) error {
			return setCount(&section.group.Replicas, value, 0, maxReplicas)
		},
		format: func(section *builtSection) string { return strconv.Itoa(section.group.Replicas) },
	},
	{
		key:          "share",
		defaultValue: fixedDefault("0"),
		set: func(section *builtSection, value string) error {
			return setCount(&section.group.Share, value, 0, maxShare)
		},
		format: func(section *builtSection) string { return strconv.Itoa(section.group.Share) },
	},
	{
		key:          "value",
		defaultValue: fixedDefault("1"),
		set: func(section *builtSection, value string) error {
			return setCount(&section.group.Value, value, 0, maxGroupValue)
		},
		format: func(section *builtSection) string { return strconv.Itoa(section.group.Value) },
	},
	{
		key:      "weight-bytes",
		required: true,
		set:      func(section *builtSection, value string) error { return setBytes(&section.group.WeightBytes, value) },
		format:   func(section *builtSection) string { return inifile.FormatBytes(section.group.WeightBytes) },
	},
	{
		key:      "target-class",
		required: true,
		set:      func(section *builtSection, value string) error { return setName(&section.group.TargetClass, value) },
		format:   func(section *builtSection) string { return section.group.TargetClass },
	},
}

var serviceFields = []field{
	{
		key:      "addresses",
		required: true,
		set: func(section *builtSection, value string) error {
			return setAddresses(&section.service.Addresses, value)
		},
		format: func(section *builtSection) string { return formatAddresses(section.service.Addresses) },
	},
	{
		key:          "target-class",
		defaultValue: fixedDefault(""),
		set:          func(section *builtSection, value string) error { return setName(&section.service.TargetClass, value) },
		format:       func(section *builtSection) string { return section.service.TargetClass },
	},
}

var workspaceFields = []field{
	{
		key:      "key-digests",
		required: true,
		set: func(section *builtSection, value string) error {
			return setDigests(&section.workspace.KeyDigests, value)
		},
		format: func(section *builtSection) string { return formatDigests(section.workspace.KeyDigests) },
	},
	{
		key:          "weight",
		defaultValue: fixedDefault("1"),
		set: func(section *builtSection, value string) error {
			return setCount(&section.workspace.Weight, value, 1, maxWeight)
		},
		format: func(section *builtSection) string { return strconv.Itoa(section.workspace.Weight) },
	},
	{
		key:          "max-in-flight",
		defaultValue: fixedDefault("64"),
		set: func(section *builtSection, value string) error {
			return setCount(&section.workspace.MaxInFlight, value, 1, maxInFlight)
		},
		format: func(section *builtSection) string { return strconv.Itoa(section.workspace.MaxInFlight) },
	},
	{
		key:          "deadline",
		defaultValue: fixedDefault("30s"),
		set: func(section *builtSection, value string) error {
			return setDuration(&section.workspace.Deadline, value)
		},
		format: func(section *builtSection) string { return inifile.FormatDuration(section.workspace.Deadline) },
	},
}

var routeFields = []field{
	{
		key:      "workspace",
		required: true,
		set:      func(section *builtSection, value string) error { return setName(&section.route.Workspace, value) },
		format:   func(section *builtSection) string { return section.route.Workspace },
	},
	{
		key:      "path-prefix",
		required: true,
		set:      func(section *builtSection, value string) error { return setPath(&section.route.PathPrefix, value) },
		format:   func(section *builtSection) string { return section.route.PathPrefix },
	},
	{
		key:      "kind",
		required: true,
		set:      func(section *builtSection, value string) error { return setKind(&section.route.Kind, value) },
		format:   func(section *builtSection) string { return section.route.Kind.String() },
	},
	{
		key:          "group",
		defaultValue: fixedDefault(""),
		set:          func(section *builtSection, value string) error { return setName(&section.route.Group, value) },
		format:       func(section *builtSection) string { return section.route.Group },
	},
	{
		key:          "service",
		defaultValue: fixedDefault(""),
		set:          func(section *builtSection, value string) error { return setName(&section.route.Service, value) },
		format:       func(section *builtSection) string { return section.route.Service },
	},
	{
		key:          "idempotent",
		defaultValue: func(section *builtSection) string { return inifile.FormatFlag(section.route.Kind == KindDraft) },
		set:          func(section *builtSection, value string) error { return setFlag(&section.route.Idempotent, value) },
		format:       func(section *builtSection) string { return inifile.FormatFlag(section.route.Idempotent) },
	},
	{
		key:          "min-replicas",
		defaultValue: defaultMinReplicas,
		set: func(section *builtSection, value string) error {
			return setCount(&section.route.MinReplicas, value, 0, maxReplicas)
		},
		format: func(section *builtSection) string { return strconv.Itoa(section.route.MinReplicas) },
	},
}

func defaultMinReplicas(section *builtSection) string {
	if section.route.Kind == KindDraft {
		return "1"
	}
	return "0"
}

func setCost(cost *float64, value string) error {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || !(parsed >= 0 && parsed <= maxPolicyCost) {
		return errors.NotValidf("weight %q (want a number from 0 to %g)", value, float64(maxPolicyCost))
	}
	*cost = parsed
	return nil
}

func formatCost(cost float64) string { return strconv.FormatFloat(cost, 'g', -1, 64) }

func setCount(count *int, value string, least, most int) error {
	parsed, err := inifile.ParseCount(value, least, most)
	if err == nil {
		*count = parsed
	}
	return errors.Trace(err)
}

func setFlag(flag *bool, value string) error {
	parsed, err := inifile.ParseFlag(value)
	if err == nil {
		*flag = parsed
	}
	return errors.Trace(err)
}

func setName(name *string, value string) error {
	parsed, err := inifile.ParseName(value)
	if err == nil {
		*name = parsed
	}
	return errors.Trace(err)
}

// setText accepts only characters without a special meaning in an INI file, so that
// the canonical form needs no quotes.
func setText(text *string, value string) error {
	valid := value != "" && len(value) <= maxTextBytes
	for _, char := range value {
		letter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9'
		valid = valid && (letter || strings.ContainsRune("._:/@+-", char))
	}
	if !valid {
		return errors.NotValidf("text %q (want letters, digits and . _ : / @ + -, at most %d)", value, maxTextBytes)
	}
	*text = value
	return nil
}

// setDurationOrZero sets a duration that may be zero.
func setDurationOrZero(duration *time.Duration, value string) error {
	parsed, err := inifile.ParseDuration(value)
	*duration = parsed
	return errors.Trace(err)
}

// setDuration sets a duration that must be above 0.
func setDuration(duration *time.Duration, value string) error {
	parsed, err := inifile.ParseDuration(value)
	if err != nil {
		return errors.Trace(err)
	}
	if parsed == 0 {
		return errors.NotValidf("duration %q (want more than 0)", value)
	}
	*duration = parsed
	return nil
}

func setBytes(count *int64, value string) error {
	parsed, err := inifile.ParseBytes(value)
	if err != nil {
		return errors.Trace(err)
	}
	if parsed == 0 {
		return errors.NotValidf("byte count %q (want more than 0)", value)
	}
	*count = parsed
	return nil
}

func setKind(kind *Kind, value string) error {
	for _, candidate := range []Kind{KindDraft, KindService} {
		if candidate.String() == value {
			*kind = candidate
			return nil
		}
	}
	return errors.NotValidf("kind %q (want draft or service)", value)
}

func setPath(prefix *string, value string) error {
	var text string
	if !strings.HasPrefix(value, "/") || path.Clean(value) != value || setText(&text, value) != nil {
		return errors.NotValidf("path prefix %q (want a path such as /v1, without a slash at its end)", value)
	}
	*prefix = value
	return nil
}

func setDigests(digests *[]string, value string) error {
	elements, err := inifile.ParseList(value)
	if err != nil {
		return errors.Trace(err)
	}
	parsed := make([]string, 0, len(elements))
	for index, element := range elements {
		digits, found := strings.CutPrefix(element, digestPrefix)
		digest, err := hex.DecodeString(digits)
		if !found || err != nil || len(digest) != digestBytes || strings.ToLower(digits) != digits {
			// The error does not contain the value, which may be a secret key
			// that was pasted by mistake.
			return errors.NotValidf("key digest %d (want sha256: and %d lower-case hexadecimal digits)",
				index+1, 2*digestBytes)
		}
		parsed = append(parsed, digits)
	}
	*digests = parsed
	return nil
}

func formatDigests(digests []string) string {
	elements := make([]string, 0, len(digests))
	for _, digest := range digests {
		elements = append(elements, digestPrefix+digest)
	}
	return strings.Join(elements, ", ")
}

// setAddresses parses all addresses even after a failure, so that the error names
// every invalid one.
func setAddresses(addresses *[]ServiceAddress, value string) error {
	elements, err := inifile.ParseList(value)
	if err != nil {
		return errors.Trace(err)
	}
	parsed := make([]ServiceAddress, 0, len(elements))
	var messages []string
	for _, element := range elements {
		address, err := parseServiceAddress(element)
		if err != nil {
			messages = append(messages, errors.Cause(err).Error())
		}
		parsed = append(parsed, address)
	}
	if len(messages) > 0 {
		return errors.New(strings.Join(messages, "; "))
	}
	*addresses = parsed
	return nil
}

func parseServiceAddress(element string) (ServiceAddress, error) {
	words := strings.Fields(element)
	address, err := inifile.ParseDialAddress(words[0])
	if err != nil {
		return ServiceAddress{}, errors.Trace(err)
	}
	if len(words) != 2 {
		return ServiceAddress{}, errors.NotValidf("service address %q (want IP:port and a failure domain)", element)
	}
	domain, err := inifile.ParseName(words[1])
	if err != nil {
		return ServiceAddress{}, errors.Trace(err)
	}
	return ServiceAddress{Address: address, FailureDomain: domain}, nil
}

func formatAddresses(addresses []ServiceAddress) string {
	elements := make([]string, 0, len(addresses))
	for _, address := range addresses {
		elements = append(elements, address.Address+" "+address.FailureDomain)
	}
	return strings.Join(elements, ", ")
}
