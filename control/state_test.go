package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zaptest"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/fleet"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/limit"
	"lacewingspoke.org/lacewingspoke/peer"
	"lacewingspoke.org/lacewingspoke/route"
	"lacewingspoke.org/lacewingspoke/timer"
)

// A recorder is a fake of the mesh, the platform and the engines that records
// the calls of the control thread.
type recorder struct {
	Mesh
	Platform
	Engines

	sent   []peer.Frame
	puts   []kvstore.PutRequest
	orders int

	// deletes are the keys that were deleted, with the conditions.
	deletes map[string]kvstore.Expect
}

func (record *recorder) Send(_ string, frame peer.Frame) bool {
	record.sent = append(record.sent, frame)
	return true
}

func (record *recorder) Broadcast(frame peer.Frame, _ string) {
	record.sent = append(record.sent, frame)
}

func (record *recorder) SetTargets([]peer.Target) {}

func (record *recorder) List(context.Context, string) (kvstore.Listing, error) {
	return kvstore.Listing{}, errors.New("store does not answer")
}

func (record *recorder) Grant(context.Context, time.Duration) (string, error) {
	return "", errors.New("store does not answer")
}

func (record *recorder) Put(_ context.Context, request kvstore.PutRequest) kvstore.PutOutcome {
	record.puts = append(record.puts, request)
	return kvstore.Written{Revision: 1}
}

func (record *recorder) Delete(_ context.Context, key string, expect kvstore.Expect) kvstore.PutOutcome {
	if record.deletes == nil {
		record.deletes = map[string]kvstore.Expect{}
	}
	record.deletes[key] = expect
	return kvstore.Written{Revision: 1}
}

func (record *recorder) Report(context.Context, string) (engine.Report, error) {
	return engine.Report{VM: "other", Incarnation: "1", State: engine.StateReady}, nil
}

func (record *recorder) SendOrder(context.Context, string, engine.Order) engine.OrderOutcome {
	record.orders++
	return engine.OrderAccepted{}
}

func newTestState(test testing.TB) (*state, *recorder) {
	record := &recorder{}
	built := newState(&Controller{results: make(chan message, 1), config: Config{
		Name: "one", Incarnation: "1", Mesh: record, Platform: record, Engines: record,
		Traffic:   noTraffic{},
		Limits:    limit.NewTargetLimits("one"),
		Cold:      limit.NewColdTargets(limit.ColdTargetsConfig{Node: "one"}),
		Publisher: route.NewPublisher(),
		Timers:    timer.New(timer.Config{}),
		Logger:    zaptest.NewLogger(test),
		Random:    rand.New(rand.NewPCG(1, 1)),
	}})
	built.workers = context.Background()
	test.Cleanup(built.awaitWorkers)
	return built, record
}

// Guards against grant times that are counted from the arrival of the frame
// instead of SentAfter, and against grants from a link without a SentAfter,
// from an earlier leader or from an outdated frame.
func TestGrantTimesCountFromSentAfter(test *testing.T) {
	state, _ := newTestState(test)
	arrived := time.Now()
	sent := arrived.Add(-300 * time.Millisecond)
	frame := peer.Grants{
		Origin: "two", Incarnation: "1", Version: 7, Fence: 3, Domain: "fd",
		Groups: []peer.GroupGrant{{Group: "g", Epoch: 1, AgeMillis: 50, ValidMillis: 950}},
	}
	require.False(test, state.receiveGrants(arrived, frame, time.Time{}))
	require.True(test, state.receiveGrants(arrived, frame, sent))
	grant := state.domains["fd"].grants["g"].Grant
	require.Equal(test, sent.Add(-50*time.Millisecond), grant.ReportedAt)
	require.Equal(test, sent.Add(950*time.Millisecond), grant.ValidUntil)
	require.False(test, state.receiveGrants(arrived, frame, arrived), "the same version again")
	frame.Version, frame.Fence = 8, 2
	require.False(test, state.receiveGrants(arrived, frame, arrived), "an earlier leader")
	require.Equal(test, grant, state.domains["fd"].grants["g"].Grant)
}

// Guards against rounding in encodeGrants that reduces the age of a report or
// extends a grant.
func TestEncodingNeverExtendsGrants(test *testing.T) {
	now := time.Now()
	reported, until := now.Add(-1500*time.Microsecond), now.Add(900*time.Millisecond+700*time.Microsecond)
	encoded := encodeGrants(now, []group.GroupGrant{{Grant: group.Grant{Group: "g", ReportedAt: reported, ValidUntil: until}}})
	decoded := decodeGrant(encoded[0], now).Grant
	require.False(test, decoded.ReportedAt.After(reported))
	require.False(test, decoded.ValidUntil.After(until))
}

// Guards against orders and claims that are sent after their deadline, which
// happens if the process is paused for longer than its lease lasts.
func TestNoOrderOrClaimIsSentAfterItsDeadline(test *testing.T) {
	state, record := newTestState(test)
	past, future := state.now().Add(-time.Millisecond), state.now().Add(time.Hour)
	order := group.SendOrder{VM: "vm", Order: engine.Order{ID: "o"}, Deadline: past}
	require.Equal(test, group.OrderRefused{VM: "vm", Order: "o"}, state.sendOrder(context.Background(), order, &orderCount{}))
	require.IsType(test, kvstore.Refused{}, state.putBefore(context.Background(), past, kvstore.PutRequest{Key: "k"}))
	require.Zero(test, record.orders+len(record.puts))
	order.Deadline = future
	require.Equal(test, group.OrderAccepted{VM: "vm", Order: "o"}, state.sendOrder(context.Background(), order, &orderCount{}))
	require.IsType(test, kvstore.Written{}, state.putBefore(context.Background(), future, kvstore.PutRequest{Key: "k"}))
}

// Guards against a new leader that waits only for the shortest lease, 9 s, in a
// large fleet, whose leases last longer. If the store has lost the key of the
// previous leader, that leader still sends orders until its lease expires.
func TestNewLeaderWaitsForTheLongestLease(test *testing.T) {
	state, _ := newTestState(test)
	require.Equal(test, fleet.DefaultLeaseMinimum, state.leaderConfig("fd").LeaseDuration)
	for index := range 729 {
		name := fmt.Sprint("node-", index)
		state.handleFleet(time.Now(), fleet.LinkOpened{Node: fleet.Node{Name: name, Incarnation: "1"}})
	}
	require.Equal(test, 3*730*time.Second/fleet.DefaultRenewalsPerSecond, state.leaderConfig("fd").LeaseDuration)
}

// Guards against claims and commits that are sent without the condition that
// the core packages set.
func TestWritesKeepTheirCondition(test *testing.T) {
	state, record := newTestState(test)
	state.claimDomain(context.Background(), fleet.ClaimDomain{Domain: "fd", Key: "k", Deadline: state.now().Add(time.Hour)})
	state.commitPlacement(context.Background(), "fd", group.Commit{Expect: kvstore.ExpectRevision(7)})
	require.Equal(test, kvstore.ExpectAbsent(), record.puts[0].Expect)
	require.Equal(test, kvstore.ExpectRevision(7), record.puts[1].Expect)
}

// Guards against a report that is accepted for a VM although another VM at the
// same address sent it.
func TestReportOfAnotherVMIsRejected(test *testing.T) {
	state, _ := newTestState(test)
	read := group.ReadReport{VM: "vm", Address: "127.0.0.1:1", Timeout: time.Minute}
	require.Equal(test, group.ReportFailed{VM: "vm"}, state.readReport(context.Background(), read))
	read.VM = "other"
	require.IsType(test, group.ReportRead{}, state.readReport(context.Background(), read))
}

// Guards against a draining VM that receives work again because the platform's
// list lags, and against a new incarnation of the VM that receives none.
func TestDrainEndsOnlyWithNewIncarnation(test *testing.T) {
	state, record := newTestState(test)
	now := time.Now()
	vm := kvstore.VM{Name: "vm", Incarnation: "1", FabricDomain: "fd", State: kvstore.VMLeaving}
	state.handleVMs(now, []kvstore.VM{vm})
	require.True(test, state.isDraining("vm", "1"), "the list contains the VM as leaving")
	leaving := record.sent[len(record.sent)-1]
	require.IsType(test, peer.Leaving{}, leaving)
	vm.State = kvstore.VMLive
	state.handleVMs(now, []kvstore.VM{vm})
	require.True(test, state.isDraining("vm", "1"))

	record.sent = nil
	state.handleLinkUp(now, peer.Hello{Name: "two", Incarnation: "1"})
	require.Contains(test, record.sent, leaving, "a new peer receives the notice")

	vm.Incarnation = "2"
	state.handleVMs(now, []kvstore.VM{vm})
	require.Empty(test, state.drains)
	state.handleFrame(now, peer.Received{From: "two", Frame: leaving})
	require.False(test, state.isDraining("vm", "2"), "a late notice of the earlier incarnation")
}

// Guards against a drain that a lagging list applies to the wrong incarnation,
// overwrites or ends.
func TestDrainOutlastsLaggingList(test *testing.T) {
	state, _ := newTestState(test)
	now := time.Now()
	placement := `{"epoch":1,"groups":{"g":{"name":"g","size":1,"epoch":1}},"vms":{"vm":{"group":"g","incarnation":"2"}}}`
	state.setPlacement(now, "fd", 1, []byte(placement))
	lagging := kvstore.VM{Name: "vm", Incarnation: "1", FabricDomain: "fd", State: kvstore.VMLive}
	state.handleVMs(now, []kvstore.VM{lagging})
	running, found := state.targetIncarnation("vm")
	require.True(test, found)
	require.Equal(test, "2", running)
	state.markDraining(now, peer.Leaving{Target: "vm", Incarnation: running, Reason: "test"}, "")
	lagging.State = kvstore.VMLeaving
	state.handleVMs(now, []kvstore.VM{lagging})
	require.True(test, state.isDraining("vm", "2"), "the list contains the earlier incarnation as leaving")
	caughtUp := kvstore.VM{Name: "vm", Incarnation: "2", FabricDomain: "fd", State: kvstore.VMLive}
	state.handleVMs(now, []kvstore.VM{caughtUp})
	require.True(test, state.isDraining("vm", "2"), "the list contains the draining incarnation")
}

// Guards against new work for service runners that drain: by the audit entry of
// an operator's drain in the store, or by their own last report.
func TestDrainingRunnersAreClosed(test *testing.T) {
	state, _ := newTestState(test)
	now := time.Now()
	state.configuration.folder = folder.New(folder.Config{Services: []folder.Service{{Name: "planks", Addresses: []folder.ServiceAddress{
		{Address: "127.0.0.1:1"}, {Address: "127.0.0.1:2"}, {Address: "127.0.0.1:3"},
	}}}})
	state.handleDrainEntries(now, []kvstore.Entry{{Key: admin.DrainPrefix + "127.0.0.1:1", Value: []byte(`{"target":"127.0.0.1:1"}`)}})
	state.handleServiceReport(serviceRead{address: "127.0.0.1:2", report: ServiceReport{Draining: true}})
	state.handleServiceReport(serviceRead{address: "127.0.0.1:2", failed: true})
	open := map[string]bool{}
	for _, target := range state.serviceTargets() {
		open[target.Address] = target.Open
	}
	require.Equal(test, map[string]bool{"127.0.0.1:1": false, "127.0.0.1:2": false, "127.0.0.1:3": true}, open)
}

// Guards against a late placement record that replaces a newer one.
func TestOlderPlacementIsIgnored(test *testing.T) {
	state, _ := newTestState(test)
	newer := `{"epoch":2,"groups":{"g":{"name":"g","size":1,"epoch":2}},"vms":{"b":{"group":"g"}}}`
	older := `{"epoch":1,"groups":{"g":{"name":"g","size":1,"epoch":1}},"vms":{"a":{"group":"g"}}}`
	state.setPlacement(time.Now(), "fd", 9, []byte(newer))
	require.NotNil(test, state.domains["fd"].placement)
	state.handleFrame(time.Now(), peer.Received{Frame: peer.Placement{Domain: "fd", Revision: 8, Record: []byte(older)}})
	require.Equal(test, []string{"b"}, state.domains["fd"].placement.Members("g"))
}
