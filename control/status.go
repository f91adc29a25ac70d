package control

import (
	"context"
	"sort"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/group"
)

// Status returns the state of the node and of the fleet as recorded at it.
func (controller *Controller) Status(ctx context.Context) (admin.Status, error) {
	var status admin.Status
	err := controller.do(ctx, func(now time.Time) {
		status = controller.state.status(now)
	})
	return status, errors.Trace(err)
}

func (state *state) status(now time.Time) admin.Status {
	head := state.configuration.head()
	return admin.Status{
		Node:          state.config.Name,
		Incarnation:   state.config.Incarnation,
		FailureDomain: state.config.FailureDomain,
		Generation:    head.Generation,
		Change:        head.Change,
		Digest:        head.Digest,
		Ready:         state.controller.Healthy() == nil,
		Stopping:      state.stopping,
		StoreReached:  now.Sub(state.storeReachedAt) < isolationBound,
		Peers:         state.peerStatus(),
		Leads:         state.fleet.Led(now),
		Groups:        state.groupStatus(now),
		Leaving:       state.drainingTargets(),
		Quarantined:   state.quarantinedParts(),
		Evacuated:     state.evacuationStatus(now),
	}
}

func (state *state) peerStatus() []admin.PeerStatus {
	peers := []admin.PeerStatus{}
	for _, name := range state.config.Mesh.Linked() {
		peers = append(peers, admin.PeerStatus{Name: name, Generation: state.configuration.generations[name]})
	}
	return peers
}

func (state *state) groupStatus(now time.Time) []admin.GroupStatus {
	groups := []admin.GroupStatus{}
	for _, domain := range state.domains {
		if domain.placement == nil {
			continue
		}
		for _, placed := range domain.placement.Groups() {
			groups = append(groups, domain.status(placed, now))
		}
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	return groups
}

func (domain *domainState) status(placed group.Group, now time.Time) admin.GroupStatus {
	granted := domain.grants[placed.Name]
	return admin.GroupStatus{
		Name:    placed.Name,
		Spec:    placed.Spec,
		Epoch:   placed.Epoch,
		State:   string(placed.State),
		Granted: granted.Grant.Holds(placed.Epoch, now),
		Running: granted.Load.Running,
		Queued:  granted.Load.Queued,
		Members: domain.placement.Members(placed.Name),
	}
}

func (state *state) drainingTargets() []string {
	targets := []string{}
	for key := range state.drains {
		targets = append(targets, key.target)
	}
	sort.Strings(targets)
	return targets
}
