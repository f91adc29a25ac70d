package forward

import (
	"maps"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/route"
)

// excludeFull adds the targets that take no request of this node now, because of the
// limits that they name, to the excluded ones.
func (exchange *exchange) excludeFull(excluded map[string]bool, table *route.Table, now time.Time) map[string]bool {
	limits := exchange.server.config.Limits
	if limits.Limited() == 0 {
		return excluded
	}
	extended := maps.Clone(excluded)
	for _, target := range table.Groups(exchange.caller.Model) {
		if limits.Full(target.VM, now) {
			extended[target.Name] = true
		}
	}
	for _, target := range table.Services(exchange.service.Name) {
		if limits.Full(target.ID(), now) {
			extended[target.ID()] = true
		}
	}
	return extended
}

// observeLimit records the limit that a target names in an answer to a request that was
// sent at sentAt. The answer of another target or to another request says nothing of it.
func (server *Server) observeLimit(target, attempt string, response *http.Response, answer Answer, sentAt time.Time) {
	if response.StatusCode == http.StatusMisdirectedRequest || !isOwnResponse(attempt, response, answer) {
		return
	}
	switch change := server.config.Limits.Observe(target, answer.RequestLimit, sentAt, server.config.Now()).(type) {
	case limit.LimitNamed:
		server.config.Logger.Info("target names a limit", zap.String("target", target), zap.Float64("requests-per-second", change.Rate),
			zap.Int("share", change.Share), zap.String("id", attempt))
	case limit.LimitEnded:
		server.config.Logger.Info("target names no limit any more", zap.String("target", target), zap.String("id", attempt))
	}
}
