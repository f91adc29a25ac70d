package traffic

import (
	"slices"
	"time"
)

// A Hub is a node that may add up the counts of others, with its admin address.
type Hub struct {
	Node    string
	Address string
}

// A record holds the counts that were last received from a node.
type record struct {
	message Message
	at      time.Time
}

// A failure records that the latest posts to an address failed.
type failure struct {
	retryAt time.Time
	backoff time.Duration
}

const (
	// minBackoff is how long no post is sent to a node after one failed. The time doubles with
	// each further failure up to maxBackoff: a machine without power stays in the list of
	// nodes until its lease ends, and a node of an earlier release answers no post.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second

	// intervalSlack is above the jitter of the calls of Due and below the time between them.
	intervalSlack = 20 * time.Millisecond
)

// A Post is a message that is to be sent to a node.
type Post struct {
	Address string
	Message Message
}

// SetHubs sets the ranked nodes of each failure domain that may be hubs, this node's own
// failure domain first, and the number of nodes of the fleet. Without any, nodes exchange no
// counts.
func (exchange *Exchange) SetHubs(domains [][]Hub, nodes int) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.domains, exchange.nodes = domains, nodes
	exchange.interval = min(MaxInterval, Interval*time.Duration(max(nodes, intervalNodes))/intervalNodes)
	if len(domains) == 0 {
		clear(exchange.records)
		exchange.members, exchange.hubs, exchange.answered = newSum(), newSum(), newSum()
		exchange.answeredAt, exchange.hubSince = time.Time{}, time.Time{}
	}
}

// Due returns the posts that are due now. Answered or Failed must follow for each of them.
//
// A member posts to the first hub that is not known to fail. A hub posts to the first hub of
// every failure domain, its own included if that is another node, unless it has received
// the counts of that hub within the interval: the answer to a post holds them as well.
func (exchange *Exchange) Due(now time.Time) []Post {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.drop(now)
	if len(exchange.domains) == 0 || now.Before(exchange.nextAt) {
		return nil
	}
	exchange.nextAt = now.Add(exchange.interval - intervalSlack)
	near, found := exchange.firstHub(exchange.domains[0], now)
	first := found && near.Node == exchange.config.Node
	hasMembers := !exchange.memberAt.IsZero() && now.Sub(exchange.memberAt) <= exchange.maxAge()
	if !first && !hasMembers {
		exchange.hubSince = time.Time{}
		if !found || exchange.posting[near.Address] {
			return nil
		}
		exchange.posting[near.Address] = true
		return []Post{{Address: near.Address, Message: exchange.ownMessage(now)}}
	}
	if exchange.hubSince.IsZero() {
		exchange.hubSince = now
	}
	if !exchange.settled(now) {
		return nil
	}
	message := exchange.ownSum(now)
	var posts []Post
	for _, domain := range exchange.domains {
		hub, found := exchange.firstHub(domain, now)
		if !found || hub.Node == exchange.config.Node || exchange.posting[hub.Address] {
			continue
		}
		if known, found := exchange.records[hub.Node]; found && known.message.Hub && now.Sub(known.at) < exchange.interval/2 {
			continue
		}
		exchange.posting[hub.Address] = true
		posts = append(posts, Post{Address: hub.Address, Message: message})
	}
	return posts
}

// firstHub returns the first of the ranked nodes of a failure domain that is not known to
// fail. It may be this node.
func (exchange *Exchange) firstHub(ranked []Hub, now time.Time) (Hub, bool) {
	for _, hub := range ranked {
		if hub.Node == exchange.config.Node || !now.Before(exchange.failures[hub.Address].retryAt) {
			return hub, true
		}
	}
	return Hub{}, false
}

// settled reports whether this node is a hub that has received the posts of its members.
func (exchange *Exchange) settled(now time.Time) bool {
	return !exchange.hubSince.IsZero() && now.Sub(exchange.hubSince) >= exchange.interval
}

// ownSum returns the counts of this node and its members.
func (exchange *Exchange) ownSum(now time.Time) Message {
	total := newSum()
	total.apply(exchange.ownMessage(now), 1)
	total.apply(exchange.members.message(), 1)
	message := total.message()
	message.Node, message.Hub = exchange.config.Node, true
	return message
}

// Receive takes the post of another node and returns the answer.
func (exchange *Exchange) Receive(message Message, now time.Time) Message {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.drop(now)
	message = message.clean()
	if message.Node == "" || message.Node == exchange.config.Node || len(exchange.domains) == 0 {
		return Message{Node: exchange.config.Node}
	}
	if !message.Hub {
		exchange.memberAt = now
		if exchange.hubSince.IsZero() {
			exchange.hubSince = now
		}
	}
	exchange.set(message, now)
	switch {
	case !exchange.settled(now):
		return Message{Node: exchange.config.Node}
	case message.Hub:
		return exchange.ownSum(now)
	}
	total := newSum()
	total.apply(exchange.ownMessage(now), 1)
	total.apply(exchange.members.message(), 1)
	total.apply(message, -1)
	total.apply(exchange.hubs.message(), 1)
	answer := total.message()
	answer.Node, answer.Age = exchange.config.Node, exchange.oldestHub(now)
	return answer
}

// Answered records the answer to a post that was sent at the given time.
func (exchange *Exchange) Answered(post Post, answer Message, sentAt, now time.Time) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	delete(exchange.posting, post.Address)
	delete(exchange.failures, post.Address)
	if answer = answer.clean(); answer.Nodes == 0 || len(exchange.domains) == 0 {
		return
	}
	switch {
	case post.Message.Hub && answer.Hub && answer.Node != exchange.config.Node:
		exchange.set(answer, sentAt)
	case !post.Message.Hub && !answer.Hub:
		exchange.answered = newSum()
		exchange.answered.apply(answer, 1)
		exchange.answeredAt = sentAt.Add(-answer.Age)
	}
}

// Failed records that a post was not answered. Another hub is tried at once.
func (exchange *Exchange) Failed(post Post, now time.Time) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	delete(exchange.posting, post.Address)
	backoff := min(max(2*exchange.failures[post.Address].backoff, minBackoff), maxBackoff)
	exchange.failures[post.Address] = failure{retryAt: now.Add(backoff), backoff: backoff}
	exchange.nextAt = now
	for address := range exchange.failures {
		if !exchange.ranked(address) {
			delete(exchange.failures, address)
		}
	}
}

// ranked reports whether an address is that of a node that may be a hub.
func (exchange *Exchange) ranked(address string) bool {
	return slices.ContainsFunc(exchange.domains, func(domain []Hub) bool {
		return slices.ContainsFunc(domain, func(hub Hub) bool { return hub.Address == address })
	})
}

// set replaces the record of a node.
func (exchange *Exchange) set(message Message, at time.Time) {
	if known, found := exchange.records[message.Node]; found {
		if known.at.After(at) {
			return
		}
		exchange.sumOf(known.message).apply(known.message, -1)
	}
	exchange.records[message.Node] = record{message: message, at: at}
	exchange.sumOf(message).apply(message, 1)
}

func (exchange *Exchange) sumOf(message Message) *sum {
	if message.Hub {
		return &exchange.hubs
	}
	return &exchange.members
}

// drop drops the records that were not renewed.
func (exchange *Exchange) drop(now time.Time) {
	for node, known := range exchange.records {
		if now.Sub(known.at) > exchange.maxAge() {
			exchange.sumOf(known.message).apply(known.message, -1)
			delete(exchange.records, node)
		}
	}
}

// oldestHub returns the age of the oldest record of a hub.
func (exchange *Exchange) oldestHub(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, known := range exchange.records {
		if known.message.Hub {
			oldest = max(oldest, now.Sub(known.at))
		}
	}
	return oldest
}
