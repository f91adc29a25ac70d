package forward

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/catalog"
	"lacewingspoke.org/lacewingspoke/explanation"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
)

// A groupDecision is the decision on the group of the next call of a stream, with its reasons.
type groupDecision struct {
	target route.GroupTarget
	found  bool
	reason string

	// preferred is the group that was selected without regard to the forecast, whose probe
	// begins if it is a suspect. It is empty if there is none.
	preferred string

	// candidates are all groups of the model, if the request asks for reasons.
	candidates []route.GroupCandidate
}

// decideGroup decides on the group of the next call. If the requests of all nodes are known, they
// decide; else the load that this node has observed. Where engines keep prompts, that load and
// what groups hold decide in both cases.
func (delivery *delivery) decideGroup(excluded map[string]bool, table *route.Table, now time.Time) groupDecision {
	exchange := delivery.exchange
	server := exchange.server
	unavailable := exchange.unavailable(delivery.unavailable(excluded, table, now), table, now)
	if use, horizon, known := server.config.Traffic.Pool(exchange.pool(), now); known && !delivery.headerSent && !exchange.keepsPrompts() {
		decision := groupDecision{reason: "its share of the requests of all nodes"}
		decision.target, decision.found = exchange.spread(table, unavailable, use.Arrivals, horizon, now)
		decision.preferred = decision.target.Name
		if exchange.explained {
			decision.candidates = server.picker.PlaceGroup(table, exchange.groupRequest(unavailable), now).Candidates
		}
		return decision
	}
	placed := server.picker.PlaceGroup(table, exchange.groupRequest(unavailable), now)
	decision := groupDecision{target: placed.Target, found: placed.Found, reason: placed.Reason(), preferred: placed.Target.Name, candidates: placed.Candidates}
	if !placed.Found || delivery.headerSent {
		return decision
	}
	bound := exchange.firstEventBound(now)
	if exchange.predictFirstEvent(placed.Target, now) <= bound {
		return decision
	}
	decision.reason = "the earliest first event, because that of the group with the least load would be late"
	decision.target, decision.found = exchange.earliestGroup(table, unavailable, bound, now)
	return decision
}

// refusalDelay returns the Retry-After of a stream that is refused, besides the rests of its
// targets.
func (exchange *exchange) refusalDelay() time.Duration {
	return limit.RetryDelay(exchange.remaining(), exchange.server.randomFraction())
}

// unavailability returns why a target takes no request of this node now, empty if it may.
func (server *Server) unavailability(instance, id string, now time.Time) route.Exclusion {
	_, closed := server.closures.Closed(instance, now)
	switch {
	case closed && server.closures.Leaving(instance):
		return route.ExcludedLeaving
	case closed:
		return route.ExcludedResting
	case server.config.Limits.Full(id, now):
		return route.ExcludedLimit
	case server.config.Cold.Full(id, now):
		return route.ExcludedCold
	}
	return ""
}

// Explain returns where a request would go now. It returns an errors.NotValid error if the
// question names no route or workspace in force.
func (server *Server) Explain(question explanation.Question) (explanation.Answer, error) {
	exchange, err := server.newExplained(question)
	if err != nil {
		return explanation.Answer{}, errors.Trace(err)
	}
	answer := explanation.Answer{
		Node: server.config.Node, Route: exchange.route.Name, Service: exchange.service.Name, Workspace: exchange.workspace.Name,
	}
	now := server.config.Now()
	if exchange.service.Engine != nil {
		exchange.explainStream(&answer, now)
	} else {
		exchange.explainRunner(&answer, now)
	}
	exchange.explainRefusal(&answer, now)
	return answer, nil
}

// newExplained returns the exchange of a request that is not sent.
func (server *Server) newExplained(question explanation.Question) (*exchange, error) {
	table := server.config.Publisher.Current()
	current := table.Catalog()
	if current == nil {
		return nil, errors.NotYetAvailablef("configuration")
	}
	matched, found := current.Match(hostOf(question.Host), pathOf(question.Path))
	if !found {
		return nil, errors.NewNotValid(nil, fmt.Sprintf("no route matches host %q and path %q", question.Host, question.Path))
	}
	service, found := current.Service(matched.Choose(server.randomFraction()))
	if !found {
		return nil, errors.NewNotValid(nil, fmt.Sprintf("route %s without a configured service", matched.Name))
	}
	switch {
	case question.Workspace != "" && !current.HasWorkspace(question.Workspace):
		return nil, errors.NewNotValid(nil, fmt.Sprintf("unknown workspace %q", question.Workspace))
	case question.Workspace == "" && current.RequiresKey(matched):
		return nil, errors.NewNotValid(nil, fmt.Sprintf("question without a workspace: route %s requires a key", matched.Name))
	}
	exchange := &exchange{
		server: server, table: table, explained: true, receivedAt: server.config.Now(), draw: server.randomFraction(), route: matched, service: service,
		workspace: catalog.Workspace{Name: question.Workspace, Priority: -1},
		caller:    CallerHeaders{Model: question.Model, PromptTokens: question.Tokens},
	}
	for _, part := range question.Parts {
		exchange.caller.PromptParts = append(exchange.caller.PromptParts, part.ID)
		exchange.caller.PartTokens = append(exchange.caller.PartTokens, part.Tokens)
	}
	wait := matched.Timeout
	if asked := time.Duration(question.DeadlineMillis) * time.Millisecond; asked > 0 && (wait == 0 || asked < wait) {
		wait = asked
	}
	if wait <= 0 {
		wait = defaultTimeout
	}
	exchange.deadline = exchange.receivedAt.Add(wait)
	exchange.parts = exchange.caller.PromptParts[:max(0, len(exchange.caller.PromptParts)-1)]
	return exchange, nil
}

// explainStream adds the decision on the group of a stream.
func (exchange *exchange) explainStream(answer *explanation.Answer, now time.Time) {
	delivery := &delivery{exchange: exchange}
	decision := delivery.decideGroup(map[string]bool{}, exchange.table, now)
	bound := exchange.firstEventBound(now)
	answer.Model = exchange.caller.Model
	answer.BoundMillis = bound.Milliseconds()
	answer.PromptTokens = exchange.groupRequest(nil).Prompt.Tokens()
	for _, candidate := range decision.candidates {
		answer.Candidates = append(answer.Candidates, exchange.explainGroup(candidate, bound, now))
	}
	if !decision.found {
		answer.Refuse(exchange.noGroupReason(), exchange.restEndsIn()+exchange.refusalDelay())
		return
	}
	answer.Send(decision.target.Name, decision.reason)
}

func (exchange *exchange) explainGroup(candidate route.GroupCandidate, bound time.Duration, now time.Time) explanation.Candidate {
	server, target := exchange.server, candidate.Target
	forecast := exchange.predictFirstEvent(*target, now)
	excluded := candidate.Exclusion
	switch {
	case excluded == route.ExcludedClosed && exchange.table.Evacuated(target.FailureDomain, now):
		excluded = route.ExcludedEvacuated
	case excluded == route.ExcludedByRequest:
		excluded = server.unavailability(target.Instance(), target.VM, now)
	case excluded == "" && forecast > bound:
		excluded = route.ExcludedLate
	}
	_, age, known := server.config.Traffic.Group(target.Name, now)
	if !known {
		age, known = server.tracker.LoadAge(target.Name, target.LoadReportedAt(), now)
	}
	return explanation.Candidate{
		Name: target.Name, VM: target.VM, FailureDomain: target.FailureDomain, Near: target.FailureDomain == server.config.FailureDomain,
		Excluded: string(excluded), Load: server.picker.GroupLoad(*target, now),
		LoadAgeMillis: explanation.Milliseconds(age, known), HeldTokens: candidate.Held,
		ForecastMillis: forecast.Milliseconds(), WeighedMicros: candidate.Time.Microseconds(),
	}
}

// explainRunner adds the decision on the runner of a request to a plain service.
func (exchange *exchange) explainRunner(answer *explanation.Answer, now time.Time) {
	placed := exchange.placeRunner(map[string]bool{}, exchange.table, now)
	for _, candidate := range placed.Candidates {
		answer.Candidates = append(answer.Candidates, exchange.explainCandidate(candidate, now))
	}
	if !placed.Found {
		answer.Refuse(exchange.noRunnerReason(), exchange.restEndsIn()+exchange.runnerRetryDelay())
		return
	}
	answer.Send(placed.Target.Name, placed.Reason())
}

func (exchange *exchange) explainCandidate(candidate route.ServiceCandidate, now time.Time) explanation.Candidate {
	server, target := exchange.server, candidate.Target
	excluded := candidate.Exclusion
	switch excluded {
	case route.ExcludedClosed:
		if exchange.table.Evacuated(target.FailureDomain, now) {
			excluded = route.ExcludedEvacuated
		}
	case route.ExcludedByRequest:
		excluded = server.unavailability(target.Instance(), target.ID(), now)
		if excluded == "" && server.isFull(*target, now) {
			excluded = route.ExcludedFull
		}
	}
	age, known := server.tracker.LoadAge(target.ID(), time.Time{}, now)
	return explanation.Candidate{
		Name: target.ID(), FailureDomain: target.FailureDomain, Near: target.FailureDomain == server.config.FailureDomain,
		Excluded: string(excluded), Load: server.tracker.Load(target.ID(), target.Load, time.Time{}, now), LoadAgeMillis: explanation.Milliseconds(age, known),
	}
}

// explainRefusal replaces the verdict if the request is refused before a target is chosen.
func (exchange *exchange) explainRefusal(answer *explanation.Answer, now time.Time) {
	server := exchange.server
	stale := now.Sub(server.config.Confirmed()) >= server.config.MaxConfirmedAge
	refused := server.config.Quarantine.Judge(exchange.parts, now).Refused()
	switch {
	case server.stopping.Load():
		answer.Refuse("node is stopping", shortRetryAfter)
	case stale && exchange.table.Catalog().RequiresKey(exchange.route):
		answer.Refuse("keys are not known to be valid", shortRetryAfter)
	case !exchange.endsInGrace():
		answer.Refuse("node is stopping and may end before the request does", shortRetryAfter)
	case refused != "":
		answer.Refuse("part "+refused+" of the request is in quarantine", quarantine.RetryAfter)
	}
}
