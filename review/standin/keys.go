package main

import (
	"time"
)

const (
	keysHost    = "ficu95.example"
	bookPrefix  = "/puxa403/"
	heldKey     = "n2ctnfzs989anu6wsjnb"
	strangerKey = "zzzzzzzzzzzzzzzzzzzz"
	revokeTime  = 5 * time.Second
)

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthCheck": "/health", "maxConnections": 96, "protocol": "h1", "tls": false}
}

func bookRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-book", "host": keysHost, "prefix": bookPrefix, "kind": "non_idempotent", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2,
		"service": service, "maxAttempts": 1, "public": false,
	}
}

func keysConfiguration(version int, tenants []any) map[string]any {
	return map[string]any{
		"version": version, "routes": []any{bookRoute("ledger-desk")}, "services": []any{plainService("ledger-desk")}, "limits": limits(),
		"tenants": tenants,
	}
}

// playKeys takes the keys of the only tenant away, together with the tenant.
func playKeys(played *deployment) (int, error) {
	for _, zone := range []string{"lj-a", "lj-b"} {
		if err := played.addNode("edge-"+zone+"-1", zone); err != nil {
			return 0, err
		}
		if _, err := played.addRunner(runnerConfig{id: "i-ledger-" + zone, service: "ledger-desk", zone: zone, slots: 6, work: 30 * time.Millisecond}); err != nil {
			return 0, err
		}
	}
	tenant := map[string]any{"name": "hule930", "apiKeys": []string{heldKey}, "priority": 1}
	played.configure(keysConfiguration(7, []any{tenant}))
	if err := played.awaitReady(); err != nil {
		return 0, err
	}
	played.sendBookings(5 * time.Second)
	var revoked time.Time
	if played.troubled {
		revoked = played.configure(keysConfiguration(12, []any{}))
	}
	played.sendBookings(15 * time.Second)
	played.clients.ended.Wait()
	return played.judgeKeys(revoked), nil
}

// sendBookings sends ten requests a second with the key, and two with one that no tenant ever
// had, to the nodes in turn.
func (played *deployment) sendBookings(length time.Duration) {
	for index, end := 0, time.Now().Add(length); time.Now().Before(end); index++ {
		to := played.nodes[index%len(played.nodes)]
		played.clients.send(to, "POST", keysHost, bookPrefix+"2f", heldKey, 2500*time.Millisecond, nil, []byte("a plank"))
		if index%5 == 0 {
			played.clients.send(to, "POST", keysHost, bookPrefix+"stranger", strangerKey, 2500*time.Millisecond, nil, []byte("a plank"))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// judgeKeys counts the runs of requests that were sent later than revokeTime after their key
// was taken away. It also counts those whose key no configuration ever held.
func (played *deployment) judgeKeys(revoked time.Time) int {
	late, strangers, before := 0, 0, 0
	for _, seen := range played.runs.list() {
		sent, known := played.clients.lookup(seen.attempt)
		switch {
		case !known:
		case sent.key == strangerKey:
			strangers++
			played.record.note("ROUTE: %s with a key that no configuration ever held was run by %s", seen.attempt, seen.runner)
		case !revoked.IsZero() && sent.at.After(revoked.Add(revokeTime)):
			late++
			played.record.note("CONFIG: %s, sent %v after its key was taken away, was run by %s, tenant %q", seen.attempt, sent.at.Sub(revoked), seen.runner, seen.tenant)
		default:
			before++
		}
	}
	played.record.say("answers: %s", played.clients.summary())
	played.record.say("runs with the key in time: %d, with the key later than %v after it was taken away: %d, with a key that was never held: %d",
		before, revokeTime, late, strangers)
	return late + strangers
}
