package directory

import "time"

// The shares of the drain bound. Together they leave a part of it to the requests that are on
// their way when a node reads that a target has left.
const (
	targetWaitShare   = 0.125
	silenceShare      = 0.15
	sourceWaitShare   = 0.2
	sourceAnswerShare = 0.075
	readAgeShare      = 0.45
	relayedAgeShare   = 0.6
	lapseGraceShare   = 0.75
)

// The longest times of shares that need not grow with the drain bound.
const (
	maxTargetWait   = 2 * time.Second
	maxSilence      = 300 * time.Millisecond
	maxSourceWait   = 400 * time.Millisecond
	maxSourceAnswer = 150 * time.Millisecond
)

// relayedSources is the number of nodes in a row that hold a request of a node that reads through
// followers of the readers.
const relayedSources = 2

// The times that do not follow from the drain bound.
const (
	// ReadPause is the time between two reads of the targets by a node.
	ReadPause = 60 * time.Millisecond

	// ExpiryInterval is the time between two calls of Expire.
	ExpiryInterval = 50 * time.Millisecond

	// answerTime is far above the time in which the platform answers a read that does not wait.
	answerTime = 50 * time.Millisecond
)

// A DrainPlan divides the drain bound, the time for which a target that leaves may still receive
// requests, among the delays between the end of its announcement and the last request by it. A
// new delay on that way is stated here as a part of the bound.
type DrainPlan struct{ bound time.Duration }

// NewDrainPlan returns the plan of a drain bound.
func NewDrainPlan(bound time.Duration) DrainPlan { return DrainPlan{bound: bound} }

func (plan DrainPlan) share(share float64) time.Duration {
	return time.Duration(share * float64(plan.bound))
}

// TargetWait is how long a watch of the targets waits for a change. Each response confirms the
// targets.
func (plan DrainPlan) TargetWait() time.Duration {
	return min(maxTargetWait, plan.share(targetWaitShare))
}

// Silence is the time after which a read without a response is sent again on a new connection.
func (plan DrainPlan) Silence() time.Duration { return min(maxSilence, plan.share(silenceShare)) }

// SourceWait is how long a node that reads for others may hold one of their requests.
func (plan DrainPlan) SourceWait() time.Duration {
	return min(maxSourceWait, plan.share(sourceWaitShare))
}

// SourceAnswer is how long the answer of such a node may take if it does not hold the request.
func (plan DrainPlan) SourceAnswer() time.Duration {
	return min(maxSourceAnswer, plan.share(sourceAnswerShare))
}

// ReadAge is the age of the last confirmation at which a node that reads through the readers of
// the platform reads it itself.
func (plan DrainPlan) ReadAge() time.Duration { return plan.share(readAgeShare) }

// RelayedReadAge is ReadAge of a node that reads through followers of the readers. It is higher,
// so that the nodes that it reads through come first.
func (plan DrainPlan) RelayedReadAge() time.Duration { return plan.share(relayedAgeShare) }

// LapseGrace is the time after the last reading that contained a target in a fabric domain for
// which it is kept.
func (plan DrainPlan) LapseGrace() time.Duration { return plan.share(lapseGraceShare) }

// LastRequest returns the longest time from the end of an announcement to the last request by it,
// without the way of the request: at a node that reads the platform, whose connection is silent
// at that moment; at one whose sources are lost then, and whose own connection is silent; and
// until a target in a fabric domain that was read in time has ended its grace period.
func (plan DrainPlan) LastRequest() time.Duration {
	read := plan.Silence() + answerTime
	reader := plan.TargetWait() + ReadPause + plan.TargetWait() + read
	// The last request to a source may begin right before the age is reached.
	follower := max(plan.ReadAge(), plan.RelayedReadAge()) + ReadPause + plan.SourceAnswer() + read
	return max(reader, follower, plan.LapseGrace()) + ExpiryInterval
}

// Holds reports whether the last request by an announcement that has ended comes within the drain
// bound, and nodes that read through others read the platform only when these are lost. That is
// so for bounds of a second and more.
func (plan DrainPlan) Holds() bool {
	followed := plan.TargetWait()+plan.SourceWait() < plan.ReadAge()
	relayed := plan.TargetWait()+relayedSources*plan.SourceWait() < plan.RelayedReadAge()
	return followed && relayed && plan.LastRequest() < plan.bound
}
