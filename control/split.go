package control

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"lacewingspoke.org/lacewingspoke/group"
)

// logSplits logs what the leader of a fabric domain decides about the groups of each service,
// when the decision changes.
func (state *state) logSplits(leadership *leadership) {
	for _, status := range leadership.leader.Splits() {
		line := fmt.Sprintf("%+v %d %s", status.Conversion, status.Steps, status.Wait)
		if leadership.splits[status.Service] == line {
			continue
		}
		leadership.splits[status.Service] = line
		state.logger.Info("split of the groups", zap.String("domain", leadership.domain), zap.String("service", status.Service),
			zap.String("from", status.Conversion.From), zap.String("to", status.Conversion.To),
			zap.Int("steps", status.Steps), zap.Int("gives", status.Conversion.Gives), zap.Int("gains", status.Conversion.Gains),
			zap.String("wait", status.Wait), zap.Int("warm", status.Warm), zap.String("pools", fmt.Sprintf("%+v", status.Pools)))
	}
}

var _ = time.Second
var _ group.Event
