package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/peer"
	"lacewingspoke.org/lacewingspoke/quarantine"
)

const (
	// partsTimeout bounds a report of ended targets and a question about parts. It is
	// far above the time of a call within the fleet.
	partsTimeout = 200 * time.Millisecond

	// firstAsked is the number of nodes that are asked about parts before all others
	// are: parts that many requests have succeed at most nodes.
	firstAsked = 16

	// maxTellsAtOnce bounds the nodes to which a decision is sent at the same time.
	maxTellsAtOnce = 32

	// maxRecentEndings bounds the ends that a node reports again to new receivers, and
	// maxReportEndings those in one report, which keeps it below admin.MaxRequestBytes.
	maxRecentEndings = 64
	maxReportEndings = 8

	// recordRetry is the delay before a report is sent or a quarantine record is written
	// again.
	recordRetry = 200 * time.Millisecond
)

// quarantineState holds the parts of prompts in quarantine, and the evidence against
// parts on the nodes that decide.
type quarantineState struct {
	tracker *quarantine.Tracker
	ledger  *quarantine.Ledger

	// recent are the last ends that this node saw, after dropped earlier ones. receivers
	// are the nodes that they are reported to, by name and incarnation.
	recent    []quarantine.Ending
	dropped   int
	receivers map[string]*endingReceiver

	// records are the records in the store, and decided those that this node has received and
	// not yet read, both by key.
	records map[string]quarantineRecord
	decided map[string]decision

	// asking is true while the nodes are asked about parts. writing holds the keys of
	// the records that are being written.
	asking  bool
	writing map[string]bool
}

// A decision is a record that has not been read from the store.
type decision struct {
	quarantine.Record
	at time.Time
}

// A quarantineRecord is a record as it was read from the store.
type quarantineRecord struct {
	quarantine.Record
	revision uint64

	// readAt is when this node first read the revision.
	readAt time.Time
}

func newQuarantineState(tracker *quarantine.Tracker) *quarantineState {
	return &quarantineState{
		tracker: tracker,
		ledger:  quarantine.NewLedger(),
		records: map[string]quarantineRecord{},
		decided: map[string]decision{},
		writing: map[string]bool{},
	}
}

// An endingReceiver is a node that adds up the ends of targets.
type endingReceiver struct {
	// received is the number of the last end that it has received.
	received int

	// sending is true while a report is sent. failed is true if the last one failed, and
	// retryAt is when the next one may be sent.
	sending bool
	failed  bool
	retryAt time.Time
}

// endingsReported is the result of reporting the ends of targets to a receiver.
type endingsReported struct {
	receiver string
	last     int
	err      error
}

// partsAsked is the result of asking the other nodes about parts.
type partsAsked struct {
	parts   []string
	soundAt map[string]time.Time

	// asked is the number of nodes that were asked, and answered those that replied.
	asked, answered int
}

// recordWritten is the outcome of writing or deleting a quarantine record.
type recordWritten struct {
	key     string
	change  recordChange
	outcome kvstore.PutOutcome
}

// A recordChange is the reason for which a record is written.
type recordChange int

const (
	recordCreated recordChange = iota + 1
	recordProbed
	recordDeleted
)

func (endingsReported) message() {}
func (partsAsked) message()      {}
func (recordWritten) message()   {}

// tickQuarantine reports the ends of targets that this node saw, decides on parts if
// this node is one of those that do, and keeps the records.
func (state *state) tickQuarantine(now time.Time) {
	quarantined := state.quarantine
	state.reportEndings(now, quarantined.tracker.TakeEndings())
	state.expireDecisions(now)
	decides := state.decides()
	if !quarantined.asking && decides {
		if parts := quarantined.ledger.Suspects(now); len(parts) > 0 {
			state.askParts(now, parts)
		}
	}
	if decides {
		for key, known := range quarantined.records {
			if known.Expired(now.Sub(known.readAt)) {
				state.deleteRecord(key)
			}
		}
	}
	for _, part := range quarantined.tracker.TakeWanted() {
		state.claimProbe(now, quarantine.Key(part))
	}
	for _, part := range quarantined.tracker.TakePassed() {
		state.deleteRecord(quarantine.Key(part))
	}
}

// endingReceivers returns the nodes to which ends of targets are reported: those that
// decide, and in a small fleet all, so that the evidence outlives the loss of most nodes.
func (state *state) endingReceivers() []fleet.Node {
	if state.fleet.Size() <= fleet.FullMeshNodes {
		return state.fleet.Nodes()
	}
	return state.fleet.Readers()
}

// decides reports whether this node decides on parts: if it is one of the readers, or if
// it can report to no node.
func (state *state) decides() bool {
	reachable := false
	for _, receiver := range state.quarantine.receivers {
		reachable = reachable || !receiver.failed
	}
	return !reachable || state.isOneOf(state.fleet.Readers())
}

// isOneOf reports whether this node is among some nodes.
func (state *state) isOneOf(nodes []fleet.Node) bool {
	return slices.ContainsFunc(nodes, func(node fleet.Node) bool { return node.Name == state.config.Name })
}

// reportEndings reports the ends of targets to the nodes that add them up: all recent ones
// to a node that begins to, which has nothing of what was reported before.
func (state *state) reportEndings(now time.Time, endings []quarantine.Ending) {
	quarantined := state.quarantine
	for _, ending := range endings {
		state.metrics.endings.Inc()
		state.logger.Info("target ended under requests", zap.String("target", ending.Target), zap.Strings("parts", ending.Parts))
	}
	quarantined.recent = append(quarantined.recent, endings...)
	for len(quarantined.recent) > maxRecentEndings || len(quarantined.recent) > 0 && now.Sub(quarantined.recent[0].At) > quarantine.EndingMemory {
		quarantined.recent = quarantined.recent[1:]
		quarantined.dropped++
	}
	receivers := map[string]*endingReceiver{}
	for _, node := range state.endingReceivers() {
		key := node.Name + "/" + node.Incarnation
		receiver := quarantined.receivers[key]
		if receiver == nil {
			receiver = &endingReceiver{}
		}
		receivers[key] = receiver
		first := max(0, receiver.received-quarantined.dropped)
		unsent := quarantined.recent[first:min(first+maxReportEndings, len(quarantined.recent))]
		last := quarantined.dropped + first + len(unsent)
		switch {
		case len(unsent) == 0 || receiver.sending || now.Before(receiver.retryAt):
		case node.Name == state.config.Name:
			state.addEndings(unsent)
			receiver.received = last
		case state.config.ReportEndings != nil:
			receiver.sending = true
			state.sendEndings(key, node.AdminAddress, slices.Clone(unsent), last)
		}
	}
	quarantined.receivers = receivers
}

func (state *state) addEndings(endings []quarantine.Ending) {
	for _, ending := range endings {
		state.quarantine.ledger.Add(ending)
	}
}

// sendEndings sends ends of targets to a receiver. last is the number of ends
// that it has received then.
func (state *state) sendEndings(key, address string, endings []quarantine.Ending, last int) {
	state.startWorker(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, partsTimeout)
		defer cancel()
		reports := make([]admin.EndingReport, 0, len(endings))
		for _, ending := range endings {
			age := state.now().Sub(ending.At)
			reports = append(reports, admin.EndingReport{Target: ending.Target, Parts: ending.Parts, AgeMillis: age.Milliseconds()})
		}
		return endingsReported{receiver: key, last: last, err: state.config.ReportEndings(ctx, address, reports)}
	})
}

// handleEndingsReported records the outcome of a report. If no receiver can be reached,
// this node adds the ends up itself.
func (state *state) handleEndingsReported(now time.Time, result endingsReported) {
	receiver := state.quarantine.receivers[result.receiver]
	if receiver == nil {
		return
	}
	receiver.sending = false
	receiver.failed = result.err != nil
	if !receiver.failed {
		receiver.received = result.last
		return
	}
	receiver.retryAt = now.Add(recordRetry)
	for _, other := range state.quarantine.receivers {
		if !other.failed {
			return
		}
	}
	state.logger.Warn("no node took the report of ended targets", zap.Error(result.err))
	state.addEndings(state.quarantine.recent)
}

// TakeEndings adds up the ends of targets that another node reports.
func (controller *Controller) TakeEndings(ctx context.Context, reports []admin.EndingReport) error {
	return controller.do(ctx, func(now time.Time) {
		for _, report := range reports {
			age := time.Duration(max(0, report.AgeMillis)) * time.Millisecond
			controller.state.quarantine.ledger.Add(quarantine.Ending{Target: report.Target, Parts: report.Parts, At: now.Add(-age)})
		}
	})
}

// PartAges returns, for each of the parts that succeeded at this node, the time since
// then.
func (controller *Controller) PartAges(parts []string) map[string]time.Duration {
	ages := map[string]time.Duration{}
	for part, at := range controller.config.Quarantine.SoundAt(parts) {
		ages[part] = controller.config.Timers.Now().Sub(at)
	}
	return ages
}

// otherNodes returns the admin addresses of the other live nodes.
func (state *state) otherNodes() []string {
	var addresses []string
	for _, node := range state.fleet.Nodes() {
		if node.Name != state.config.Name && node.AdminAddress != "" {
			addresses = append(addresses, node.AdminAddress)
		}
	}
	return addresses
}

// askParts asks the other nodes when they last saw the parts succeed.
func (state *state) askParts(now time.Time, parts []string) {
	addresses := state.otherNodes()
	state.config.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	own := state.quarantine.tracker.SoundAt(parts)
	if len(addresses) > 0 && state.config.AskParts == nil {
		return
	}
	state.quarantine.asking = true
	state.startWorker(func(ctx context.Context) message {
		result := partsAsked{parts: parts, soundAt: own}
		for _, wave := range [][]string{addresses[:min(firstAsked, len(addresses))], addresses[min(firstAsked, len(addresses)):]} {
			if !result.allPresumed(now) {
				state.askNodes(ctx, wave, &result)
			}
		}
		return result
	})
}

// allPresumed reports whether each part counts as sound, so that no more nodes need to be
// asked.
func (result *partsAsked) allPresumed(now time.Time) bool {
	for _, part := range result.parts {
		if !quarantine.Presumed(result.soundAt[part], now) {
			return false
		}
	}
	return true
}

// callNodes makes a call to each address, at most atOnce at a time, and returns when all
// have ended.
func callNodes(ctx context.Context, addresses []string, atOnce int, call func(ctx context.Context, address string)) {
	places := make(chan struct{}, atOnce)
	done := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		go func(ctx context.Context, done chan<- struct{}) {
			places <- struct{}{}
			ctx, cancel := context.WithTimeout(ctx, partsTimeout)
			call(ctx, address)
			cancel()
			<-places
			done <- struct{}{}
		}(ctx, done)
	}
	for range addresses {
		<-done
	}
}

// askNodes asks nodes at the same time and adds their replies to the result.
func (state *state) askNodes(ctx context.Context, addresses []string, result *partsAsked) {
	sent := state.now()
	replies := make(chan map[string]time.Duration, len(addresses))
	callNodes(ctx, addresses, len(addresses), func(ctx context.Context, address string) {
		ages, err := state.config.AskParts(ctx, address, result.parts)
		if err != nil {
			ages = nil
		}
		replies <- ages
	})
	for range addresses {
		ages := <-replies
		result.asked++
		if ages == nil {
			continue
		}
		result.answered++
		for part, age := range ages {
			if at := sent.Add(-age); at.After(result.soundAt[part]) {
				result.soundAt[part] = at
			}
		}
	}
}

// handlePartsAsked decides on the parts. A node that reaches less than half of the
// others decides nothing: what it does not see may be sound elsewhere.
func (state *state) handlePartsAsked(now time.Time, result partsAsked) {
	state.quarantine.asking = false
	if 2*result.answered < result.asked {
		state.logger.Warn("too few nodes answered to decide on parts", zap.Int("asked", result.asked), zap.Int("answered", result.answered), zap.Strings("parts", result.parts))
		return
	}
	for _, record := range state.quarantine.ledger.Judge(result.parts, result.soundAt, now) {
		record.Node = state.config.Name
		state.logger.Warn("part of prompts put in quarantine", zap.String("part", record.Part), zap.Strings("targets", record.Targets),
			zap.Int("asked", result.asked), zap.Int("answered", result.answered))
		key := quarantine.Key(record.Part)
		value := encodeRecord(record)
		state.adoptDecision(now, record)
		state.tellDecision(record.Part, value)
		state.writeRecord(key, value, recordCreated, kvstore.ExpectAbsent())
	}
}

// tellDecision sends a decision to all nodes, because the store may be slow or down. The
// nodes that it does not reach read the record.
func (state *state) tellDecision(part string, value []byte) {
	if state.config.TellDecision == nil {
		return
	}
	addresses := state.otherNodes()
	state.startWorker(func(ctx context.Context) message {
		callNodes(ctx, addresses, maxTellsAtOnce, func(ctx context.Context, address string) {
			if err := state.config.TellDecision(ctx, address, value); err != nil {
				state.logger.Info("node not told of a decision", zap.String("part", part), zap.Error(err))
			}
		})
		return workerEnded{}
	})
}

// TakeDecision adopts the record of a decision of another node before it is in the store.
// It returns an errors.NotValid error for a malformed record.
func (controller *Controller) TakeDecision(ctx context.Context, value []byte) error {
	record, err := quarantine.ParseRecord(value)
	if err != nil {
		return errors.Trace(err)
	}
	return controller.do(ctx, func(now time.Time) { controller.state.adoptDecision(now, record) })
}

// adoptDecision puts a part in quarantine whose record has not been read yet.
func (state *state) adoptDecision(now time.Time, record quarantine.Record) {
	key := quarantine.Key(record.Part)
	if _, found := state.records.known[key]; !found {
		state.quarantine.decided[key] = decision{Record: record, at: now}
		state.setQuarantined()
	}
}

// expireDecisions drops decisions whose records never appeared.
func (state *state) expireDecisions(now time.Time) {
	before := len(state.quarantine.decided)
	maps.DeleteFunc(state.quarantine.decided, func(_ string, decided decision) bool { return now.Sub(decided.at) > quarantine.EndingMemory })
	if len(state.quarantine.decided) < before {
		state.setQuarantined()
	}
}

func encodeRecord(record quarantine.Record) []byte {
	value, err := record.Encode()
	if err != nil {
		panic(errors.Annotate(err, "control: encode quarantine record"))
	}
	return value
}

// writeRecord writes a record. A record that is created is written until the store has
// answered.
func (state *state) writeRecord(key string, value []byte, change recordChange, expect kvstore.Expect) {
	state.quarantine.writing[key] = true
	state.startWorker(func(ctx context.Context) message {
		put := func() kvstore.PutOutcome {
			return state.config.Platform.Put(ctx, kvstore.PutRequest{Key: key, Value: value, Expect: expect})
		}
		if change == recordCreated {
			return recordWritten{key: key, change: change, outcome: state.repeatWrite(ctx, put)}
		}
		return recordWritten{key: key, change: change, outcome: put()}
	})
}

// claimProbe claims the next probe of a part, if it is due. Of several nodes that claim
// it, the store lets one write the record.
func (state *state) claimProbe(now time.Time, key string) {
	known, found := state.quarantine.records[key]
	if !found || state.quarantine.writing[key] || now.Sub(known.readAt) < known.ProbeDelay() {
		return
	}
	record := known.Record
	record.Probes++
	state.writeRecord(key, encodeRecord(record), recordProbed, kvstore.ExpectRevision(known.revision))
}

// deleteRecord ends the quarantine of a part whose probe succeeded.
func (state *state) deleteRecord(key string) {
	known, found := state.quarantine.records[key]
	if !found || state.quarantine.writing[key] {
		return
	}
	state.quarantine.writing[key] = true
	state.startWorker(func(ctx context.Context) message {
		outcome := state.config.Platform.Delete(ctx, key, kvstore.ExpectRevision(known.revision))
		return recordWritten{key: key, change: recordDeleted, outcome: outcome}
	})
}

// Release ends the quarantine of a part. It returns an errors.NotFound error for a part
// that is not in quarantine.
func (controller *Controller) Release(ctx context.Context, request admin.ReleaseRequest) (admin.ReleaseResult, error) {
	if request.Part == "" || request.Reason == "" {
		return admin.ReleaseResult{}, errors.NotValidf("release without part or reason")
	}
	key := quarantine.Key(request.Part)
	var known quarantineRecord
	var found bool
	err := controller.do(ctx, func(time.Time) { known, found = controller.state.quarantine.records[key] })
	if err != nil {
		return admin.ReleaseResult{}, errors.Trace(err)
	}
	if !found {
		return admin.ReleaseResult{}, errors.NotFoundf("part %q in quarantine", request.Part)
	}
	outcome := controller.config.Platform.Delete(ctx, key, kvstore.ExpectRevision(known.revision))
	if _, written := outcome.(kvstore.Written); !written {
		return admin.ReleaseResult{}, errors.Errorf("store did not delete the record: %T%+v", outcome, outcome)
	}
	controller.config.Logger.Info("part released", zap.String("part", request.Part), zap.String("author", request.Author), zap.String("reason", request.Reason))
	return admin.ReleaseResult{Targets: known.Targets}, nil
}

func (state *state) handleRecordWritten(now time.Time, result recordWritten) {
	delete(state.quarantine.writing, result.key)
	known, found := state.quarantine.records[result.key]
	_, written := result.outcome.(kvstore.Written)
	if result.change == recordProbed && written && found {
		state.quarantine.tracker.Permit(known.Part, now)
		state.logger.Info("probing a part in quarantine", zap.String("part", known.Part), zap.Int("probes", known.Probes+1))
		return
	}
	if !written {
		state.logger.Info("quarantine record not written", zap.String("key", result.key), zap.Any("outcome", result.outcome))
	}
}

// adoptQuarantine applies a changed record of a part.
func (state *state) adoptQuarantine(now time.Time, frame peer.Record) {
	known, found := state.quarantine.records[frame.Key]
	delete(state.quarantine.decided, frame.Key)
	defer state.setQuarantined()
	if len(frame.Value) == 0 {
		delete(state.quarantine.records, frame.Key)
		state.logger.Info("quarantine of part ended", zap.String("part", known.Part), zap.Uint64("revision", frame.Revision))
		return
	}
	record, err := quarantine.ParseRecord(frame.Value)
	if err != nil {
		state.metrics.badRecords.Inc()
		state.logger.Warn("invalid quarantine record", zap.String("key", frame.Key), zap.Error(err))
		return
	}
	if !found {
		state.logger.Info("part is in quarantine", zap.String("part", record.Part), zap.String("decided-by", record.Node), zap.Uint64("revision", frame.Revision))
	}
	state.quarantine.records[frame.Key] = quarantineRecord{Record: record, revision: frame.Revision, readAt: now}
}

// setQuarantined passes the parts in quarantine on.
func (state *state) setQuarantined() {
	parts := state.quarantinedParts()
	state.metrics.quarantined.Set(float64(len(parts)))
	state.quarantine.tracker.SetQuarantined(parts)
	state.quarantine.ledger.SetQuarantined(parts)
}

// quarantinedParts returns the sorted parts in quarantine.
func (state *state) quarantinedParts() []string {
	parts := map[string]bool{}
	for _, record := range state.quarantine.records {
		parts[record.Part] = true
	}
	for _, record := range state.quarantine.decided {
		parts[record.Part] = true
	}
	return slices.Sorted(maps.Keys(parts))
}
