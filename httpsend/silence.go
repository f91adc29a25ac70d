package httpsend

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/httpanswer"
)

// repeatBackoff is how long calls to an address are not repeated after a repetition that was
// not answered first: the server is slow or away, and repetitions would add to its load.
const repeatBackoff = 2 * time.Second

// silences holds what the calls to each address have shown of its connections.
type silences struct {
	mutex     sync.Mutex
	addresses map[string]*silence
}

// A silence is the state of the connections to one address.
type silence struct {
	// found is closed and replaced when a connection was silent while a new one worked.
	found chan struct{}

	// suspendedUntil is when calls are repeated again after repeatBackoff.
	suspendedUntil time.Time
}

func newSilences() *silences { return &silences{addresses: map[string]*silence{}} }

// at returns the state of an address. The caller holds the mutex.
func (silences *silences) at(address string) *silence {
	known, found := silences.addresses[address]
	if !found {
		known = &silence{found: make(chan struct{})}
		silences.addresses[address] = known
	}
	return known
}

// next returns a channel that is closed when a connection to the address is next found silent.
func (silences *silences) next(address string) <-chan struct{} {
	silences.mutex.Lock()
	defer silences.mutex.Unlock()
	return silences.at(address).found
}

// suspended reports whether calls to an address are not to be repeated now.
func (silences *silences) suspended(address string) bool {
	silences.mutex.Lock()
	defer silences.mutex.Unlock()
	return time.Now().Before(silences.at(address).suspendedUntil)
}

// record records whether a repetition was answered although its call was not.
func (silences *silences) record(address string, silent bool) {
	silences.mutex.Lock()
	defer silences.mutex.Unlock()
	known := silences.at(address)
	if !silent {
		known.suspendedUntil = time.Now().Add(repeatBackoff)
		return
	}
	close(known.found)
	known.found = make(chan struct{})
}

// A callResult is the result of a call or its repetition.
type callResult struct {
	reply    Reply
	err      error
	repeated bool
}

// doRepeated makes a call, and repeats it on a new connection if it has no response after
// RepeatAfter or if another connection to the address was found silent. The repetition has the
// time between RepeatAfter and the timeout: its connection may fall silent as well, and a call
// that may wait for long must not wait for it.
func (client *Client) doRepeated(caller context.Context, request Request) (Reply, error) {
	ctx, cancel := context.WithCancel(caller)
	results := make(chan callResult, 2)
	running := 0
	defer func() {
		cancel()
		for range running {
			<-results
		}
	}()
	send := func(transport *httpanswer.Transport, request Request, used *callConns) {
		running++
		repeated := transport == client.fresh
		go func(ctx context.Context, results chan<- callResult) {
			reply, err := client.doOnce(ctx, transport, request, used)
			results <- callResult{reply: reply, err: err, repeated: repeated}
		}(ctx, results)
	}
	found, used := client.silences.next(request.Address), &callConns{}
	send(client.transport, request, used)
	result, ended, overdue := client.awaitFirst(ctx, request, results, found, used)
	if ended {
		running--
		return result.reply, result.err
	}
	repetition := request
	if request.RepeatQuery != nil {
		repetition.Query = request.RepeatQuery
	}
	send(client.fresh, repetition, &callConns{})
	defer time.AfterFunc(request.Timeout-request.RepeatAfter, cancel).Stop()
	result = <-results
	running--
	if result.err != nil {
		other := <-results
		running--
		if other.err == nil || !other.repeated {
			result = other
		}
	}
	// The repetition of a call that was not overdue shows nothing: it does not wait, and the call
	// may have had to. Calls that wait would make each other repeat for ever.
	if overdue && (result.err == nil || !errors.Is(caller.Err(), context.Canceled)) {
		silent := result.err == nil && result.repeated
		client.silences.record(request.Address, silent)
		result.reply.Repeated = silent
		if silent {
			client.conns.closeIdle(request.Address)
		}
	}
	return result.reply, result.err
}

// awaitFirst waits for the result of a call until it has to be repeated. It returns whether the
// call ended, and if not whether it is overdue.
func (client *Client) awaitFirst(ctx context.Context, request Request, results <-chan callResult, found <-chan struct{}, used *callConns) (result callResult, ended, overdue bool) {
	timer := time.NewTimer(request.RepeatAfter)
	defer timer.Stop()
	select {
	case result := <-results:
		return result, true, false
	case <-timer.C:
		overdue = true
		if client.silences.suspended(request.Address) {
			return <-results, true, false
		}
	case <-found:
	case <-ctx.Done():
	}
	if used.answered.Load() || ctx.Err() != nil {
		return <-results, true, false
	}
	return callResult{}, false, overdue
}
