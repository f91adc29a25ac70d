package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// askInterval is the time between two rounds of questions about a part.
	askInterval = 250 * time.Millisecond

	// maxLedgerParts bounds the parts in a ledger. Those with the fewest ends are
	// dropped, then those whose last end is the oldest.
	maxLedgerParts = 8192
)

// A Ledger adds up the ends that the nodes of a fleet report, by parts. It is not safe
// for concurrent use.
type Ledger struct {
	parts       map[string]*ledgerPart
	quarantined map[string]bool

	// suspects are the parts that have reached MinEndings.
	suspects map[string]bool

	// explained holds the targets that ended under a part in quarantine. Their ends count
	// for no other part, or, if the part is a whole request, for no other request.
	explained map[string]explanation
}

// An explanation is the reason for the end of a target at a time.
type explanation struct {
	at      time.Time
	request bool
}

type ledgerPart struct {
	ends []targetEnd

	// askAt is the earliest time of the next question about the part.
	askAt time.Time
}

// NewLedger returns a ledger without ends.
func NewLedger() *Ledger {
	return &Ledger{
		parts: map[string]*ledgerPart{}, quarantined: map[string]bool{}, suspects: map[string]bool{}, explained: map[string]explanation{},
	}
}

// SetQuarantined replaces the parts in quarantine.
func (ledger *Ledger) SetQuarantined(parts []string) {
	clear(ledger.quarantined)
	for _, part := range parts {
		ledger.quarantined[part] = true
	}
}

// Add adds a reported end.
func (ledger *Ledger) Add(ending Ending) {
	for _, part := range ending.Parts {
		if ledger.quarantined[part] {
			ledger.explain(ending.Target, part, ending.At)
		}
	}
	reason, explained := ledger.explained[ending.Target]
	if explained && !reason.request {
		return
	}
	for _, part := range ending.Parts {
		if explained && isRequest(part) {
			continue
		}
		entry := ledger.parts[part]
		if entry == nil {
			entry = &ledgerPart{}
			ledger.parts[part] = entry
		}
		if !slices.ContainsFunc(entry.ends, func(end targetEnd) bool { return end.target == ending.Target }) {
			entry.ends = append(endsAfter(entry.ends, ending.At.Add(-EndingMemory)), targetEnd{target: ending.Target, at: ending.At, explained: explained})
		}
		if entry.suspicious() {
			ledger.suspects[part] = true
		}
	}
	if len(ledger.parts) > maxLedgerParts {
		ledger.shrink()
	}
}

// unexplained returns the number of ends that no request in quarantine explains.
func (entry *ledgerPart) unexplained() int {
	count := 0
	for _, end := range entry.ends {
		if !end.explained {
			count++
		}
	}
	return count
}

// suspicious reports whether a part has enough ends: MinEndings, or one more than that of
// which a request in quarantine explains all but one.
func (entry *ledgerPart) suspicious() bool {
	unexplained := entry.unexplained()
	return unexplained >= MinEndings || unexplained > 0 && len(entry.ends) > MinEndings
}

// explain records that a target ended under a part in quarantine.
func (ledger *Ledger) explain(target, reason string, at time.Time) {
	maps.DeleteFunc(ledger.explained, func(_ string, old explanation) bool { return at.Sub(old.at) > EndingMemory })
	known, found := ledger.explained[target]
	byRequest := isRequest(reason) && (!found || known.request)
	ledger.explained[target] = explanation{at: at, request: byRequest}
	for part, entry := range ledger.parts {
		for index := range entry.ends {
			if entry.ends[index].target == target {
				entry.ends[index].explained = true
			}
		}
		if byRequest && !isRequest(part) {
			continue
		}
		entry.ends = slices.DeleteFunc(entry.ends, func(end targetEnd) bool { return end.target == target })
		if len(entry.ends) == 0 {
			delete(ledger.parts, part)
		}
	}
}

// shrink drops a quarter of the parts.
func (ledger *Ledger) shrink() {
	names := slices.SortedFunc(maps.Keys(ledger.parts), func(left, right string) int {
		leftEnds, rightEnds := ledger.parts[left].ends, ledger.parts[right].ends
		return cmp.Or(cmp.Compare(len(leftEnds), len(rightEnds)),
			leftEnds[len(leftEnds)-1].at.Compare(rightEnds[len(rightEnds)-1].at))
	})
	for _, part := range names[:len(names)/4] {
		delete(ledger.parts, part)
	}
}

// Suspects returns the parts under which enough targets have ended and about which the
// nodes have to be asked now.
func (ledger *Ledger) Suspects(now time.Time) []string {
	var parts []string
	for part := range ledger.suspects {
		switch entry := ledger.parts[part]; {
		case entry == nil || !entry.suspicious():
			delete(ledger.suspects, part)
		case !now.Before(entry.askAt):
			entry.askAt = now.Add(askInterval)
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}

// Presumed reports whether a part that last succeeded at soundAt counts as sound at now.
func Presumed(soundAt, now time.Time) bool { return now.Sub(soundAt) < presumption }

// Judge decides on parts from the times at which the nodes last saw them succeed. A
// part that is missing in soundAt has succeeded at none of them. It returns the records
// of the parts to put in quarantine, without a node: those under which the most targets
// ended first, and whole requests before other parts, so that the ends which they explain
// are not held against the parts that were with them. Requests that were at the same ends
// cannot be told apart, and each of them concerns one caller only.
func (ledger *Ledger) Judge(parts []string, soundAt map[string]time.Time, now time.Time) []Record {
	for _, part := range parts {
		if entry := ledger.parts[part]; entry != nil {
			entry.ends = endsAfter(entry.ends, soundAt[part])
			if len(entry.ends) == 0 {
				delete(ledger.parts, part)
			}
		}
	}
	ends := map[string][]targetEnd{}
	for _, part := range parts {
		if entry := ledger.parts[part]; entry != nil && entry.suspicious() {
			ends[part] = slices.Clone(entry.ends)
		}
	}
	kind := func(part string) int {
		if isRequest(part) {
			return 0
		}
		return 1
	}
	sorted := slices.SortedFunc(maps.Keys(ends), func(left, right string) int {
		return cmp.Or(cmp.Compare(len(ends[right]), len(ends[left])), cmp.Compare(kind(left), kind(right)), cmp.Compare(left, right))
	})
	var records []Record
	for _, part := range sorted {
		entry := ledger.parts[part]
		suspicious := isRequest(part) || entry != nil && entry.suspicious()
		if ledger.quarantined[part] || !suspicious || Presumed(soundAt[part], now) {
			continue
		}
		record := Record{Part: part}
		for _, end := range ends[part] {
			record.Targets = append(record.Targets, end.target)
			ledger.explain(end.target, part, end.at)
		}
		ledger.quarantined[part] = true
		records = append(records, record)
	}
	return records
}
