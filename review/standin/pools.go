package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	poolsHost   = "ficu95.example"
	draftPrefix = "/lohu930/"
	replyPrefix = "/pufi791/"
	poolsKey    = "n2ctnfzs989anu6wsjnb"
	poolsModel  = "daka510000"
)

// modelPool is a service with groups of two runners.
func modelPool(name string) map[string]any {
	return map[string]any{
		"name": name, "healthCheck": "/health", "maxConnections": 304, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 26, "kvCapacity": 1590000, "kvTokenBytes": 327680, "linkMbps": 400000.0, "stride": 7,
			"models":  []any{map[string]any{"name": poolsModel, "size": 2, "share": 1.0, "pace": 1.0, "loadS": 2.0, "warmS": 0.5}},
			"step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700.0, "pairs_per_m": 0.368, "chunk": 2048,
			"report_lag_ms": 200.0, "loadsPerS": 4.5, "loads_at_once": 6, "usual": map[string]any{"prompt": 1115, "answer": 178},
			"keeps": 1, "far_x": 3.0, "formMs": 300.0,
		},
	}
}

func streamRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": poolsHost, "prefix": prefix, "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 300, "priority": 1,
		"service": service, "maxAttempts": 2, "public": false, "sessionAffinity": true, "streamResume": true, "gapAimMs": 300,
	}
}

func poolsConfiguration(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "limits": limits(),
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{poolsKey}, "priority": 1}},
	}
}

// addPool starts the runners of a model pool, four in each fabric domain.
func (played *deployment) addPool(service string, domains map[string]string) ([]*runner, error) {
	var added []*runner
	for domain, zone := range domains {
		for index := range 4 {
			started, err := played.addRunner(runnerConfig{
				id: fmt.Sprintf("i-%s-%s-%d", service, domain, index), service: service, zone: zone, domain: domain, slots: 26,
				models: []model{{name: poolsModel, size: 2, load: 2 * time.Second, warm: 500 * time.Millisecond}},
			})
			if err != nil {
				return nil, err
			}
			added = append(added, started)
		}
	}
	return added, nil
}

func anyOpen(runners []*runner) bool {
	for _, known := range runners {
		if known.opened() {
			return true
		}
	}
	return false
}

// playPools adds a second model pool with a route of its own. Each pool gets the requests of
// its own route only.
func playPools(played *deployment) (int, error) {
	for _, zone := range []string{"lj-a", "lj-b", "lj-c"} {
		if err := played.addNode("edge-"+zone+"-1", zone); err != nil {
			return 0, err
		}
	}
	draft, reply := streamRoute("r-draft", draftPrefix, "pool-a"), streamRoute("r-reply", replyPrefix, "pool-b")
	played.configure(poolsConfiguration(7, []any{draft}, []any{modelPool("pool-a")}))
	allowed := map[string]string{draftPrefix: "pool-a"}
	first, err := played.addPool("pool-a", map[string]string{"f-1": "lj-a", "f-2": "lj-b"})
	if err != nil {
		return 0, err
	}
	if err := played.awaitReady(); err != nil {
		return 0, err
	}
	if err := await(40*time.Second, "pool-a serves", func() bool { return anyOpen(first) }); err != nil {
		return 0, err
	}
	played.sendStreams(5*time.Second, draftPrefix)
	if played.troubled {
		if _, err := played.addPool("pool-b", map[string]string{"f-3": "lj-c"}); err != nil {
			return 0, err
		}
		played.configure(poolsConfiguration(12, []any{draft, reply}, []any{modelPool("pool-a"), modelPool("pool-b")}))
		allowed[replyPrefix] = "pool-b"
		played.sendStreams(30*time.Second, draftPrefix, replyPrefix)
	} else {
		played.sendStreams(30*time.Second, draftPrefix)
	}
	played.clients.ended.Wait()
	return played.judgePools(allowed), nil
}

// sendStreams sends ten requests a second on each route, to the nodes in turn.
func (played *deployment) sendStreams(length time.Duration, prefixes ...string) {
	header := map[string]string{"Model": poolsModel, "Token-Count": "460,35", "Prompt-Prefix": "5c1e07a2:40,91bd3f06:420", "Content-Type": "application/json"}
	for index, end := 0, time.Now().Add(length); time.Now().Before(end); index++ {
		for _, prefix := range prefixes {
			played.clients.send(played.nodes[index%len(played.nodes)], "POST", poolsHost, prefix+"2f", poolsKey, 8*time.Second, header, []byte("prompt"))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// judgePools counts the requests that a service ran although no configuration ever allowed it
// to.
func (played *deployment) judgePools(allowed map[string]string) int {
	counts, broken := map[string]int{}, 0
	for _, seen := range played.runs.list() {
		for prefix, service := range allowed {
			if !strings.HasPrefix(seen.path, prefix) {
				continue
			}
			counts[prefix+" at "+seen.service]++
			if seen.service != service {
				broken++
				played.record.note("ROUTE: %s on %s, which goes to %s, was run by %s of %s", seen.attempt, prefix, service, seen.runner, seen.service)
			}
		}
	}
	played.record.say("answers: %s", played.clients.summary())
	played.record.say("runs: %v", counts)
	return broken
}
