package forward_test

import (
	"net/http"
	"testing"
)

// BenchmarkRequest measures a request to a plain service, sent directly and through another
// node. The caller, the nodes and the target run in this process.
func BenchmarkRequest(bench *testing.B) {
	for name, relayed := range map[string]bool{"direct": false, "through-another-node": true} {
		bench.Run(name, func(bench *testing.B) {
			runner := newTarget(bench, "r1", answers(200, "Seal: s\r\n", "free"))
			node := newNode(bench, tableFixture{idempotent: []*target{runner}})
			if relayed {
				cut := newNode(bench, tableFixture{idempotent: []*target{closedTarget(bench, "r1")}})
				cut.connect(bench, node)
				node = cut
			}
			bench.ReportAllocs()
			for bench.Loop() {
				if got := node.request(bench, http.MethodGet, "/idempotent/1", ""); got.status != http.StatusOK {
					bench.Fatalf("status %d: %s", got.status, got.body)
				}
			}
		})
	}
}
