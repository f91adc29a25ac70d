package route

import (
	"math"
	"sync"
	"time"
)

const (
	// defaultHoldingsSize is the default number of recorded prefixes, which occupy about
	// 5 MB, and 16 MB if each is at as many targets as are recorded. At 11 prefixes a prompt
	// they are the last 3,000 different prompts of a node.
	defaultHoldingsSize = 32768

	// maxHoldersPerPrefix bounds the targets recorded for one prefix. A prefix that is in
	// such demand that more targets hold it is found at one of these.
	maxHoldersPerPrefix = 8

	// maxHolders bounds the recorded targets, above the 5,800 runners of the largest
	// deployment.
	maxHolders = 8192

	// heldHalfLife is the time in which a belief halves without a new request. Engines also
	// forget for reasons that no node sees.
	heldHalfLife = 10 * time.Minute

	// sureFill is the part of a target's memory up to which later prompts displace nothing.
	// Between it and the whole memory the belief fades, because the order in which an engine
	// forgets, and what other nodes send, are only known approximately.
	sureFill = 0.5

	// defaultRoom is the number of tokens that a target is assumed to hold if it does not
	// report its memory.
	defaultRoom = 64 << 10
)

// Holdings records which targets are believed to hold which beginnings of prompts, from the
// requests that this node has sent. It holds for one incarnation, placement and epoch of a
// target; a new version of the weights begins a new epoch. It is safe for concurrent use.
//
// A belief fades with the time since the last request with the prefix, and with the tokens
// that the target has read since, in relation to its memory.
//
// The prefixes are kept in two maps. When the current map is full, it replaces the previous
// one, whose entries are dropped. This bounds memory without a list in order of use.
type Holdings struct {
	mutex    sync.Mutex
	limit    int
	current  map[uint64][]holding
	previous map[uint64][]holding

	// holders are the present incarnations of the recorded targets, by name.
	holders map[string]*holder

	// reuse is the part of the prompts' tokens that targets were believed to hold, over the
	// last requests.
	reuse float64

	// nodes is the number of nodes that send requests to the targets. Each is assumed to
	// send as much as this one.
	nodes int
}

// A holderID identifies one life of a group, in which it keeps its memory.
type holderID struct {
	name, vm, incarnation string
	service, spec         string
	epoch                 uint64
}

// A holder is one life of a target. read is the number of tokens that it has read for this
// node.
type holder struct {
	id   holderID
	read int

	// forgotten is true after the target has lost its memory, or may have.
	forgotten bool
}

// A holding is a prefix at a holder. prompt is the number of tokens of the last prompt with the
// prefix, read and usedAt are those of then.
type holding struct {
	holder *holder
	prompt int
	read   int
	usedAt time.Time
}

// A heldPrefix is a prefix that a holder may still hold. used is the number of tokens of
// memory that the last prompt with the prefix and those since have used, age the time since.
type heldPrefix struct {
	holder *holder
	tokens int
	used   int
	age    time.Duration
}

// NewHoldings returns empty holdings of at most size prefixes, 0 for the default size.
func NewHoldings(size int) *Holdings {
	if size <= 0 {
		size = defaultHoldingsSize
	}
	return &Holdings{limit: max(1, size/2), current: map[uint64][]holding{}, previous: map[uint64][]holding{}, holders: map[string]*holder{}, nodes: 1}
}

// SetNodes sets the number of nodes that send requests to the targets, this one included.
func (holdings *Holdings) SetNodes(nodes int) {
	holdings.mutex.Lock()
	defer holdings.mutex.Unlock()
	holdings.nodes = max(1, nodes)
}

// holderID returns the identity of the present life of a group.
func (target *GroupTarget) holderID() holderID {
	return holderID{name: target.Name, vm: target.VM, incarnation: target.Incarnation, service: target.Service, spec: target.Spec, epoch: target.Epoch}
}

// sent records that a target with room for a number of tokens reads a prompt. It returns the
// number of tokens that the target was believed to hold.
func (holdings *Holdings) sent(target *GroupTarget, prompt Prompt, room int, now time.Time) int {
	held := believedTokens(target, holdings.held(prompt, now)[target.Name], room)
	holdings.mutex.Lock()
	defer holdings.mutex.Unlock()
	if prompt.tokens > 0 {
		holdings.reuse = paceDecay*holdings.reuse + (1-paceDecay)*float64(held)/float64(prompt.tokens)
	}
	reader := holdings.holder(target.holderID())
	reader.read += max(0, prompt.tokens-held)
	for _, prefix := range prompt.prefixes {
		holdings.record(prefix.sum, holding{holder: reader, prompt: prompt.tokens, read: reader.read, usedAt: now})
	}
	return held
}

// holder returns the record of a target, without what an earlier life of it held.
func (holdings *Holdings) holder(id holderID) *holder {
	known := holdings.holders[id.name]
	if known != nil && known.id == id {
		return known
	}
	if known != nil {
		known.forgotten = true
	}
	if known == nil && len(holdings.holders) >= maxHolders {
		for name, other := range holdings.holders {
			other.forgotten = true
			delete(holdings.holders, name)
			break
		}
	}
	added := &holder{id: id}
	holdings.holders[id.name] = added
	return added
}

// record adds a holding of a prefix, in place of one at the same holder, of a forgotten one
// or of the one that was used the longest ago.
func (holdings *Holdings) record(sum uint64, added holding) {
	known, inCurrent := holdings.current[sum]
	if !inCurrent {
		known = holdings.previous[sum]
		if len(holdings.current) >= holdings.limit {
			holdings.previous = holdings.current
			holdings.current = make(map[uint64][]holding, holdings.limit)
		}
	}
	replaced := -1
	for index, other := range known {
		if other.holder == added.holder || other.holder.forgotten {
			replaced = index
			break
		}
		if len(known) == maxHoldersPerPrefix && (replaced < 0 || other.usedAt.Before(known[replaced].usedAt)) {
			replaced = index
		}
	}
	if replaced < 0 {
		known = append(known, added)
	} else {
		known[replaced] = added
	}
	holdings.current[sum] = known
}

// Forget drops what a target held: it has restarted, broken off or refused a request.
func (holdings *Holdings) Forget(target string) {
	holdings.mutex.Lock()
	defer holdings.mutex.Unlock()
	if known := holdings.holders[target]; known != nil {
		known.forgotten = true
		delete(holdings.holders, target)
	}
}

// Retain forgets the targets that keep does not contain.
func (holdings *Holdings) Retain(keep map[string]bool) {
	holdings.mutex.Lock()
	defer holdings.mutex.Unlock()
	for name, known := range holdings.holders {
		if !keep[name] {
			known.forgotten = true
			delete(holdings.holders, name)
		}
	}
}

// held returns the recorded prefixes of a prompt, by the names of their targets.
func (holdings *Holdings) held(prompt Prompt, now time.Time) map[string][]heldPrefix {
	if len(prompt.prefixes) == 0 {
		return nil
	}
	holdings.mutex.Lock()
	defer holdings.mutex.Unlock()
	var found map[string][]heldPrefix
	for _, prefix := range prompt.prefixes {
		known, inCurrent := holdings.current[prefix.sum]
		if !inCurrent {
			known = holdings.previous[prefix.sum]
		}
		for _, held := range known {
			if held.holder.forgotten {
				continue
			}
			if found == nil {
				found = map[string][]heldPrefix{}
			}
			name := held.holder.id.name
			found[name] = append(found[name], heldPrefix{
				holder: held.holder, tokens: prefix.tokens, used: held.prompt + (held.holder.read-held.read)*holdings.nodes, age: max(0, now.Sub(held.usedAt)),
			})
		}
	}
	return found
}

// displaced returns the part of the tokens that a target reads in place of others that it would
// have been asked for again.
func (holdings *Holdings) displaced(target *GroupTarget, room int) float64 {
	holdings.mutex.Lock()
	defer holdings.mutex.Unlock()
	known := holdings.holders[target.Name]
	if known == nil || known.id != target.holderID() || room <= 0 {
		return 0
	}
	return holdings.reuse * min(1, float64(known.read*holdings.nodes)/float64(room))
}

// believedTokens returns the expected number of tokens that a target with room for a number
// of tokens still holds.
func believedTokens(target *GroupTarget, prefixes []heldPrefix, room int) int {
	most := 0
	for _, prefix := range prefixes {
		if prefix.holder.id == target.holderID() {
			most = max(most, int(float64(prefix.tokens)*prefix.belief(room)))
		}
	}
	return most
}

// belief returns the probability that the prefix is still held.
func (prefix heldPrefix) belief(room int) float64 {
	if room <= 0 {
		return 0
	}
	fill := float64(prefix.used) / float64(room)
	kept := min(1, max(0, (1-fill)/(1-sureFill)))
	return kept * math.Exp2(-prefix.age.Seconds()/heldHalfLife.Seconds())
}

// room returns the number of tokens of held prompts for which a target has memory. A busy
// target that reports no free memory has none. An idle one that does so does not report it.
func (target *GroupTarget) room(pace Pace) int {
	switch {
	case target.Load.FreeCache > 0:
		return target.Load.FreeCache * max(1, pace.TokensPerCacheUnit)
	case !target.LoadUnreported && target.Load.Running+target.Load.Queued > 0:
		return 0
	case pace.Room > 0:
		return pace.Room
	default:
		return defaultRoom
	}
}
