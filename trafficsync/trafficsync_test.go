package trafficsync

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/timer"
	"lacewingspoke.org/lacewingspoke/traffic"
)

type node struct {
	exchange *traffic.Exchange
	link     *Link
	server   *httptest.Server
}

func startNode(test *testing.T, ctx context.Context, timers *timer.Service, name string) node {
	exchange := traffic.New(traffic.Config{Node: name})
	link, err := New(Config{Exchange: exchange, Now: time.Now, Timers: timers})
	require.NoError(test, err)
	mux := http.NewServeMux()
	mux.Handle("POST "+Path, link.Handler())
	server := httptest.NewServer(mux)
	test.Cleanup(server.Close)
	go link.Run(ctx)
	return node{exchange: exchange, link: link, server: server}
}

func (node node) address() string { return strings.TrimPrefix(node.server.URL, "http://") }

// A hub that dies, and one of an earlier release that answers 404, are replaced by the next.
func TestCountsReachOtherNodesThroughTheHubsThatAnswer(test *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	timers := timer.New(timer.Config{})
	go timers.Run(ctx)
	earlier := httptest.NewServer(http.NotFoundHandler())
	defer earlier.Close()
	first := startNode(test, ctx, timers, "first")
	second := startNode(test, ctx, timers, "second")
	member := startNode(test, ctx, timers, "member")
	ranked := [][]traffic.Hub{{
		{Node: "earlier", Address: strings.TrimPrefix(earlier.URL, "http://")},
		{Node: "first", Address: first.address()},
		{Node: "second", Address: second.address()},
	}}
	running := func(node node) int {
		use, _, fresh := node.exchange.Group("group", time.Now())
		if !fresh {
			return -1
		}
		return use.Running
	}
	for _, each := range []node{first, second, member} {
		each.exchange.SetHubs(ranked, 4)
		each.exchange.Begin("pool", "group", 100, time.Now())
	}
	require.Eventually(test, func() bool { return running(first) == 2 && running(second) == 2 && running(member) == 2 }, 10*time.Second, 10*time.Millisecond)
	first.server.CloseClientConnections()
	first.server.Close()
	require.Eventually(test, func() bool { return running(member) == 1 }, 10*time.Second, 10*time.Millisecond)
	cancel()
	for _, each := range []node{first, second, member} {
		require.NoError(test, <-each.link.Done())
	}
	<-timers.Done()
}

func TestInvalidPostsAreRejected(test *testing.T) {
	link, err := New(Config{Exchange: traffic.New(traffic.Config{Node: "node"}), Now: time.Now, Timers: timer.New(timer.Config{})})
	require.NoError(test, err)
	for _, body := range []string{"", "{}", strings.Repeat("\xdc\xff\xff", 100), strings.Repeat("x", maxBodyBytes+1)} {
		recorder := httptest.NewRecorder()
		link.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, Path, strings.NewReader(body)))
		require.Equal(test, http.StatusBadRequest, recorder.Code)
	}
}

// BenchmarkPost serves a member's post at a hub with the members and groups of a fleet.
func BenchmarkPost(bench *testing.B) {
	for _, fleet := range []struct{ nodes, members, groups, used int }{{83, 28, 30, 10}, {730, 104, 181, 20}} {
		bench.Run(fmt.Sprint(fleet.nodes), func(bench *testing.B) {
			now := time.Unix(1000, 0)
			hub := traffic.New(traffic.Config{Node: "hub"})
			hub.SetHubs([][]traffic.Hub{{{Node: "hub", Address: "hub"}}}, fleet.nodes)
			posts := make([][]byte, fleet.members)
			link, err := New(Config{Exchange: hub, Now: func() time.Time { return now }, Timers: timer.New(timer.Config{})})
			require.NoError(bench, err)
			for member := range posts {
				message := traffic.Message{Node: fmt.Sprintf("edge-region-zone-%d", member), Nodes: 1, Pools: []traffic.PoolUse{{Pool: "service/m0", Arrivals: 1.1, Worked: 2.3}, {Pool: "service/m1", Arrivals: 1.1, Worked: 2.3}}}
				for use := range fleet.used {
					group := (use*7 + member) % fleet.groups
					message.Groups = append(message.Groups, traffic.GroupUse{Group: fmt.Sprintf("service/m0.region-zone-d%d.%d", group/8, group%8), Running: 3, Waiting: 1, UnreadTokens: 900, FirstEvents: 1, FirstEvent: 93 * time.Millisecond})
				}
				posts[member], err = encode(message)
				require.NoError(bench, err)
			}
			serve := func(member int) *httptest.ResponseRecorder {
				recorder := httptest.NewRecorder()
				link.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, Path, strings.NewReader(string(posts[member]))))
				return recorder
			}
			hub.Due(now)
			now = now.Add(hub.Interval())
			for member := range posts {
				serve(member)
			}
			answer := 0
			for index := 0; bench.Loop(); index++ {
				answer = serve(index % fleet.members).Body.Len()
			}
			bench.ReportMetric(float64(len(posts[0])), "post-bytes")
			bench.ReportMetric(float64(answer), "answer-bytes")
		})
	}
}
