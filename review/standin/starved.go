package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	lookPrefix = "/cufi504/"

	// tightTarget is the targetLatencyMs of the added route.
	tightTarget = 80

	beforeAdded  = 5 * time.Second
	addedTime    = 5 * time.Second
	afterRemoved = 55 * time.Second
)

func lookRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-look", "host": keysHost, "prefix": lookPrefix, "kind": "idempotent", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2,
		"service": service, "maxAttempts": 2, "public": false,
	}
}

// playStarved adds a streaming route with a short target latency for some seconds, and removes
// it again.
func playStarved(played *deployment) (int, error) {
	for _, zone := range []string{"lj-a", "lj-b", "lj-c"} {
		if err := played.addNode("edge-"+zone+"-1", zone); err != nil {
			return 0, err
		}
		look := runnerConfig{id: "i-look-" + zone, service: "look-desk", zone: zone, slots: 6, queue: 24, work: 15 * time.Millisecond}
		if _, err := played.addRunner(look); err != nil {
			return 0, err
		}
	}
	draft, reply, look := streamRoute("r-draft", draftPrefix, "pool-a"), streamRoute("r-reply", replyPrefix, "pool-a"), lookRoute("look-desk")
	reply["targetLatencyMs"] = tightTarget
	services := []any{modelPool("pool-a"), plainService("look-desk")}
	played.configure(poolsConfiguration(7, []any{draft, look}, services))
	pool, err := played.addPool("pool-a", map[string]string{"f-1": "lj-a", "f-2": "lj-b"})
	if err != nil {
		return 0, err
	}
	if err := played.awaitReady(); err != nil {
		return 0, err
	}
	if err := await(40*time.Second, "pool-a serves", func() bool { return anyOpen(pool) }); err != nil {
		return 0, err
	}
	played.sendMixed(beforeAdded, false)
	if played.troubled {
		played.configure(poolsConfiguration(12, []any{draft, reply, look}, services))
	}
	played.sendMixed(addedTime, played.troubled)
	if played.troubled {
		played.configure(poolsConfiguration(15, []any{draft, look}, services))
	}
	played.sendMixed(afterRemoved, false)
	played.clients.ended.Wait()
	return played.judgeStarved(), nil
}

// sendMixed sends ten streams, 20 lookups and perhaps ten requests on the added route a second,
// to the nodes in turn.
func (played *deployment) sendMixed(length time.Duration, added bool) {
	header := map[string]string{"Model": poolsModel, "Token-Count": "460,35", "Prompt-Prefix": "5c1e07a2:40,91bd3f06:420", "Content-Type": "application/json"}
	for index, end := 0, time.Now().Add(length); time.Now().Before(end); index++ {
		to := played.nodes[index%len(played.nodes)]
		if index%2 == 0 {
			to := played.nodes[index/2%len(played.nodes)]
			played.clients.send(to, "POST", poolsHost, draftPrefix+"2f", poolsKey, 8*time.Second, header, []byte("prompt"))
			if added {
				played.clients.send(to, "POST", poolsHost, replyPrefix+"2f", poolsKey, 8*time.Second, header, []byte("prompt"))
			}
		}
		played.clients.send(to, "GET", poolsHost, lookPrefix+"fi50", poolsKey, 2500*time.Millisecond, nil, nil)
		time.Sleep(50 * time.Millisecond)
	}
}

// judgeStarved compares how often each kind of request was served with all requests.
func (played *deployment) judgeStarved() int {
	served, sent := map[string]int{}, map[string]int{}
	for path, statuses := range played.clients.counts() {
		for status, count := range statuses {
			for _, kind := range []string{path[:strings.LastIndex(path, "/")+1], "all"} {
				sent[kind] += count
				if status == http.StatusOK {
					served[kind] += count
				}
			}
		}
	}
	share := func(kind string) float64 { return float64(served[kind]) / float64(max(1, sent[kind])) }
	played.record.say("answers: %s", played.clients.summary())
	played.record.say("served: %.3f of %d streams on the first route, %.3f of %d on the added one, %.3f of %d lookups, %.3f of all",
		share(draftPrefix), sent[draftPrefix], share(replyPrefix), sent[replyPrefix], share(lookPrefix), sent[lookPrefix], share("all"))
	if share(draftPrefix) < share("all")/4 {
		return 1
	}
	return 0
}
