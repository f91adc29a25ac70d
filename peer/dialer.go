package peer

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	// maxBackoffHeartbeats bounds the wait between two dials, in heartbeat
	// intervals: 5 s by default.
	maxBackoffHeartbeats = 20
)

// dialer keeps a link to one target.
type dialer struct {
	mesh   *Mesh
	target Target
	cancel context.CancelFunc

	// failures is the number of dials since the last link.
	failures int
}

func (dialer *dialer) run(ctx context.Context) {
	if dialer.target.Name > dialer.mesh.config.Name {
		dialer.dialUntilDone(ctx)
		return
	}
	// When both nodes dial, the connection of the lesser name stays, so the
	// other one gives it time to arrive.
	if dialer.wait(ctx, dialer.mesh.config.HeartbeatInterval) {
		dialer.dialUntilDone(ctx)
	}
}

func (dialer *dialer) dialUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		if linked := dialer.mesh.linkTo(dialer.target); linked != nil {
			dialer.failures = 0
			dialer.await(ctx, linked)
			continue
		}
		dialer.dial(ctx)
		dialer.wait(ctx, dialer.backoff())
	}
}

func (dialer *dialer) await(ctx context.Context, linked *link) {
	select {
	case <-ctx.Done():
	case <-linked.ended:
	}
}

// dial makes one connection and serves it until it ends.
func (dialer *dialer) dial(ctx context.Context) {
	mesh := dialer.mesh
	dialer.failures++
	netDialer := net.Dialer{Timeout: silentHeartbeats * mesh.config.HeartbeatInterval}
	conn, err := netDialer.DialContext(ctx, "tcp", dialer.target.Address)
	if err != nil {
		mesh.metrics.closed.WithLabelValues("dial-failed").Inc()
		return
	}
	if mesh.serve(ctx, conn, &dialer.target) {
		dialer.failures = 0
	}
}

// backoff doubles with each failure, of which a random half is taken off.
func (dialer *dialer) backoff() time.Duration {
	interval := dialer.mesh.config.HeartbeatInterval
	longest := maxBackoffHeartbeats * interval
	backoff := longest
	if dialer.failures < 6 {
		backoff = min(longest, interval<<dialer.failures)
	}
	return backoff/2 + dialer.mesh.randomUpTo(backoff/2)
}

// wait reports whether the time passed before the context ended.
func (dialer *dialer) wait(ctx context.Context, delay time.Duration) bool {
	alarm := dialer.mesh.timer.After("redial", delay, 0)
	defer alarm.Cancel()
	select {
	case <-ctx.Done():
		return false
	case <-alarm.C():
		return true
	}
}

// SetTargets replaces the nodes to dial. Links to other nodes that this node
// dialled are closed; links that the peer dialled stay.
func (mesh *Mesh) SetTargets(targets []Target) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	wanted := make(map[Target]bool, len(targets))
	for _, target := range targets {
		if target.Name == mesh.config.Name || target.Address == mesh.Address() {
			continue
		}
		wanted[target] = true
	}
	for target, dialer := range mesh.dialers {
		if !wanted[target] {
			dialer.cancel()
			delete(mesh.dialers, target)
		}
	}
	for target := range wanted {
		if _, found := mesh.dialers[target]; !found {
			mesh.startDialer(target)
		}
	}
}

// startDialer needs the mutex. Before Run and after its end it does nothing
// but remember the target.
func (mesh *Mesh) startDialer(target Target) {
	dialer := &dialer{mesh: mesh, target: target, cancel: func() {}}
	mesh.dialers[target] = dialer
	if mesh.running == nil || mesh.stopped {
		return
	}
	ctx, cancel := context.WithCancel(mesh.running)
	dialer.cancel = cancel
	mesh.tasks.Go(func() {
		defer cancel()
		dialer.run(ctx)
	})
	mesh.logger.Debug("dialling", zap.String("node", target.Name), zap.String("address", target.Address))
}
