package group

import (
	"fmt"
	"time"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A pendingCommit is the one write whose outcome is not known yet.
type pendingCommit struct {
	id     string
	record *Placement
}

func (commit pendingCommit) outstanding() bool { return commit.id != "" }

// readPlacement asks for the record, again when an answer stays out.
func (leader *Leader) readPlacement(now time.Time) []Effect {
	if leader.reading && now.Before(leader.readAt) {
		return nil
	}
	if now.Before(leader.retryAt) {
		return nil
	}
	leader.reading = true
	leader.readAt = now.Add(readRetry)
	return []Effect{ReadPlacement{}}
}

func (leader *Leader) noteNoPlacement(now time.Time) {
	leader.reading = false
	leader.retryAt = now.Add(commitRetry)
}

// notePlacement takes the record from the store. A record that this term has
// already written goes on; any other is taken over first.
func (leader *Leader) notePlacement(now time.Time, read PlacementRead) []Effect {
	if leader.phase != phaseReading || !leader.reading {
		return nil
	}
	leader.reading = false
	placement, err := leader.decode(read)
	if err != nil {
		leader.retryAt = now.Add(readRetry)
		return nil
	}
	landed := leader.commit.outstanding() && placement.change == leader.commit.id
	own := placement.leader == leader.writer() && placement.fence == leader.fence
	leader.commit = pendingCommit{}
	leader.placement = placement
	leader.revision = read.Revision
	if !landed && !own {
		leader.fence = 0
		leader.phase = phaseTaking
		return nil
	}
	if !own {
		leader.beginTerm(now)
	}
	leader.lead(now)
	return leader.publishPlacement()
}

func (leader *Leader) decode(read PlacementRead) (*Placement, error) {
	if read.Revision == 0 {
		return NewPlacement(leader.config.Domain), nil
	}
	return DecodePlacement(read.Record)
}

// takeOver writes the record under a fencing number above every known one.
func (leader *Leader) takeOver(now time.Time) []Effect {
	if leader.commit.outstanding() || now.Before(leader.retryAt) {
		return nil
	}
	record := leader.placement.clone()
	record.fence = max(record.fence, leader.highestFence()) + 1
	record.epoch = max(record.epoch, leader.highestEpoch())
	record.leader = leader.writer()
	return leader.write(record)
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

// highestFence returns the highest fencing number that an engine reported. It
// matters when the store has lost the record.
func (leader *Leader) highestFence() uint64 {
	highest := uint64(0)
	for _, vm := range leader.members {
		if vm.reported {
			highest = max(highest, vm.report.Fence)
		}
	}
	return highest
}

func (leader *Leader) write(record *Placement) []Effect {
	leader.changes++
	record.change = fmt.Sprintf("%s/%d", leader.writer(), leader.changes)
	encoded, err := record.Encode()
	if err != nil {
		panic(fmt.Sprintf("group: placement of %s: %v", leader.config.Domain, err))
	}
	record.seal()
	leader.commit = pendingCommit{id: record.change, record: record}
	return []Effect{Commit{ID: record.change, Record: encoded, Expect: leader.expect()}}
}

func (leader *Leader) noteCommit(now time.Time, done CommitDone) []Effect {
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
		leader.reread()
	}
	return nil
}

// committed makes the written record the current one.
func (leader *Leader) committed(now time.Time, revision uint64) []Effect {
	leader.placement = leader.commit.record
	leader.revision = revision
	leader.commit = pendingCommit{}
	if leader.phase == phaseTaking {
		leader.beginTerm(now)
	}
	leader.lead(now)
	return leader.publishPlacement()
}

// beginTerm starts the wait for orders of earlier leaders to run out.
func (leader *Leader) beginTerm(now time.Time) {
	leader.fence = leader.placement.fence
	leader.quietUntil = now
	if !leader.strictest().ChecksSequence {
		leader.quietUntil = now.Add(leader.config.LeaseDuration + leader.longestDelay())
	}
	leader.settleAt = now.Add(settleFactor * leader.policy.GrantBound)
	leader.forgetOrders()
}

func (leader *Leader) lead(now time.Time) {
	leader.phase = phaseLeading
	leader.planAt = now
	leader.adoptSeats(now)
	leader.noteClosed(now)
}

// adoptSeats makes the record's VMs known that the platform's list lacks.
func (leader *Leader) adoptSeats(now time.Time) {
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

// reread finds out what became of a write: the record's change id tells
// whether it took effect. A write that is still on its way cannot take effect
// after the next one, because both expect the same revision.
func (leader *Leader) reread() {
	leader.phase = phaseReading
	leader.reading = false
}

func (leader *Leader) publishPlacement() []Effect {
	encoded, err := leader.placement.Encode()
	if err != nil {
		panic(fmt.Sprintf("group: placement of %s: %v", leader.config.Domain, err))
	}
	return []Effect{PublishPlacement{Record: encoded, Revision: leader.revision}}
}
