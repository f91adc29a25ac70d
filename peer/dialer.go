package peer

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	// maxBackoffHeartbeats is the longest wait between two dials in heartbeat
	// intervals, 5 s by default.
	maxBackoffHeartbeats = 20
)

// A dialer dials one target whenever there is no link to it.
type dialer struct {
	mesh   *Mesh
	target Target
	cancel context.CancelFunc

	// failures is the number of dials since there was a link to the target.
	failures int
}

// run keeps a link to the target until the context ends.
func (dialer *dialer) run(ctx context.Context) {
	if dialer.target.Name > dialer.mesh.config.Name {
		dialer.dialUntilDone(ctx)
		return
	}
	// When both nodes dial, the connection that the node with the lesser name
	// dialled is kept. The other node waits one heartbeat interval for it before
	// it dials.
	if dialer.wait(ctx, dialer.mesh.config.HeartbeatInterval) {
		dialer.dialUntilDone(ctx)
	}
}

func (dialer *dialer) dialUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		if current := dialer.mesh.linkTo(dialer.target); current != nil {
			dialer.failures = 0
			dialer.awaitEnd(ctx, current)
			continue
		}
		dialer.dial(ctx)
		dialer.wait(ctx, dialer.backoff())
	}
}

// awaitEnd waits until the link or the context ends.
func (dialer *dialer) awaitEnd(ctx context.Context, current *link) {
	select {
	case <-ctx.Done():
	case <-current.ended:
	}
}

// dial opens one connection and serves it until it ends.
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

// backoff returns the wait before the next dial. It doubles with each failure
// up to maxBackoffHeartbeats, less a random part of up to one half.
func (dialer *dialer) backoff() time.Duration {
	interval := dialer.mesh.config.HeartbeatInterval
	longest := maxBackoffHeartbeats * interval
	backoff := longest
	if dialer.failures < 6 {
		backoff = min(longest, interval<<dialer.failures)
	}
	return backoff/2 + dialer.mesh.randomUpTo(backoff/2)
}

// wait waits for the delay. It returns false when the context ended first.
func (dialer *dialer) wait(ctx context.Context, delay time.Duration) bool {
	timeout := dialer.mesh.timer.After("redial", delay, 0)
	defer timeout.Cancel()
	select {
	case <-ctx.Done():
		return false
	case <-timeout.C():
		return true
	}
}

// SetTargets replaces the set of nodes to dial. Links to nodes outside the set
// are closed if this node dialled them and kept if the peer dialled them.
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

// startDialer records a target and starts its dialer. Before Run starts and
// after it has stopped, it only records the target. The caller must hold the
// mutex.
func (mesh *Mesh) startDialer(target Target) {
	dialer := &dialer{mesh: mesh, target: target, cancel: func() {}}
	mesh.dialers[target] = dialer
	if mesh.runCtx == nil || mesh.stopped {
		return
	}
	ctx, cancel := context.WithCancel(mesh.runCtx)
	dialer.cancel = cancel
	mesh.tasks.Go(func() {
		defer cancel()
		dialer.run(ctx)
	})
	mesh.logger.Debug("dialling node", zap.String("node", target.Name), zap.String("address", target.Address))
}
