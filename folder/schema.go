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

// Upper bounds of numbers. They only catch slips of the keyboard and are far
// above the scale that the design page names.
const (
	maxWeight      = 1_000_000
	maxInFlight    = 10_000_000
	maxGroupSize   = 1024
	maxReplicas    = 10_000
	maxGroupValue  = 1_000_000
	maxPolicyCost  = 1e9
	percentMaximum = 100
	thousandths    = 1000
	maxTextBytes   = 200
	digestBytes    = 32
)

const digestPrefix = "sha256:"

// An item is the section that is being built; only the member that belongs to
// the kind of section is in use.
type item struct {
	workspace Workspace
	route     Route
	group     Group
	service   Service
	class     TargetClass
	policy    Policy
}

// A field is one key of a kind of section.
type field struct {
	key string

	// required says that the key has no default. A key that is not required
	// and has an empty fallback may be absent.
	required bool

	// fallback returns the default. It can depend on fields before this one.
	fallback func(item *item) string

	// set reads the value into the item.
	set func(item *item, value string) error

	// text returns the value in its canonical spelling, empty when absent.
	text func(item *item) string
}

// A schema is one kind of section.
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

func (item *item) setName(kind, name string) {
	switch kind {
	case sectionWorkspace:
		item.workspace.Name = name
	case sectionRoute:
		item.route.Name = name
	case sectionGroup:
		item.group.Name = name
	case sectionService:
		item.service.Name = name
	case sectionTargetClass:
		item.class.Name = name
	}
}

// schemas are in canonical order: a section only refers to earlier kinds.
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

func always(value string) func(*item) string {
	return func(*item) string { return value }
}

var policyFields = []field{
	{
		key:      "downtime-weight",
		fallback: always("1"),
		set:      func(item *item, value string) error { return setCost(&item.policy.DowntimeWeight, value) },
		text:     func(item *item) string { return formatCost(item.policy.DowntimeWeight) },
	},
	{
		key:      "stranded-weight",
		fallback: always("1"),
		set:      func(item *item, value string) error { return setCost(&item.policy.StrandedWeight, value) },
		text:     func(item *item) string { return formatCost(item.policy.StrandedWeight) },
	},
	{
		key:      "report-interval",
		fallback: always("250ms"),
		set:      func(item *item, value string) error { return setDuration(&item.policy.ReportInterval, value) },
		text:     func(item *item) string { return inifile.FormatDuration(item.policy.ReportInterval) },
	},
	{
		key:      "grant-bound",
		fallback: always("1s"),
		set:      func(item *item, value string) error { return setDuration(&item.policy.GrantBound, value) },
		text:     func(item *item) string { return inifile.FormatDuration(item.policy.GrantBound) },
	},
	{
		key:      "weight-rate",
		fallback: always("1GiB"),
		set:      func(item *item, value string) error { return setBytes(&item.policy.WeightRate, value) },
		text:     func(item *item) string { return inifile.FormatBytes(item.policy.WeightRate) },
	},
	{
		key:      "retry-percent",
		fallback: always("10"),
		set: func(item *item, value string) error {
			return setCount(&item.policy.RetryPercent, value, 0, percentMaximum)
		},
		text: func(item *item) string { return strconv.Itoa(item.policy.RetryPercent) },
	},
	{
		key:      "booking-retention",
		fallback: always("24h"),
		set:      func(item *item, value string) error { return setDuration(&item.policy.BookingRetention, value) },
		text:     func(item *item) string { return inifile.FormatDuration(item.policy.BookingRetention) },
	},
	{
		key:      "spread-time",
		fallback: always("3s"),
		set:      func(item *item, value string) error { return setDuration(&item.policy.SpreadTime, value) },
		text:     func(item *item) string { return inifile.FormatDuration(item.policy.SpreadTime) },
	},
}

var classFields = []field{
	{
		key:      "checks-fencing",
		fallback: always("no"),
		set:      func(item *item, value string) error { return setFlag(&item.class.ChecksFencing, value) },
		text:     func(item *item) string { return inifile.FormatFlag(item.class.ChecksFencing) },
	},
	{
		key:      "order-delay",
		fallback: always("5s"),
		set:      func(item *item, value string) error { return setDuration(&item.class.OrderDelay, value) },
		text:     func(item *item) string { return inifile.FormatDuration(item.class.OrderDelay) },
	},
	{
		key:      "opened-by-order",
		fallback: always("no"),
		set:      func(item *item, value string) error { return setFlag(&item.class.OpenedByOrder, value) },
		text:     func(item *item) string { return inifile.FormatFlag(item.class.OpenedByOrder) },
	},
	{
		key:      "checks-sequence",
		fallback: always("no"),
		set:      func(item *item, value string) error { return setFlag(&item.class.ChecksSequence, value) },
		text:     func(item *item) string { return inifile.FormatFlag(item.class.ChecksSequence) },
	},
	{
		key:      "open-time",
		fallback: always("300ms"),
		set:      func(item *item, value string) error { return setDelay(&item.class.OpenTime, value) },
		text:     func(item *item) string { return inifile.FormatDuration(item.class.OpenTime) },
	},
}

var groupFields = []field{
	{
		key:      "model",
		required: true,
		set:      func(item *item, value string) error { return setText(&item.group.Model, value) },
		text:     func(item *item) string { return item.group.Model },
	},
	{
		key:      "version",
		required: true,
		set:      func(item *item, value string) error { return setText(&item.group.Version, value) },
		text:     func(item *item) string { return item.group.Version },
	},
	{
		key:      "size",
		required: true,
		set:      func(item *item, value string) error { return setCount(&item.group.Size, value, 1, maxGroupSize) },
		text:     func(item *item) string { return strconv.Itoa(item.group.Size) },
	},
	{
		key:      "replicas",
		required: true,
		set:      func(item *item, value string) error { return setCount(&item.group.Replicas, value, 0, maxReplicas) },
		text:     func(item *item) string { return strconv.Itoa(item.group.Replicas) },
	},
	{
		key:      "share",
		fallback: always("0"),
		set:      func(item *item, value string) error { return setCount(&item.group.Share, value, 0, thousandths) },
		text:     func(item *item) string { return strconv.Itoa(item.group.Share) },
	},
	{
		key:      "value",
		fallback: always("1"),
		set:      func(item *item, value string) error { return setCount(&item.group.Value, value, 0, maxGroupValue) },
		text:     func(item *item) string { return strconv.Itoa(item.group.Value) },
	},
	{
		key:      "weight-bytes",
		required: true,
		set:      func(item *item, value string) error { return setBytes(&item.group.WeightBytes, value) },
		text:     func(item *item) string { return inifile.FormatBytes(item.group.WeightBytes) },
	},
	{
		key:      "target-class",
		required: true,
		set:      func(item *item, value string) error { return setName(&item.group.TargetClass, value) },
		text:     func(item *item) string { return item.group.TargetClass },
	},
}

var serviceFields = []field{
	{
		key:      "addresses",
		required: true,
		set:      func(item *item, value string) error { return setAddresses(&item.service.Addresses, value) },
		text:     func(item *item) string { return formatAddresses(item.service.Addresses) },
	},
	{
		key:      "target-class",
		fallback: always(""),
		set:      func(item *item, value string) error { return setName(&item.service.TargetClass, value) },
		text:     func(item *item) string { return item.service.TargetClass },
	},
}

var workspaceFields = []field{
	{
		key:      "key-digests",
		required: true,
		set:      func(item *item, value string) error { return setDigests(&item.workspace.KeyDigests, value) },
		text:     func(item *item) string { return formatDigests(item.workspace.KeyDigests) },
	},
	{
		key:      "weight",
		fallback: always("1"),
		set:      func(item *item, value string) error { return setCount(&item.workspace.Weight, value, 1, maxWeight) },
		text:     func(item *item) string { return strconv.Itoa(item.workspace.Weight) },
	},
	{
		key:      "max-in-flight",
		fallback: always("64"),
		set: func(item *item, value string) error {
			return setCount(&item.workspace.MaxInFlight, value, 1, maxInFlight)
		},
		text: func(item *item) string { return strconv.Itoa(item.workspace.MaxInFlight) },
	},
	{
		key:      "deadline",
		fallback: always("30s"),
		set:      func(item *item, value string) error { return setDuration(&item.workspace.Deadline, value) },
		text:     func(item *item) string { return inifile.FormatDuration(item.workspace.Deadline) },
	},
}

var routeFields = []field{
	{
		key:      "workspace",
		required: true,
		set:      func(item *item, value string) error { return setName(&item.route.Workspace, value) },
		text:     func(item *item) string { return item.route.Workspace },
	},
	{
		key:      "path-prefix",
		required: true,
		set:      func(item *item, value string) error { return setPath(&item.route.PathPrefix, value) },
		text:     func(item *item) string { return item.route.PathPrefix },
	},
	{
		key:      "kind",
		required: true,
		set:      func(item *item, value string) error { return setKind(&item.route.Kind, value) },
		text:     func(item *item) string { return item.route.Kind.String() },
	},
	{
		key:      "group",
		fallback: always(""),
		set:      func(item *item, value string) error { return setName(&item.route.Group, value) },
		text:     func(item *item) string { return item.route.Group },
	},
	{
		key:      "service",
		fallback: always(""),
		set:      func(item *item, value string) error { return setName(&item.route.Service, value) },
		text:     func(item *item) string { return item.route.Service },
	},
	{
		key:      "idempotent",
		fallback: func(item *item) string { return inifile.FormatFlag(item.route.Kind == KindDraft) },
		set:      func(item *item, value string) error { return setFlag(&item.route.Idempotent, value) },
		text:     func(item *item) string { return inifile.FormatFlag(item.route.Idempotent) },
	},
	{
		key:      "min-replicas",
		fallback: defaultMinReplicas,
		set:      func(item *item, value string) error { return setCount(&item.route.MinReplicas, value, 0, maxReplicas) },
		text:     func(item *item) string { return strconv.Itoa(item.route.MinReplicas) },
	},
}

func defaultMinReplicas(item *item) string {
	if item.route.Kind == KindDraft {
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

// setText accepts only characters that mean nothing in an INI file, so that
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

// setDelay sets a duration that may be zero.
func setDelay(duration *time.Duration, value string) error {
	parsed, err := inifile.ParseDuration(value)
	*duration = parsed
	return errors.Trace(err)
}

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
			// The value may be a key that was pasted by mistake, so it is
			// not repeated.
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

// setAddresses reads every address, so that the error names all faults.
func setAddresses(addresses *[]ServiceAddress, value string) error {
	elements, err := inifile.ParseList(value)
	if err != nil {
		return errors.Trace(err)
	}
	parsed := make([]ServiceAddress, 0, len(elements))
	var faults []string
	for _, element := range elements {
		address, err := parseServiceAddress(element)
		if err != nil {
			faults = append(faults, errors.Cause(err).Error())
		}
		parsed = append(parsed, address)
	}
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "; "))
	}
	*addresses = parsed
	return nil
}

func parseServiceAddress(element string) (ServiceAddress, error) {
	words := strings.Fields(element)
	address, err := inifile.ParseTargetAddress(words[0])
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
