package traffic

import (
	"math"
	"time"
)

// groupCounts are this node's own counts at a group.
type groupCounts struct {
	running, waiting, unreadTokens int
	firstEvents                    []firstEvent
}

// A firstEvent is the time to a first event that arrived at the given time.
type firstEvent struct {
	wait time.Duration
	at   time.Time
}

// use returns the counts without the first events that are too old.
func (counts *groupCounts) use(name string, now time.Time) GroupUse {
	kept := counts.firstEvents[:0]
	for _, observed := range counts.firstEvents {
		if now.Sub(observed.at) <= firstEventAge {
			kept = append(kept, observed)
		}
	}
	counts.firstEvents = kept
	use := GroupUse{Group: name, Running: counts.running, Waiting: counts.waiting, UnreadTokens: counts.unreadTokens, FirstEvents: len(kept)}
	for _, observed := range kept {
		use.FirstEvent += observed.wait
	}
	return use.withMean()
}

// poolCounts are this node's own counts of a pool, which decay with Window.
type poolCounts struct {
	arrivals, refused, worked, promptTokens float64
	running                                 int
	at                                      time.Time
}

// minPoolUse is the rate below which a pool without requests is forgotten.
const minPoolUse = 0.001

// decay brings the counts to the given time.
func (counts *poolCounts) decay(now time.Time) {
	left := math.Exp(-max(0, now.Sub(counts.at).Seconds()) / Window.Seconds())
	counts.arrivals *= left
	counts.refused *= left
	counts.promptTokens *= left
	counts.worked = counts.worked*left + float64(counts.running)*(1-left)
	counts.at = now
}

func (exchange *Exchange) pool(name string, now time.Time) *poolCounts {
	counts := exchange.pools[name]
	if counts == nil {
		counts = &poolCounts{at: now}
		exchange.pools[name] = counts
	}
	counts.decay(now)
	return counts
}

// Arrived counts a request of a caller for a pool.
func (exchange *Exchange) Arrived(pool string, now time.Time) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.pool(pool, now).arrivals += 1 / Window.Seconds()
}

// Refused counts a request that was refused without an attempt at a group.
func (exchange *Exchange) Refused(pool string, now time.Time) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.pool(pool, now).refused += 1 / Window.Seconds()
}

// A Use is a request of this node at a group.
type Use struct {
	exchange     *Exchange
	pool, group  string
	promptTokens int
	sentAt       time.Time
	waiting      bool
	ended        bool
}

// Begin counts a request that is sent to a group now. The caller must call End on the result.
func (exchange *Exchange) Begin(pool, group string, promptTokens int, now time.Time) *Use {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	counts := exchange.groups[group]
	if counts == nil {
		counts = &groupCounts{}
		exchange.groups[group] = counts
	}
	counts.running++
	counts.waiting++
	counts.unreadTokens += promptTokens
	inPool := exchange.pool(pool, now)
	inPool.running++
	inPool.promptTokens += float64(promptTokens) / Window.Seconds()
	return &Use{exchange: exchange, pool: pool, group: group, promptTokens: promptTokens, sentAt: now, waiting: true}
}

// FirstEvent records that the first event has arrived.
func (use *Use) FirstEvent(now time.Time) {
	use.exchange.mutex.Lock()
	defer use.exchange.mutex.Unlock()
	if use.stopWaiting() {
		counts := use.exchange.groups[use.group]
		counts.firstEvents = append(counts.firstEvents, firstEvent{wait: now.Sub(use.sentAt), at: now})
		if len(counts.firstEvents) > maxFirstEvents {
			counts.firstEvents = counts.firstEvents[len(counts.firstEvents)-maxFirstEvents:]
		}
	}
}

func (use *Use) stopWaiting() bool {
	if !use.waiting {
		return false
	}
	use.waiting = false
	counts := use.exchange.groups[use.group]
	counts.waiting--
	counts.unreadTokens -= use.promptTokens
	return true
}

// End records the end of the request. Calls after the first have no effect.
func (use *Use) End(now time.Time) {
	use.exchange.mutex.Lock()
	defer use.exchange.mutex.Unlock()
	if use.ended {
		return
	}
	use.ended = true
	use.stopWaiting()
	use.exchange.groups[use.group].running--
	use.exchange.pool(use.pool, now).running--
}

// ownMessage returns this node's own counts, and drops those of groups and pools without any.
func (exchange *Exchange) ownMessage(now time.Time) Message {
	message := Message{Node: exchange.config.Node, Nodes: 1}
	for name, counts := range exchange.groups {
		use := counts.use(name, now)
		if use.empty() {
			delete(exchange.groups, name)
			continue
		}
		if len(message.Groups) < MaxNames {
			message.Groups = append(message.Groups, use)
		}
	}
	for name := range exchange.pools {
		counts := exchange.pool(name, now)
		if counts.running == 0 && counts.arrivals+counts.worked < minPoolUse {
			delete(exchange.pools, name)
			continue
		}
		if len(message.Pools) < MaxNames {
			message.Pools = append(message.Pools, PoolUse{Pool: name, Arrivals: counts.arrivals, Refused: counts.refused, Worked: counts.worked, PromptTokens: counts.promptTokens})
		}
	}
	return message
}
