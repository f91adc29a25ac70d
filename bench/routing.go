package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/route"
)

const (
	routingSeed = 20261204

	// The simulated groups, prefixes and caches of prefixReuse.
	reuseGroups       = 12
	reuseSlots        = 8 // places of each group
	reusePrefixes     = 300
	reuseReadPerToken = 32 * time.Microsecond
	reuseCacheSize    = 40 // prefixes
	reuseRequests     = 20000

	// The simulated runners and requests of domainRetries.
	retryDomains  = 3
	retryRunners  = 3 // in each domain
	retryRequests = 6000
	retryRate     = 100 // requests per second
)

var routingStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// A prefixCache simulates an engine's LRU cache of prompt prefixes. The last
// entry of order is the most recently used.
type prefixCache struct{ order []int }

// use reports whether the prefix was cached and marks it as most recently used.
func (cache *prefixCache) use(prefix int) bool {
	hit := false
	for index, cached := range cache.order {
		if cached == prefix {
			cache.order = append(cache.order[:index], cache.order[index+1:]...)
			hit = true
			break
		}
	}
	cache.order = append(cache.order, prefix)
	if len(cache.order) > reuseCacheSize {
		cache.order = cache.order[1:]
	}
	return hit
}

// A reuseLoad is a distribution of the prefixes of the simulated requests.
type reuseLoad struct {
	name    string
	tokens  int // of each prefix
	rate    int // requests per second
	answer  time.Duration
	newDraw func(random *rand.Rand) func() int
}

// reuseLoads are the simulated loads. In the first, most callers share a few prompts; in the
// second, every conversation is equally likely to continue. The third has short beginnings that
// are not worth a wait, and the fourth asks for more than there is room for.
var reuseLoads = []reuseLoad{
	{"shared prompts by Zipf 1.1", 4096, 100, 500 * time.Millisecond, zipfDraw},
	{"equally likely conversations", 4096, 100, 500 * time.Millisecond, func(random *rand.Rand) func() int {
		return func() int { return random.IntN(reusePrefixes) }
	}},
	{"shared short prompts with long answers", 256, 30, 2500 * time.Millisecond, zipfDraw},
	{"shared prompts at 1.1 times the room", 4096, 210, 500 * time.Millisecond, zipfDraw},
}

func zipfDraw(random *rand.Rand) func() int {
	zipf := rand.NewZipf(random, 1.1, 1, reusePrefixes-1)
	return func() int { return int(zipf.Uint64()) }
}

// prefixReuse compares the times to the first event and the tokens that are read again, with
// held prompts weighed and with the choice between two groups alone.
func prefixReuse() ([]tableRow, error) {
	var rows []tableRow
	for _, load := range reuseLoads {
		note := fmt.Sprintf("seed %d, %d groups of %d places, %d prefixes of %d tokens, %d cached in each, %d requests at %d/s, answers of %v",
			routingSeed, reuseGroups, reuseSlots, reusePrefixes, load.tokens, reuseCacheSize, reuseRequests, load.rate, load.answer)
		for _, weighed := range []bool{true, false} {
			name := load.name + ", two choices alone"
			if weighed {
				name = load.name + ", held prompts weighed"
			}
			rows = append(rows, tableRow{name, simulateReuse(load, weighed).describe(load), note})
		}
	}
	return rows, nil
}

// A reuseResult is the result of a simulation of prefixReuse.
type reuseResult struct {
	hits        int
	firstEvents []time.Duration

	// highest is the highest load of a group over the mean load.
	highest float64
}

// describe returns the result as a cell of the table.
func (result reuseResult) describe(load reuseLoad) string {
	slices.Sort(result.firstEvents)
	sum := time.Duration(0)
	for _, first := range result.firstEvents {
		sum += first
	}
	return fmt.Sprintf("%.1f %% cached, %.1f million tokens read again, first event mean %v, p50 %v, p99 %v, highest load %.2f times the mean",
		100*float64(result.hits)/reuseRequests, float64((reuseRequests-result.hits)*load.tokens)/1e6,
		(sum / reuseRequests).Round(time.Millisecond), percentileOf(result.firstEvents, 50), percentileOf(result.firstEvents, 99), result.highest)
}

func percentileOf(sorted []time.Duration, percent int) time.Duration {
	return sorted[len(sorted)*percent/100].Round(time.Millisecond)
}

// A simulatedGroup is a group with a cache. free holds when each place becomes free.
type simulatedGroup struct {
	cache prefixCache
	free  [reuseSlots]time.Time
}

// serve adds a request to the queue of the group. It returns when its first event arrives and
// when it ends.
func (simulated *simulatedGroup) serve(prefix int, read, answer time.Duration, now time.Time) (first, end time.Time, hit bool) {
	place := 0
	for index, free := range simulated.free {
		if free.Before(simulated.free[place]) {
			place = index
		}
	}
	first = now
	if simulated.free[place].After(now) {
		first = simulated.free[place]
	}
	hit = simulated.cache.use(prefix)
	if !hit {
		first = first.Add(read)
	}
	end = first.Add(answer)
	simulated.free[place] = end
	return first, end, hit
}

// A simulatedRequest is a simulated request in progress.
type simulatedRequest struct {
	reading  *route.Reading
	firstAt  time.Time
	endsAt   time.Time
	observed bool
	end      func(time.Time)
}

// advance passes on to the picker what has happened by now. It reports whether the request is
// still in progress.
func (request *simulatedRequest) advance(now time.Time) bool {
	if !request.observed && !request.firstAt.After(now) {
		request.observed = true
		request.reading.FirstEventArrived(request.firstAt)
	}
	if request.endsAt.After(now) {
		return true
	}
	request.end(request.endsAt)
	request.reading.Ended(request.endsAt)
	return false
}

func simulateReuse(load reuseLoad, weighed bool) reuseResult {
	random := rand.New(rand.NewPCG(routingSeed, 1))
	draw := load.newDraw(random)
	tracker := route.NewTracker()
	config := route.PickerConfig{FailureDomain: "d", Source: rand.NewPCG(routingSeed, 2), Tracker: tracker}
	if !weighed {
		config.HoldingsSize = -1
	}
	picker := route.NewPicker(config)
	groups := map[string]*simulatedGroup{}
	var targets []route.GroupTarget
	for index := range reuseGroups {
		name := fmt.Sprint("g-", index)
		groups[name] = &simulatedGroup{}
		targets = append(targets, route.GroupTarget{Name: name, Spec: "g", Epoch: 1, FailureDomain: "d", Open: true, LoadUnreported: true, Grant: group.Grant{
			Group: name, Epoch: 1, ReportedAt: routingStart, ValidUntil: routingStart.Add(24 * time.Hour),
		}})
	}
	table := route.NewTable(route.TableConfig{Groups: targets})
	now := routingStart
	var running []*simulatedRequest
	var result reuseResult
	for range reuseRequests {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(load.rate)))
		running = slices.DeleteFunc(running, func(request *simulatedRequest) bool { return !request.advance(now) })
		prefix := draw()
		prompt := route.NewTextPrompt(strings.Repeat(fmt.Sprintf("%04d", prefix), load.tokens))
		request := route.GroupRequest{Spec: "g", Prompt: prompt, Pace: route.Pace{Slots: reuseSlots, Room: reuseCacheSize * load.tokens}}
		chosen, _ := picker.PickGroup(table, request, now)
		reading := picker.Sent(chosen, request, now)
		first, end, hit := groups[chosen.Name].serve(prefix, time.Duration(load.tokens)*reuseReadPerToken, time.Duration(random.ExpFloat64()*float64(load.answer)), now)
		if hit {
			result.hits++
		}
		result.firstEvents = append(result.firstEvents, first.Sub(now))
		running = append(running, &simulatedRequest{
			reading: reading, firstAt: first, endsAt: end, end: tracker.Start(chosen.Name, now),
		})
		if mean := float64(len(running)) / reuseGroups; mean >= 2 {
			result.highest = max(result.highest, float64(tracker.InFlight(chosen.Name))/mean)
		}
	}
	return result
}

// domainRetries counts retries per request while the node's own failure domain
// is unavailable, with and without a record of failed targets.
func domainRetries() ([]tableRow, error) {
	note := fmt.Sprintf("seed %d, %d domains with %d service runners, own domain unavailable, %d idempotent requests, budget 10 per 100", routingSeed, retryDomains, retryRunners, retryRequests)
	var rows []tableRow
	for _, tracksFailures := range []bool{true, false} {
		name := "failed targets not remembered"
		if tracksFailures {
			name = "failed targets remembered"
		}
		retries, notRun := simulateUnavailableDomain(tracksFailures)
		rows = append(rows,
			tableRow{"retries per request, " + name, fmt.Sprintf("%.4f", float64(retries)/retryRequests), note},
			tableRow{"requests not run, " + name, fmt.Sprintf("%.2f %%", 100*float64(notRun)/retryRequests), note})
	}
	return rows, nil
}

func simulateUnavailableDomain(tracksFailures bool) (retries, notRun int) {
	suspects := route.NewSuspects()
	config := route.PickerConfig{FailureDomain: "d-0", Source: rand.NewPCG(routingSeed, 3), Tracker: route.NewTracker()}
	if tracksFailures {
		config.Suspects = suspects
	}
	picker := route.NewPicker(config)
	budget := limit.NewRetryBudget(10)
	var targets []route.ServiceTarget
	for domain := range retryDomains {
		for runner := range retryRunners {
			targets = append(targets, route.ServiceTarget{
				Service: "s", Address: fmt.Sprintf("d-%d/%d", domain, runner), FailureDomain: fmt.Sprint("d-", domain), Open: true,
			})
		}
	}
	table := route.NewTable(route.TableConfig{Services: targets})
	for number := range retryRequests {
		now := routingStart.Add(time.Duration(number) * time.Second / retryRate)
		budget.Request("w")
		excluded := map[string]bool{}
		for {
			chosen, found := picker.PickService(table, "s", excluded, now)
			if found && chosen.FailureDomain != "d-0" {
				suspects.Succeeded(chosen.Address)
				break
			}
			suspects.Failed(chosen.Address, now)
			excluded[chosen.Address] = true
			if !found || !budget.Retry("w") {
				notRun++
				break
			}
			retries++
		}
	}
	return retries, notRun
}
