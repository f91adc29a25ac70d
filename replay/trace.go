package replay

import (
	"bufio"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/folder"
)

// targetClass is the target class of all engines in a replay.
const targetClass = "runner"

// maxTraceVMs is the maximum number of VMs in one fabric domain of a trace.
const maxTraceVMs = 1 << 12

// A Trace describes a fleet and the failures that were recorded on it.
type Trace struct {
	Name    string
	Domains []Domain
	Groups  []folder.Group
	Events  []Event
	End     time.Duration
}

// A Domain is one fabric domain of a trace. A VM is named by the domain and a
// number of at least two digits, from 00.
type Domain struct {
	Name          string
	FailureDomain string
	VMs           int
	Accelerators  int
}

// An Event is one line of a trace. Target is a VM or, for domain-dark and
// domain-return, a fabric or failure domain. For list-empty it is not used and
// written as "-".
type Event struct {
	At     time.Duration
	Target string
	Kind   string
}

// The kinds of event, as they are written in a trace.
const (
	eventFail             = "fail"
	eventReturn           = "return"
	eventPause            = "pause"
	eventResume           = "resume"
	eventSlow             = "slow"
	eventDomainDisconnect = "domain-dark"
	eventDomainReturn     = "domain-return"
	eventListEmpty        = "list-empty"
)

// ReadTrace reads a trace file. For a malformed line it returns an
// errors.NotValid error that includes the file and the line number.
func ReadTrace(path string) (Trace, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Trace{}, errors.Trace(err)
	}
	trace, err := ParseTrace(string(content))
	if err != nil {
		return Trace{}, errors.Annotate(err, path)
	}
	trace.Name = strings.TrimSuffix(filepath.Base(path), ".txt")
	return trace, nil
}

// ParseTrace parses the content of a trace file. Lines that begin with # are
// comments. The lines before the column header "time vm event" describe the
// fleet, and each line after it is one event:
//
//	fabric-domain NAME FAILURE-DOMAIN VMS ACCELERATORS-PER-VM
//	group NAME SIZE REPLICAS VALUE WEIGHT-GIB
//	end DURATION
//	time vm event
//	0h12m30s port-1-03 fail
//
// Times are durations since the end of the warm-up. The kinds of event are:
//
//	fail           the VM fails and loses its state
//	return         a failed VM restarts under a new incarnation
//	pause          the VM stops answering and keeps its state
//	resume         a paused or slow VM answers normally again
//	slow           the VM answers reports slowly
//	domain-dark    the VMs of a domain become unreachable and keep their state
//	domain-return  the VMs of a domain become reachable again
//	list-empty     the VM list is empty for a time
func ParseTrace(content string) (Trace, error) {
	trace := Trace{}
	events := false
	scanner := bufio.NewScanner(strings.NewReader(content))
	for line := 1; scanner.Scan(); line++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		var err error
		switch {
		case events:
			err = trace.addEventLine(fields)
		case strings.Join(fields, " ") == "time vm event":
			events = true
		default:
			err = trace.addFleetLine(fields)
		}
		if err != nil {
			return Trace{}, errors.Annotatef(err, "line %d", line)
		}
	}
	if err := scanner.Err(); err != nil {
		return Trace{}, errors.Trace(err)
	}
	sort.SliceStable(trace.Events, func(i, j int) bool { return trace.Events[i].At < trace.Events[j].At })
	return trace, trace.validate()
}

func (trace *Trace) validate() error {
	if len(trace.Domains) == 0 || len(trace.Groups) == 0 || trace.End <= warmUp {
		return errors.NotValidf("trace without fabric domains, groups or an end after the warm-up")
	}
	if len(trace.Groups) != 1 || trace.Groups[0].Size < 1 {
		return errors.NotValidf("trace with %d groups (expected 1 of size 1 or more)", len(trace.Groups))
	}
	return nil
}

func (trace *Trace) addFleetLine(fields []string) error {
	switch {
	case fields[0] == "fabric-domain" && len(fields) == 5:
		numbers, err := parseNumbers(fields[3:])
		if err != nil {
			return errors.Trace(err)
		}
		if numbers[0] > maxTraceVMs {
			return errors.NotValidf("VM count %d of a fabric domain", numbers[0])
		}
		trace.Domains = append(trace.Domains, Domain{Name: fields[1], FailureDomain: fields[2], VMs: numbers[0], Accelerators: numbers[1]})
	case fields[0] == "group" && len(fields) == 6:
		numbers, err := parseNumbers(fields[2:])
		if err != nil {
			return errors.Trace(err)
		}
		trace.Groups = append(trace.Groups, folder.Group{
			Name: fields[1], Model: fields[1], Version: "1", Size: numbers[0], Replicas: numbers[1],
			Value: numbers[2], WeightBytes: int64(numbers[3]) << 30, TargetClass: targetClass,
		})
	case fields[0] == "end" && len(fields) == 2:
		end, err := time.ParseDuration(fields[1])
		if err != nil {
			return errors.NewNotValid(err, "end of trace")
		}
		trace.End = warmUp + end
	default:
		return errors.NotValidf("fleet line %q", strings.Join(fields, " "))
	}
	return nil
}

func parseNumbers(fields []string) ([]int, error) {
	var numbers []int
	for _, field := range fields {
		number, err := strconv.Atoi(field)
		if err != nil || number < 0 {
			return nil, errors.NotValidf("number %q", field)
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

func (trace *Trace) addEventLine(fields []string) error {
	if len(fields) != 3 {
		return errors.NotValidf("event line %q", strings.Join(fields, " "))
	}
	at, err := time.ParseDuration(fields[0])
	if err != nil || at < 0 {
		return errors.NotValidf("event time %q", fields[0])
	}
	event := Event{At: warmUp + at, Target: fields[1], Kind: fields[2]}
	switch event.Kind {
	case eventFail, eventReturn, eventPause, eventResume, eventSlow:
		if !trace.hasVM(event.Target) {
			return errors.NotValidf("event target: VM %q", event.Target)
		}
	case eventDomainDisconnect, eventDomainReturn:
		if !trace.hasDomain(event.Target) {
			return errors.NotValidf("event target: domain %q", event.Target)
		}
	case eventListEmpty:
	default:
		return errors.NotValidf("event kind %q", event.Kind)
	}
	trace.Events = append(trace.Events, event)
	return nil
}

func (trace *Trace) hasVM(name string) bool {
	for _, domain := range trace.Domains {
		for index := range domain.VMs {
			if domain.vmName(index) == name {
				return true
			}
		}
	}
	return false
}

func (trace *Trace) hasDomain(name string) bool {
	for _, domain := range trace.Domains {
		if domain.Name == name || domain.FailureDomain == name {
			return true
		}
	}
	return false
}

func (domain Domain) vmName(index int) string {
	number := strconv.Itoa(index)
	if index < 10 {
		number = "0" + number
	}
	return domain.Name + "-" + number
}
