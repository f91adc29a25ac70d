package group

import (
	"fmt"
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A pendingCommit is the write of the placement record whose outcome is not
// known yet. There is at most one.
type pendingCommit struct {
	id     string
	record *Placement
}

func (commit pendingCommit) outstanding() bool { return commit.id != "" }

// readPlacement requests the placement record, and repeats a request that stays
// unanswered.
func (leader *Leader) readPlacement(now time.Time) []Effect {
	if leader.reading && now.Before(leader.readRetryAt) {
		return nil
	}
	if now.Before(leader.retryAt) {
		return nil
	}
	leader.reading = true
	leader.readRetryAt = now.Add(readRetry)
	return []Effect{ReadPlacement{}}
}

func (leader *Leader) handlePlacementUnavailable(now time.Time) {
	leader.reading = false
	leader.retryAt = now.Add(commitRetry)
}

// handlePlacementRead adopts the stored record. A record that carries the change
// id of the pending write, or this node's name and the current fencing number, is
// this leader's own, and it continues to lead. Any other record is taken over
// first.
func (leader *Leader) handlePlacementRead(now time.Time, read PlacementRead) []Effect {
	if leader.phase != phaseReading || !leader.reading {
		return nil
	}
	leader.reading = false
	placement, err := leader.decode(read)
	if err != nil {
		leader.retryAt = now.Add(readRetry)
		return nil
	}
	applied := leader.commit.outstanding() && placement.change == leader.commit.id
	own := placement.leader == leader.writer() && placement.fence == leader.fence
	if read.Lost || read.Era > leader.era {
		// The store has to get a record of this era, under a new fencing number.
		applied, own = false, false
	}
	leader.era = read.Era
	leader.commit = pendingCommit{}
	leader.placement = placement
	leader.revision = read.Revision
	if !applied && !own {
		leader.fence = 0
		leader.phase = phaseTakeover
		return nil
	}
	if !own {
		leader.beginTerm(now)
	}
	leader.startLeading(now)
	return leader.publishPlacement()
}

func (leader *Leader) decode(read PlacementRead) (*Placement, error) {
	if read.Revision == 0 {
		return NewPlacement(leader.config.Domain), nil
	}
	return DecodePlacement(read.Record)
}

// takeOver writes the record under a fencing number that is higher than the
// record's, every reported one and all of earlier eras of the store.
func (leader *Leader) takeOver(now time.Time) []Effect {
	if leader.commit.outstanding() || now.Before(leader.retryAt) {
		return nil
	}
	record := leader.placement.clone()
	record.fence = max(record.fence, leader.highestFence(), firstNumber(leader.era)) + 1
	record.epoch = max(record.epoch, leader.highestEpoch(), firstNumber(leader.era))
	record.leader = leader.writer()
	return leader.write(record, nil)
}

// eraNumberBits is the number of bits for the fencing numbers and epochs of one era. A
// domain has far fewer changes of leader and compositions between two returns of the store
// from a copy, and the numbers of all eras are exact in JSON.
const eraNumberBits = 24

// firstNumber returns a number above all fencing numbers and epochs of earlier eras. A
// store that returns from an older copy has lost the last ones, and engines that saw them
// would reject them for another leader or composition.
func firstNumber(era uint64) uint64 {
	if era <= kvstore.FirstEra {
		return 0
	}
	return (era - kvstore.FirstEra) << eraNumberBits
}

// highestEpoch returns the highest epoch that an engine reported.
func (leader *Leader) highestEpoch() uint64 {
	highest := uint64(0)
	for _, vm := range leader.members {
		if vm.reported {
			highest = max(highest, vm.report.Epoch)
		}
	}
	return highest
}

// highestFence returns the highest fencing number that an engine reported. It is
// needed when the store has lost the record.
func (leader *Leader) highestFence() uint64 {
	highest := uint64(0)
	for _, vm := range leader.members {
		if vm.reported {
			highest = max(highest, vm.report.Fence)
		}
	}
	return highest
}

func (leader *Leader) write(record *Placement, decisions []Decision) []Effect {
	leader.changeCount++
	record.change = fmt.Sprintf("%s/%d", leader.writer(), leader.changeCount)
	encoded, err := record.Encode()
	if err != nil {
		panic(fmt.Sprintf("group: encoding the placement record of %s: %v", leader.config.Domain, err))
	}
	record.buildIndex()
	leader.commit = pendingCommit{id: record.change, record: record}
	return []Effect{Commit{ID: record.change, Record: encoded, Expect: leader.expect(), Decisions: decisions}}
}

func (leader *Leader) handleCommitDone(now time.Time, done CommitDone) []Effect {
	if done.ID != leader.commit.id || !leader.commit.outstanding() {
		return nil
	}
	switch outcome := done.Outcome.(type) {
	case kvstore.Written:
		return leader.committed(now, outcome.Revision)
	case kvstore.Refused:
		leader.commit = pendingCommit{}
		leader.retryAt = now.Add(commitRetry)
	case kvstore.Conflict, kvstore.Unknown:
		leader.rereadPlacement()
	}
	return nil
}

// committed adopts the written record as the current one.
func (leader *Leader) committed(now time.Time, revision uint64) []Effect {
	leader.placement = leader.commit.record
	leader.revision = revision
	leader.commit = pendingCommit{}
	if leader.phase == phaseTakeover {
		leader.beginTerm(now)
	}
	leader.startLeading(now)
	return leader.publishPlacement()
}

// beginTerm adopts the new fencing number and starts the waits for late orders of
// earlier leaders and for reports.
func (leader *Leader) beginTerm(now time.Time) {
	leader.fence = leader.placement.fence
	leader.oldOrdersUntil = now
	if !leader.strictestClass().ChecksSequence {
		leader.oldOrdersUntil = now.Add(leader.config.LeaseDuration + leader.longestDelay())
	}
	leader.collectUntil = now.Add(collectFactor * leader.policy.GrantBound)
	leader.discardPending()
}

// collecting reports whether a new leader still collects reports.
func (leader *Leader) collecting(now time.Time) bool {
	return now.Before(leader.collectUntil) || now.Before(leader.awaitUntil)
}

func (leader *Leader) startLeading(now time.Time) {
	leader.phase = phaseLeading
	leader.planAt = now
	leader.addPlacedMembers(now)
	leader.recordDraining(now)
}

// addPlacedMembers adds members for the VMs of the record that the platform has
// not listed.
func (leader *Leader) addPlacedMembers(now time.Time) {
	for name, assignment := range leader.placement.vms {
		if _, found := leader.members[name]; found {
			continue
		}
		leader.addMember(now, kvstore.VM{
			Name:          name,
			Address:       assignment.Address,
			Incarnation:   assignment.Incarnation,
			FabricDomain:  leader.config.Domain,
			FailureDomain: assignment.FailureDomain,
		})
	}
}

// rereadPlacement reads the record to resolve the outcome of a write: the change
// id in the record shows whether the write took effect. A delayed write cannot
// take effect after the next one, because both expect the same revision.
func (leader *Leader) rereadPlacement() {
	leader.phase = phaseReading
	leader.reading = false
}

func (leader *Leader) publishPlacement() []Effect {
	encoded, err := leader.placement.Encode()
	if err != nil {
		panic(fmt.Sprintf("group: encoding the placement record of %s: %v", leader.config.Domain, err))
	}
	return []Effect{PublishPlacement{Record: encoded, Revision: leader.revision}}
}
