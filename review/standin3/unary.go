package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["unary"] = playUnary
}

const modelName = "daka510000"

// playUnary has one change of the configuration: a route whose answers are not streams is added
// to a service with an engine, beside its streaming route.
func playUnary(scenario *scenario) (bool, error) {
	if err := scenario.configureModels(7, false); err != nil {
		return false, err
	}
	var mutex sync.Mutex
	ran := map[string]int{}
	answer := func(writer http.ResponseWriter, request *http.Request) {
		attempt := request.Header.Get("Attempt-Id")
		mutex.Lock()
		ran[attempt]++
		mutex.Unlock()
		writer.Header().Set("Attempt-Id", attempt)
		writer.Header().Set("Response-Seal", "3e1b.07."+attempt)
		time.Sleep(30 * time.Millisecond)
		if strings.HasPrefix(request.RequestURI, "/puxa403/") {
			writer.Header().Set("Content-Type", "application/json")
			fmt.Fprintf(writer, `{"verdict":%q}`, attempt)
			return
		}
		writer.Header().Set("Content-Type", "text/event-stream")
		for piece := range 5 {
			fmt.Fprintf(writer, "id: %d\ndata: piece\n\n", piece+1)
		}
	}
	for index := range 6 {
		if _, err := scenario.startEngine(fmt.Sprintf("i-7f3a91c%d", index), zones[index/2], []string{modelName}, answer); err != nil {
			return false, err
		}
	}
	if err := scenario.startNodes(3); err != nil {
		return false, err
	}
	if !scenario.awaitStream(20 * time.Second) {
		return false, errors.New("no group serves streams")
	}
	if scenario.trouble {
		if err := scenario.configureModels(9, true); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second)
	}
	streams, streamsServed, verdicts, verdictsServed, lost := 0, 0, 0, 0, 0
	for index := range 60 {
		node := scenario.nodes[index%len(scenario.nodes)]
		streams++
		if scenario.sendModel(node, "/lohu930/2f").status == http.StatusOK {
			streamsServed++
		}
		if !scenario.trouble {
			continue
		}
		got := scenario.sendModel(node, "/puxa403/2f")
		verdicts++
		mutex.Lock()
		runs := ran[got.attempt]
		mutex.Unlock()
		switch {
		case got.status == http.StatusOK:
			verdictsServed++
		case runs > 0:
			lost++
		}
	}
	scenario.record.line("%d of %d streams served, %d of %d other requests served, %d of those run to a good end and not answered with it",
		streamsServed, streams, verdictsServed, verdicts, lost)
	all := float64(streamsServed+verdictsServed) / float64(streams+verdicts)
	return verdicts > 0 && float64(verdictsServed)/float64(verdicts) < all/4, nil
}

// awaitStream waits until a stream is served.
func (scenario *scenario) awaitStream(limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(300 * time.Millisecond) {
		served := true
		for _, node := range scenario.nodes {
			served = served && scenario.sendModel(node, "/lohu930/2f").status == http.StatusOK
		}
		if served {
			return true
		}
	}
	return false
}

// sendModel sends a request for the model.
func (scenario *scenario) sendModel(node *node, path string) answer {
	return scenario.sendWith(node, http.MethodPost, path, "prompt", map[string]string{
		"Model": modelName, "Token-Count": "700,80", "Prompt-Prefix": "5c1e07a2:40,e4402b7d:660",
	})
}

// configureModels writes a configuration with a service that has an engine. With unary it has a
// route of the kind non_idempotent there too.
func (scenario *scenario) configureModels(version int, unary bool) error {
	routes := []any{map[string]any{
		"name": "r-draft", "host": host, "prefix": "/lohu930/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 300, "priority": 1,
		"service": engineService, "maxAttempts": 2, "public": false, "sessionAffinity": true, "streamResume": true, "gapAimMs": 300,
	}}
	if unary {
		routes = append(routes, map[string]any{
			"name": "r-verdict", "host": host, "prefix": "/puxa403/", "kind": "non_idempotent", "timeoutMs": 2500, "targetLatencyMs": 400, "priority": 1,
			"service": engineService, "maxAttempts": 1, "public": false, "sessionAffinity": true,
		})
	}
	value, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{map[string]any{"name": engineService, "healthCheck": "/health", "maxConnections": 464, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 26, "kvCapacity": 1590000, "stride": 7, "step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700.0,
			"pairs_per_m": 0.368, "chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 4.5, "loads_at_once": 6, "keeps": 1, "far_x": 3.0, "formMs": 300.0,
			"usual":  map[string]any{"prompt": 1115, "answer": 178},
			"models": []any{map[string]any{"name": modelName, "size": 2, "share": 1.0, "pace": 1.0, "loadS": 16.0, "warmS": 0.4}},
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	scenario.store.set("op/config", value)
	return nil
}
