package forward

import (
	"maps"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/route"
)

// unavailable adds the targets that take no request of this node now, because of the limits
// that they name or because they rest, to the excluded ones.
func (exchange *exchange) unavailable(excluded map[string]bool, table *route.Table, now time.Time) map[string]bool {
	server := exchange.server
	if server.config.Limits.Limited() == 0 && server.closures.Empty() && server.config.Cold.Bounded(now) == 0 {
		return excluded
	}
	extended := maps.Clone(excluded)
	for _, target := range exchange.groups(table) {
		if server.unavailability(target.Instance(), target.VM, now) != "" {
			extended[target.Name] = true
		}
	}
	for _, target := range table.Services(exchange.service.Name) {
		if server.unavailability(target.Instance(), target.ID(), now) != "" {
			extended[target.ID()] = true
		}
	}
	return extended
}

// full reports whether a target takes no request of this node now because of the limit that it
// names or because it is cold.
func (server *Server) full(id string, now time.Time) bool {
	return server.config.Limits.Full(id, now) || server.config.Cold.Full(id, now)
}

// take takes a place of a target that names a limit or is cold. It returns false if there is
// none.
func (server *Server) take(id string) bool {
	now := server.config.Now()
	return server.config.Limits.Take(id, now) && server.config.Cold.Take(id, now)
}

// mayWrite reports, right before a request is written, whether a target that has become cold
// still takes it.
func (server *Server) mayWrite(id string) bool {
	if server.config.Cold.Send(id, server.config.Now()) {
		return true
	}
	server.metrics.coldRefused.Inc()
	return false
}

// restEndsIn returns the time until the first target takes requests again if all targets
// that could serve the request rest, and otherwise 0.
func (exchange *exchange) restEndsIn() time.Duration {
	server := exchange.server
	now := server.config.Now()
	table := server.config.Publisher.Current()
	var instances []string
	if exchange.service.Engine != nil {
		for _, target := range exchange.groups(table) {
			if target.Usable(now) {
				instances = append(instances, target.Instance())
			}
		}
	} else {
		for _, target := range table.Services(exchange.service.Name) {
			if target.Open {
				instances = append(instances, target.Instance())
			}
		}
	}
	shortest := time.Duration(0)
	for _, instance := range instances {
		remaining, closed := server.closures.Closed(instance, now)
		if server.closures.Leaving(instance) {
			continue
		}
		if !closed {
			return 0
		}
		if shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}

// An observedTarget is the target of a response.
type observedTarget struct {
	// name is that in the tracker, id that in the limits, instance identifies the
	// incarnation, and life is that in the quarantine.
	name, id, incarnation, instance, life string
	failureDomain                         string

	// loadMaxAge is how long a load that it reports counts.
	loadMaxAge time.Duration
}

const (
	// runnerLoadMaxAge and groupLoadMaxAge are about the time in which a full target serves
	// all requests that it has.
	runnerLoadMaxAge = time.Second
	groupLoadMaxAge  = 4 * time.Second
)

func observedGroup(target route.GroupTarget) observedTarget {
	return observedTarget{name: target.Name, id: target.VM, incarnation: target.Incarnation, instance: target.Instance(), life: target.Life(),
		failureDomain: target.FailureDomain, loadMaxAge: groupLoadMaxAge}
}

func observedRunner(target route.ServiceTarget) observedTarget {
	return observedTarget{name: target.ID(), id: target.ID(), incarnation: target.Incarnation, instance: target.Instance(), life: target.ID(),
		failureDomain: target.FailureDomain, loadMaxAge: runnerLoadMaxAge}
}

// parseAnswer returns what the headers of an answer contain, and records what its target
// reports of itself there.
func (server *Server) parseAnswer(target observedTarget, sent sentRequest, response *response) Answer {
	answer := server.config.Codec.ParseAnswer(response.http.StatusCode, response.http.Header)
	if answer.Attempt == "" && !response.relayed {
		// The next answer on the connection could not be told from bytes after this one.
		response.http.Close = true
	}
	server.observeAnswer(target, sent, response, answer)
	return answer
}

// observeAnswer records what a target reports of itself in the answer to a request. The answer
// of another target or to another request is ignored.
func (server *Server) observeAnswer(target observedTarget, sent sentRequest, response *response, answer Answer) {
	now, attempt := server.config.Now(), sent.attempt
	if response.http.StatusCode == http.StatusMisdirectedRequest || !isOwnResponse(sent, response, answer) {
		return
	}
	if answer.Load != nil {
		server.tracker.Observe(target.name, answer.Load.Load, target.loadMaxAge, now)
	}
	server.observeLimit(target.id, attempt, answer, sent.at)
	server.observeLeaving(target, attempt, answer)
	if answer.Rest > 0 {
		server.closures.Rest(target.instance, answer.Rest, now)
		server.metrics.rests.Inc()
		server.config.Logger.Info("target asks for rest", zap.String("target", target.id), zap.Duration("rest", answer.Rest), zap.String("id", attempt))
	}
}

// observeLeaving records that a target reports in an answer, or in its trailer, that it
// leaves.
func (server *Server) observeLeaving(target observedTarget, attempt string, answer Answer) {
	if !answer.Leaving || !server.closures.Leave(target.instance, server.config.Now()) {
		return
	}
	server.config.Logger.Info("target reports that it leaves", zap.String("target", target.id), zap.String("incarnation", target.incarnation), zap.String("id", attempt))
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.leaving = append(server.leaving, route.LeavingTarget{Target: target.id, Incarnation: target.incarnation})
}

// observeTrailer records what a target reports in the trailer of its own answer.
func (server *Server) observeTrailer(target observedTarget, attempt string, response *http.Response) {
	server.observeLeaving(target, attempt, server.config.Codec.ParseAnswer(response.StatusCode, response.Trailer))
}

// observeLimit records the limit that a target names in an answer to a request that was
// sent at sentAt.
func (server *Server) observeLimit(target, attempt string, answer Answer, sentAt time.Time) {
	switch change := server.config.Limits.Observe(target, answer.RequestLimit, sentAt, server.config.Now()).(type) {
	case limit.LimitNamed:
		server.config.Logger.Info("target names a limit", zap.String("target", target), zap.Float64("requests-per-second", change.Rate),
			zap.Int("share", change.Share), zap.String("id", attempt))
	case limit.LimitEnded:
		server.config.Logger.Info("target names no limit any more", zap.String("target", target), zap.String("id", attempt))
	}
}
