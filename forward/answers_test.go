package forward_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/standin/cut"
)

// anyTarget is a fixture with one target of all services, at an address.
func anyTarget(address string) tableFixture {
	targets := []*target{{name: "t1", closedAt: address}}
	return tableFixture{once: targets, idempotent: targets, groups: targets, maxBody: 8 << 20, unresumable: true}
}

// plainTarget is anyTarget with a plain service of streams.
func plainTarget(address string) tableFixture {
	return tableFixture{runners: []*target{{name: "t1", closedAt: address}}, maxBody: 8 << 20, unresumable: true}
}

// eachWay calls check with a node that reaches the target of a fixture, and with one that sends
// its requests through that node, for each path that the fixture has.
func eachWay(test *testing.T, fixture tableFixture, check func(test *testing.T, node *node, path string)) {
	paths := map[string][]*target{"/once/1": fixture.once, "/idempotent/1": fixture.idempotent, "/stream/1": append(fixture.groups, fixture.runners...)}
	for path, targets := range paths {
		if len(targets) == 0 {
			continue
		}
		for _, relayed := range []bool{false, true} {
			test.Run(fmt.Sprintf("%s, relayed %v", path, relayed), func(test *testing.T) {
				reaching := newNode(test, fixture)
				if !relayed {
					check(test, reaching, path)
					return
				}
				cutFixture := fixture
				cutFixture.once, cutFixture.idempotent = closedTargets(test, fixture.once), closedTargets(test, fixture.idempotent)
				cutFixture.groups, cutFixture.runners = closedTargets(test, fixture.groups), closedTargets(test, fixture.runners)
				cutOff := newNode(test, cutFixture)
				cutOff.connect(test, reaching)
				check(test, cutOff, path)
			})
		}
	}
}

// Guards against the beginning of an answer without a length that is passed on as the whole
// answer, because a write of the request has got the reset of the connection.
func TestResetAnswerWithoutLengthIsNotWhole(test *testing.T) {
	upload := strings.Repeat("x", 7<<20)
	for name, header := range map[string]string{"kept": "", "closed": "Connection: close\r\n"} {
		text := sealedHead + header + "\r\n" + event(1) + event(2)
		server, err := cut.Start(cut.Config{Answer: cut.Always(text), Reset: true, Early: true})
		require.NoError(test, err)
		defer server.Close()
		server.SetLength(len(text))
		for kind, fixture := range map[string]tableFixture{"any": anyTarget(server.Address()), "plain": plainTarget(server.Address())} {
			test.Run(name+", "+kind, func(test *testing.T) {
				eachWay(test, fixture, func(test *testing.T, node *node, path string) {
					before := server.Requests()
					got := node.request(test, http.MethodPost, path, upload)
					require.Greater(test, server.Requests(), before)
					require.True(test, got.err != nil || got.status == http.StatusBadGateway, "a part of the answer is complete: status %d, %q", got.status, got.body)
				})
			})
		}
	}
}
