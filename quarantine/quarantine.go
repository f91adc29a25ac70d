// Package quarantine finds the parts of prompts that end the targets which answer
// them, and keeps requests with such a part away from targets.
//
// A request that ends its target is dangerous because it is retried: by the node at
// another target, and by its caller at another node. Requests with a part in common
// do the same. Each end takes the streams of all other requests at the target with it.
//
// # Evidence
//
// A target that ends has a set of requests in progress, most of them sound. A Tracker
// records which parts they have, except those of answers that have been written for a
// while. One end proves nothing about any of them. A part that was there when several
// targets ended, and with which no answer has been written lately, is what ends them:
// sound parts are in other requests that succeed. The ends that such a part explains
// are not held against the parts that were there with it.
//
// In a large fleet each node sees few of the ends and few of the successes. Every node
// therefore reports the ends that it sees to a few nodes, each of which adds them up in
// a Ledger. When a part reaches MinEndings, the node asks the others when they last saw
// the part succeed, and only then decides. The decision is a Record in the store, which
// all nodes follow.
//
// A whole request counts as a part too (RequestPart): a caller may repeat one of which all
// other parts are sound. Of a request and the parts that it has, which were at the same
// ends, the request is the narrower explanation. Its parts remain under suspicion: one
// further end without the request is enough for them.
//
// # Quarantine
//
// A part in quarantine is refused at once, as not run, and attempts in progress that
// have written nothing are cancelled. A decision may be wrong, or the targets may have
// been repaired: after Record.ProbeDelay, one node may send one request with the part.
// If it succeeds, the record is deleted.
//
// # What holds without the others
//
// A node that reaches neither the store nor the other nodes keeps the parts in
// quarantine that it has, and does not retry requests whose parts were at two ends
// that it saw itself. It gets no new ones, because what it sees alone would also
// condemn sound parts that are rare at this node. A node that has just started has
// the parts in quarantine once it has listed the records.
//
// # Usage
//
//	tracker := quarantine.NewTracker()
//	admission := tracker.Admit(parts, now)
//	if admission.Refused() {
//		return // not run
//	}
//	attempt := tracker.Begin(target, parts, admission, cancel, now)
//	defer attempt.Close()
//	attempt.EventArrived(now)
//	...
//	if attempt.Broken(now) {
//		tracker.TargetProbed(target, connectionRefused, now)
//	}
//	endings := tracker.TakeEndings()
//
//	ledger := quarantine.NewLedger()
//	ledger.Add(endings[0])
//	decided := ledger.Judge(ledger.Suspects(now), answers, now)
//
// A Tracker is safe for concurrent use, a Ledger is not. Neither performs I/O or reads
// a clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// MinEndings is the number of targets that must end under a part, without a success in
// between, before the part is put in quarantine. Two ends are common for sound parts
// when a fabric domain fails, because a lost request is retried at once.
const MinEndings = 3

// EndingMemory is how long an end under a part counts.
const EndingMemory = 10 * time.Minute

// Prefix is the prefix of the keys of records in the store. It is below the prefix of the
// fabric domains, which all nodes follow: each prefix more costs a node that reads the
// store through others 2.5 reads a second.
const Prefix = "domain/*/quarantine/"

// An Ending is the end of a target while requests with some parts were in progress
// there.
type Ending struct {
	// Target identifies one life of the target.
	Target string
	Parts  []string
	At     time.Time
}

// A Record is the decision that a part is in quarantine.
type Record struct {
	Part string `json:"part"`

	// Targets are the targets that ended under the part.
	Targets []string `json:"targets"`

	// Node is the name of the node that decided.
	Node string `json:"node"`

	// Probes is the number of requests that were let through since.
	Probes int `json:"probes"`
}

const (
	// firstProbeDelay is longer than the time in which the targets that ended start
	// again. Each further delay is probeDelayFactor times longer, up to maxProbeDelay:
	// a probe of a part that still ends targets costs every stream at its target.
	firstProbeDelay  = 30 * time.Second
	probeDelayFactor = 10
	maxProbeDelay    = time.Hour
)

// requestPrefix begins the names of parts that stand for whole requests.
const requestPrefix = "request-"

// RequestPart returns the part that stands for a whole request, which is the same each time
// that a caller repeats it. Requests of other callers may have the same URI and body, and
// requests of one caller the same body with another prompt. prompt holds the parts of the
// prompt, if it is not in the body.
func RequestPart(caller, method, host, uri string, prompt []string, body []byte) string {
	hash := sha256.New()
	writeTexts(hash, caller, method, host, uri)
	writeLength(hash, len(body))
	_, _ = hash.Write(body)
	writeTexts(hash, prompt...)
	return requestPrefix + partName(hash)
}

// isRequest reports whether a part stands for a whole request.
func isRequest(part string) bool { return strings.HasPrefix(part, requestPrefix) }

// RetryAfter is the wait before a caller retries a request with a part in quarantine.
const RetryAfter = firstProbeDelay

// Expired reports whether the record of a whole request is no longer needed: it was last
// written the given time ago, and nobody has repeated the request since the last probe was
// due. Few requests are ever repeated, so that their records would add up.
func (record Record) Expired(age time.Duration) bool {
	return isRequest(record.Part) && age > requestLifetime
}

// requestLifetime is longer than any delay between probes.
const requestLifetime = 2 * maxProbeDelay

// ProbeDelay returns the time from the last write of the record to the next probe.
func (record Record) ProbeDelay() time.Duration {
	delay := firstProbeDelay
	for probes := record.Probes; probes > 0 && delay < maxProbeDelay; probes-- {
		delay *= probeDelayFactor
	}
	return min(delay, maxProbeDelay)
}

// Key returns the key of the record of a part. Callers choose the names of parts, so the
// key contains a digest.
func Key(part string) string { return Prefix + PartOf(part) }

// PartOf returns the name of a part that is known by its texts.
func PartOf(texts ...string) string {
	hash := sha256.New()
	writeTexts(hash, texts...)
	return partName(hash)
}

// writeTexts writes texts with their lengths to a hash, which does not fail.
func writeTexts(hash hash.Hash, texts ...string) {
	for _, text := range texts {
		writeLength(hash, len(text))
		_, _ = io.WriteString(hash, text)
	}
}

func writeLength(hash hash.Hash, length int) {
	_, _ = io.WriteString(hash, strconv.Itoa(length)+" ")
}

func partName(hash hash.Hash) string { return hex.EncodeToString(hash.Sum(nil)[:16]) }

// Encode returns the value of the record in the store.
func (record Record) Encode() ([]byte, error) {
	value, err := json.Marshal(record)
	return value, errors.Trace(err)
}

// ParseRecord decodes the value of a record. It returns an errors.NotValid error if the
// value is malformed or names no part.
func ParseRecord(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, errors.NewNotValid(err, "quarantine record")
	}
	if record.Part == "" || record.Probes < 0 {
		return Record{}, errors.NotValidf("quarantine record without a part or with %d probes", record.Probes)
	}
	return record, nil
}
