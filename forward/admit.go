package forward

import (
	"iter"
	"time"

	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/route"
)

// arrive records the arrival of a request to groups. If its pool is known to be full for it,
// it refuses the request before its body is read, and returns false.
func (exchange *exchange) arrive() bool {
	server := exchange.server
	now := exchange.receivedAt
	pace := exchange.pace()
	tokens, size := pace.Events, 1.0
	if engine := exchange.service.Engine; exchange.caller.ExpectedTokens > 0 && engine.MeanAnswerTokens > 0 {
		expected := exchange.caller.ExpectedTokens
		if exchange.caller.MaxAnswerTokens > 0 {
			expected = min(expected, exchange.caller.MaxAnswerTokens)
		}
		tokens = expected / max(1, engine.Stride)
		size = float64(expected) / float64(engine.MeanAnswerTokens)
	}
	exchange.ticket = server.admission.Arrive(limit.AdmissionRequest{
		Pool: exchange.pool(), Route: exchange.route.Key(), Workspace: exchange.workspace.Name, Urgency: exchange.urgency(),
		Objective: exchange.route.Objective, Timeout: exchange.route.Timeout, Left: exchange.remaining(),
		Work: time.Duration(max(1, tokens))*pace.Pass + time.Duration(exchange.caller.PromptTokens)*pace.ReadPerToken,
		Size: size,
	}, now)
	if !exchange.ticket.Full(now) {
		return true
	}
	exchange.countVerdict("refuse", "known to be full")
	delay := exchange.ticket.RetryAfter(exchange.remaining(), server.randomFraction(), now)
	exchange.refuse("no group has a place: known to be full", exchange.restEndsIn()+delay)
	return false
}

// leave ends the admission of the request.
func (exchange *exchange) leave() {
	if exchange.ticket != nil {
		exchange.ticket.End()
	}
}

// admit decides on a request that no caller has an event of. The preferred group is that of
// the picker. It returns the group to which the request is to be sent, or false.
func (exchange *exchange) admit(preferred route.GroupTarget, table *route.Table, excluded map[string]bool, now time.Time) (route.GroupTarget, bool) {
	outlook := exchange.outlook(now)
	outlook.Candidates = exchange.candidates(preferred, table, excluded, now)
	switch verdict := exchange.decide(outlook, now).(type) {
	case limit.SendNow:
		if verdict.Group == preferred.Name {
			return preferred, true
		}
		return table.Group(verdict.Group)
	default:
		return route.GroupTarget{}, false
	}
}

// admitDealt decides on a request for which the deal of the places among the requests of all
// nodes has left a group, or none. It reports whether the request is to be sent there.
func (exchange *exchange) admitDealt(dealt route.GroupTarget, found bool, now time.Time) bool {
	outlook := exchange.outlook(now)
	outlook.Dealt = true
	outlook.Candidates = func(yield func(limit.AdmissionCandidate) bool) {
		if found {
			yield(exchange.candidateOf(dealt, now))
		}
	}
	_, send := exchange.decide(outlook, now).(limit.SendNow)
	return send
}

// outlook returns what is expected of the groups, without candidates.
func (exchange *exchange) outlook(now time.Time) limit.Outlook {
	idle := limit.IdleFirstEvent(exchange.pace()) + exchange.server.forecast.Correction(exchange.pool(), now)
	return limit.Outlook{Bound: exchange.firstEventBound(now), Idle: idle}
}

// allowedBound returns the bound on the predicted first event for the request.
func (exchange *exchange) allowedBound(now time.Time) time.Duration {
	if exchange.ticket == nil {
		return exchange.firstEventBound(now)
	}
	return exchange.ticket.Allow(exchange.outlook(now), now)
}

// position returns the place of the request among those of all nodes.
func (exchange *exchange) position(now time.Time) float64 {
	if exchange.ticket == nil {
		return exchange.draw
	}
	return exchange.ticket.Position(exchange.draw, now)
}

func (exchange *exchange) decide(outlook limit.Outlook, now time.Time) limit.AdmissionVerdict {
	exchange.verdict = exchange.ticket.Decide(outlook, now)
	switch exchange.verdict.(type) {
	case limit.SendNow:
		exchange.countVerdict("send", exchange.verdict.Reason())
	case limit.WaitForPlace:
		exchange.countVerdict("wait", exchange.verdict.Reason())
	case limit.RefuseNow:
		exchange.countVerdict("refuse", exchange.verdict.Reason())
	}
	return exchange.verdict
}

// countVerdict counts a decision on a request whose pool has groups. The names of other pools
// come from callers and have no bound.
func (exchange *exchange) countVerdict(verdict, reason string) {
	exchange.server.metrics.verdicts.WithLabelValues(exchange.pool(), verdict, reason).Inc()
}

// candidates returns the preferred group and then all others that take the request. Like the
// picker it returns suspects only if there is no other group.
func (exchange *exchange) candidates(preferred route.GroupTarget, table *route.Table, excluded map[string]bool, now time.Time) iter.Seq[limit.AdmissionCandidate] {
	return func(yield func(limit.AdmissionCandidate) bool) {
		if !yield(exchange.candidateOf(preferred, now)) {
			return
		}
		var trusted, suspects []route.GroupTarget
		for _, target := range exchange.groups(table) {
			switch {
			case target.Name == preferred.Name || excluded[target.Name] || !target.Usable(now):
			case exchange.server.suspects.Avoided(target.Name, now):
				suspects = append(suspects, target)
			default:
				trusted = append(trusted, target)
			}
		}
		if len(trusted) == 0 && exchange.server.suspects.Avoided(preferred.Name, now) {
			trusted = suspects
		}
		for _, target := range trusted {
			if !yield(exchange.candidateOf(target, now)) {
				return
			}
		}
	}
}

func (exchange *exchange) candidateOf(target route.GroupTarget, now time.Time) limit.AdmissionCandidate {
	slots := exchange.pace().Slots
	load := exchange.server.picker.GroupLoad(target, now)
	return limit.AdmissionCandidate{Group: target.Name, FirstEvent: exchange.predictFirstEvent(target, now), HalfFree: 2*load < slots}
}

// waitsForPlace returns how long the request is to wait for a place before another decision,
// or false if it is not to wait.
func (exchange *exchange) waitsForPlace() (time.Duration, bool) {
	wait, found := exchange.verdict.(limit.WaitForPlace)
	return wait.For, found
}

// refusalDelay returns the Retry-After of a request that is refused.
func (exchange *exchange) refusalDelay() time.Duration {
	server := exchange.server
	draw := server.randomFraction()
	if _, full := exchange.verdict.(limit.RefuseNow); full {
		return exchange.ticket.RetryAfter(exchange.remaining(), draw, server.config.Now())
	}
	return limit.RetryDelay(exchange.remaining(), draw)
}

// admissionInputs are the inputs of the last decision, for the log.
type admissionInputs struct {
	Verdict  string `json:"verdict"`
	Returned bool   `json:"returned"`
	Allowed  int64  `json:"allowed-ms"`
	Left     int64  `json:"left-ms"`
	Urgency  int    `json:"urgency"`
}

func (exchange *exchange) admissionInputs() *admissionInputs {
	if exchange.ticket == nil {
		return nil
	}
	inputs := &admissionInputs{
		Verdict: "none", Returned: exchange.ticket.Returned(), Allowed: exchange.ticket.Allowed().Milliseconds(),
		Left: exchange.deadline.Sub(exchange.receivedAt).Milliseconds(), Urgency: exchange.urgency(),
	}
	if exchange.verdict != nil {
		inputs.Verdict = exchange.verdict.Reason()
	}
	return inputs
}
