package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/route"
)

const (
	routingSeed = 20261204

	// The simulated groups, prefixes and caches of prefixReuse.
	reuseGroups      = 12
	reusePrefixes    = 300
	reuseCacheSize   = 40
	reuseRequests    = 20000
	reuseRate        = 100 // requests per second
	reuseServiceTime = 500 * time.Millisecond

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
	newDraw func(random *rand.Rand) func() int
}

// reuseLoads are the simulated loads. In the first, most callers share a few
// prompts; in the second, every conversation is equally likely to continue.
var reuseLoads = []reuseLoad{
	{"shared prompts by Zipf 1.1", func(random *rand.Rand) func() int {
		zipf := rand.NewZipf(random, 1.1, 1, reusePrefixes-1)
		return func() int { return int(zipf.Uint64()) }
	}},
	{"equally likely conversations", func(random *rand.Rand) func() int {
		return func() int { return random.IntN(reusePrefixes) }
	}},
}

// prefixReuse compares the share of requests whose prefix is cached in the chosen
// group, with prefix affinity and with the choice between two groups alone.
func prefixReuse() ([]tableRow, error) {
	var rows []tableRow
	for _, load := range reuseLoads {
		rows = append(rows, load.measureReuse()...)
	}
	return rows, nil
}

func (load reuseLoad) measureReuse() []tableRow {
	note := fmt.Sprintf("2 times the baseline; seed %d, %d groups, %d prefixes, %d cached in each, %d requests",
		routingSeed, reuseGroups, reusePrefixes, reuseCacheSize, reuseRequests)
	affine, affineHighest := simulateReuse(load, true)
	baseline, baselineHighest := simulateReuse(load, false)
	return []tableRow{
		{"prefix reuse, " + load.name, fmt.Sprintf("%.1f %% after %.1f %% with two choices alone, %.2f times",
			100*float64(affine)/reuseRequests, 100*float64(baseline)/reuseRequests, float64(affine)/float64(baseline)), note},
		{"highest load over mean, " + load.name, fmt.Sprintf("%.2f after %.2f", affineHighest, baselineHighest), note},
	}
}

// A simulatedRequest is a simulated request in progress.
type simulatedRequest struct {
	endsAt time.Time
	end    func(time.Time)
}

func simulateReuse(load reuseLoad, affinity bool) (hits int, highest float64) {
	random := rand.New(rand.NewPCG(routingSeed, 1))
	draw := load.newDraw(random)
	tracker := route.NewTracker()
	config := route.PickerConfig{FailureDomain: "d", Source: rand.NewPCG(routingSeed, 2), Tracker: tracker}
	if !affinity {
		config.HistorySize = -1
	}
	picker := route.NewPicker(config)
	caches := map[string]*prefixCache{}
	var targets []route.GroupTarget
	for index := range reuseGroups {
		name := fmt.Sprint("g-", index)
		caches[name] = &prefixCache{}
		targets = append(targets, route.GroupTarget{Name: name, Spec: "g", Epoch: 1, FailureDomain: "d", Open: true, Grant: group.Grant{
			Group: name, Epoch: 1, ReportedAt: routingStart, ValidUntil: routingStart.Add(24 * time.Hour),
		}})
	}
	table := route.NewTable(route.TableConfig{Groups: targets})
	now := routingStart
	var running []simulatedRequest
	for range reuseRequests {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second/reuseRate)))
		remaining := running[:0]
		for _, request := range running {
			if request.endsAt.After(now) {
				remaining = append(remaining, request)
			} else {
				request.end(request.endsAt)
			}
		}
		running = remaining
		prefix := draw()
		chosen, _ := picker.PickGroup(table, route.GroupRequest{Spec: "g", Prompt: strings.Repeat(fmt.Sprintf("%04d", prefix), 64)}, now)
		if caches[chosen.Name].use(prefix) {
			hits++
		}
		end := tracker.Start(chosen.Name, now)
		running = append(running, simulatedRequest{endsAt: now.Add(time.Duration(random.ExpFloat64() * float64(reuseServiceTime))), end: end})
		mean := float64(len(running)) / reuseGroups
		if len(running) >= reuseGroups*2 {
			highest = max(highest, float64(tracker.InFlight(chosen.Name))/mean)
		}
	}
	return hits, highest
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
