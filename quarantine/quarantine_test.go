package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// endTarget begins requests with the parts at a target that then ends.
func endTarget(tracker *Tracker, target string, at time.Time, requests ...[]string) {
	for _, parts := range requests {
		attempt := tracker.Begin(target, parts, Admission{}, func() {})
		if attempt.Broken(at) {
			tracker.TargetProbed(target, true)
		}
		attempt.Close()
	}
}

func complete(tracker *Tracker, parts []string, firstEventAt time.Time) {
	attempt := tracker.Begin("sound", parts, Admission{}, func() {})
	defer attempt.Close()
	attempt.EventArrived(firstEventAt)
	attempt.Completed(firstEventAt.Add(time.Millisecond))
}

func partsOf(records []Record) []string {
	var parts []string
	for _, record := range records {
		parts = append(parts, record.Part)
	}
	return parts
}

// judge adds the endings of the trackers up, as the nodes of a fleet do.
func judge(now time.Time, ledger *Ledger, trackers ...*Tracker) []Record {
	soundAt := map[string]time.Time{}
	for _, tracker := range trackers {
		for _, ending := range tracker.TakeEndings() {
			ledger.Add(ending)
		}
	}
	suspects := ledger.Suspects(now)
	for _, tracker := range trackers {
		for part, at := range tracker.SoundAt(suspects) {
			if at.After(soundAt[part]) {
				soundAt[part] = at
			}
		}
	}
	return ledger.Judge(suspects, soundAt, now)
}

// Guards against a part that ends targets and goes unnoticed because each node sees
// only one of the ends.
func TestEndsAtDifferentNodesAddUp(test *testing.T) {
	ledger := NewLedger()
	var trackers []*Tracker
	for index := range MinEndings {
		tracker := NewTracker()
		trackers = append(trackers, tracker)
		at := start.Add(time.Duration(index) * time.Minute)
		endTarget(tracker, fmt.Sprint("t", index), at, []string{"shared", "bad"}, []string{"shared"})
		complete(tracker, []string{"shared"}, at.Add(time.Second))
		if index < MinEndings-1 {
			require.Empty(test, judge(at, ledger, trackers...))
		}
	}
	require.Equal(test, []string{"bad"}, partsOf(judge(start.Add(3*time.Minute), ledger, trackers...)))
}

// Guards against the quarantine of sound parts while nearly all targets are down and
// nothing succeeds, which would keep the route from recovering (rule LOST).
func TestKnownPartsAreSoundWhileAllTargetsAreDown(test *testing.T) {
	ledger, tracker := NewLedger(), NewTracker()
	complete(tracker, []string{"shared", "subject"}, start)
	for index := range 20 {
		requests := [][]string{{"shared", "subject"}}
		if index%2 == 0 {
			requests = append(requests, []string{"shared", "bad"})
		}
		endTarget(tracker, fmt.Sprint("t", index), start.Add(time.Duration(index)*time.Second), requests...)
	}
	require.Equal(test, []string{"bad"}, partsOf(judge(start.Add(30*time.Second), ledger, tracker)))
}

// Guards against the quarantine of rare parts that were at targets which another part
// ended.
func TestEndsThatAPartExplainsCountForNoOther(test *testing.T) {
	ledger, tracker := NewLedger(), NewTracker()
	for index := range 4 {
		requests := [][]string{{"shared", "bad"}}
		if index < MinEndings {
			requests = append(requests, []string{"rare"})
		}
		endTarget(tracker, fmt.Sprint("t", index), start, requests...)
	}
	require.Equal(test, []string{"bad"}, partsOf(judge(start, ledger, tracker)))
	endTarget(tracker, "t9", start, []string{"rare"}, []string{"bad"})
	require.Empty(test, judge(start.Add(time.Second), ledger, tracker))
	require.NotContains(test, ledger.parts, "rare")
}

// Guards against evidence that repeats: many requests at one target, or reports of one
// end by many nodes.
func TestOneTargetCountsOnce(test *testing.T) {
	ledger := NewLedger()
	for range 5 {
		tracker := NewTracker()
		endTarget(tracker, "t", start, []string{"a"}, []string{"a"})
		require.Empty(test, judge(start, ledger, tracker))
	}
}

// Guards against parts that are condemned although they succeeded after the targets
// ended.
func TestSuccessClearsEarlierEnds(test *testing.T) {
	ledger, tracker := NewLedger(), NewTracker()
	for index := range MinEndings {
		endTarget(tracker, fmt.Sprint("t", index), start, []string{"a"})
	}
	require.False(test, tracker.MayRetry([]string{"a"}, start))
	complete(tracker, []string{"a"}, start.Add(time.Second))
	require.True(test, tracker.MayRetry([]string{"a"}, start.Add(time.Second)))
	require.Empty(test, judge(start.Add(time.Hour), ledger, tracker))
	endTarget(tracker, "t9", start.Add(time.Hour), []string{"a"})
	require.Empty(test, judge(start.Add(time.Hour), ledger, tracker))
}

// Guards against responses that only break off being taken for the end of their target.
func TestBrokenAnswerOfALivingTargetIsNoEnd(test *testing.T) {
	tracker := NewTracker()
	attempt := tracker.Begin("t", []string{"a"}, Admission{}, func() {})
	defer attempt.Close()
	require.True(test, attempt.Broken(start))
	require.False(test, attempt.Broken(start), "the target is probed twice")
	tracker.TargetProbed("t", false)
	require.Empty(test, tracker.TakeEndings())
	require.True(test, attempt.Broken(start), "the target is not probed again")
}

// Guards against evidence from answers that have been written for a while: their parts
// do not end targets; and against parts that pass for sound because their targets end a
// few events later.
func TestAnswerInProgressIsSound(test *testing.T) {
	tracker := NewTracker()
	attempt := tracker.Begin("t", []string{"a"}, Admission{}, func() {})
	defer attempt.Close()
	attempt.EventArrived(start)
	attempt.EventArrived(start.Add(proofTime / 2))
	require.Empty(test, tracker.SoundAt([]string{"a"}))
	attempt.EventArrived(start.Add(proofTime))
	require.False(test, attempt.Broken(start.Add(proofTime)))
	require.Contains(test, tracker.SoundAt([]string{"a"}), "a")
}

// Guards against requests with a part in quarantine that reach targets: new ones, and
// those that were sent before.
func TestQuarantineRefusesAndCancels(test *testing.T) {
	tracker := NewTracker()
	cancelled, others := 0, 0
	waiting := tracker.Begin("t", []string{"shared", "bad"}, Admission{}, func() { cancelled++ })
	defer waiting.Close()
	sound := tracker.Begin("t", []string{"shared"}, Admission{}, func() { others++ })
	defer sound.Close()
	tracker.SetQuarantined([]string{"bad"})
	tracker.SetQuarantined([]string{"bad"})
	require.Equal(test, 1, cancelled)
	require.Zero(test, others)
	require.Equal(test, "bad", tracker.Admit([]string{"shared", "bad"}, start).Refused())
	require.Empty(test, tracker.Admit([]string{"shared"}, start).Refused())
	require.Equal(test, []string{"bad"}, tracker.TakeWanted())
	long := strings.Repeat("x", 10*maxPartBytes)
	tracker.SetQuarantined([]string{PartOf(long)})
	require.NotEmpty(test, tracker.Admit([]string{long}, start).Refused())
}

// Guards against more than one request for a permit, against permits that outlive their
// time, and against a part that stays in quarantine after its probe succeeded.
func TestPermitLetsOneProbeThrough(test *testing.T) {
	tracker := NewTracker()
	tracker.SetQuarantined([]string{"bad"})
	tracker.Permit("bad", start)
	require.NotEmpty(test, tracker.Admit([]string{"bad"}, start.Add(permitTime)).Refused())
	tracker.Permit("bad", start)
	admission := tracker.Admit([]string{"bad"}, start)
	require.True(test, admission.Probe())
	require.NotEmpty(test, tracker.Admit([]string{"bad"}, start).Refused())
	attempt := tracker.Begin("t", []string{"bad"}, admission, func() {})
	defer attempt.Close()
	attempt.Completed(start)
	require.Equal(test, []string{"bad"}, tracker.TakePassed())
}

// Guards against memory that grows with the callers' parts.
func TestPartsAreBounded(test *testing.T) {
	ledger, tracker := NewLedger(), NewTracker()
	for index := range 3 * maxLedgerParts {
		part := fmt.Sprint("p", index)
		ledger.Add(Ending{Target: "t", Parts: []string{part}, At: start})
		complete(tracker, []string{part}, start)
	}
	for index := range maxParts + 1 {
		endTarget(tracker, "t", start, []string{fmt.Sprint("lost", index)})
	}
	require.LessOrEqual(test, len(tracker.ends), maxParts)
	require.LessOrEqual(test, len(ledger.parts), maxLedgerParts)
	require.LessOrEqual(test, len(tracker.sound.newer)+len(tracker.sound.older), 2*maxParts+2)
}

// Guards against records of other writers that stop a node or condemn an empty part.
func TestParseRecordRejectsMalformedRecords(test *testing.T) {
	for _, text := range []string{"", "{", `{"part":""}`, `{"part":"a","probes":-1}`, `[]`} {
		_, err := ParseRecord([]byte(text))
		require.True(test, errors.Is(err, errors.NotValid), text)
	}
	value, err := Record{Part: "a", Probes: 1}.Encode()
	require.NoError(test, err)
	record, err := ParseRecord(value)
	require.NoError(test, err)
	require.Equal(test, firstProbeDelay*probeDelayFactor, record.ProbeDelay())
	record.Probes = 1 << 20
	require.Equal(test, maxProbeDelay, record.ProbeDelay())
}

func addEndings(ledger *Ledger, now time.Time, endings map[string][]string) {
	for _, target := range slices.Sorted(maps.Keys(endings)) {
		ledger.Add(Ending{Target: target, Parts: endings[target], At: now})
	}
}

func judged(ledger *Ledger, now time.Time) []string {
	var parts []string
	for _, record := range ledger.Judge(ledger.Suspects(now), nil, now) {
		parts = append(parts, record.Part)
	}
	return parts
}

// Guards against a repeated request that is never put in quarantine because its other
// parts are sound, and against the quarantine of these parts (incident second1). Guards as
// well against a part that ends targets and is held to be explained by one request.
func TestRepeatedRequestExplainsEndsOfItsParts(test *testing.T) {
	now := time.Unix(1000, 0)
	ledger := NewLedger()
	repeated := RequestPart("key", "POST", "host", "/d/", []string{"subject", "own"}, []byte("body"))
	other := RequestPart("key", "POST", "host", "/d/", []string{"subject", "other"}, []byte("body"))
	addEndings(ledger, now, map[string][]string{"t1": {repeated, "subject"}, "t2": {repeated, "subject"}, "t3": {repeated, "subject", other}})
	require.Equal(test, []string{repeated}, judged(ledger, now))
	addEndings(ledger, now, map[string][]string{"t4": {repeated, "subject"}})
	later := now.Add(askInterval)
	require.Empty(test, judged(ledger, later), "the request explains the fourth end")
	addEndings(ledger, now, map[string][]string{"t5": {other, "subject"}})
	require.Equal(test, []string{"subject"}, judged(ledger, later.Add(askInterval)), "a part ended a target with another request")
}

// Guards against a repeated request that goes on because another one was at the same ends.
func TestRequestsAtTheSameEndsAreJudgedTogether(test *testing.T) {
	now := time.Unix(1000, 0)
	ledger := NewLedger()
	first, second := RequestPart("a", "GET", "h", "/", nil, nil), RequestPart("b", "GET", "h", "/", nil, nil)
	addEndings(ledger, now, map[string][]string{"t1": {first, second}, "t2": {first, second}, "t3": {first, second}})
	require.ElementsMatch(test, []string{first, second}, judged(ledger, now))
}

// Guards against successes of single requests that displace those of parts that many
// requests have, which then count as never seen to succeed.
func TestRequestsDoNotDisplaceOtherParts(test *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker()
	succeed := func(part string) {
		attempt := tracker.Begin("t", []string{part}, Admission{}, func() {})
		attempt.Completed(now)
		attempt.Close()
	}
	succeed("shared")
	for index := range 3 * maxParts {
		succeed(RequestPart("key", "GET", "h", fmt.Sprint("/", index), nil, nil))
	}
	require.Contains(test, tracker.SoundAt([]string{"shared"}), "shared")
}

// Guards against records of requests that stay for ever, and against other parts that
// leave quarantine because nobody asked for them.
func TestOnlyRecordsOfRequestsExpire(test *testing.T) {
	request := Record{Part: RequestPart("key", "GET", "h", "/", nil, nil), Probes: 9}
	require.False(test, request.Expired(request.ProbeDelay()))
	require.True(test, request.Expired(requestLifetime+time.Second))
	require.False(test, Record{Part: "part"}.Expired(1000*time.Hour))
}

// Guards against names of whole requests that nodes of earlier versions do not have: the body
// is one of the texts.
func TestRequestPartIsThatOfItsTexts(test *testing.T) {
	require.Equal(test, requestPrefix+PartOf("caller", "POST", "host", "/uri", "body", "a", "b"), RequestPart("caller", "POST", "host", "/uri", []string{"a", "b"}, []byte("body")))
}
