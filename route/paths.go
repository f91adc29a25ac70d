package route

import (
	"sync"
	"time"
)

const (
	// lossEvidence is the number of targets of a service that must be unreached, without
	// an answer of any other, before the node has lost the service: fewer may have failed
	// by themselves.
	lossEvidence = 3

	// minLossDomains is the number of failure domains that they must be in, because all
	// targets of one may fail together.
	minLossDomains = 2

	// serviceProbeInterval is the time between two probes of a lost service, and
	// targetProbeInterval that between two probes of an unreached target.
	serviceProbeInterval = 250 * time.Millisecond
	targetProbeInterval  = time.Second
)

// A PathTarget is a target to which a node opens connections.
type PathTarget struct {
	// Service is the name of its service, empty for groups whose VMs belong to none.
	Service       string
	ID            string
	Address       string
	FailureDomain string
}

// Paths records which targets this node reaches by its own connections. A node can lose
// the targets of a service, or all targets, while other nodes reach them.
//
// A target is unreached after a connection to it could not be established, or after all
// its responses have stopped, until it answers over a new connection or a probe. A service
// is lost after lossEvidence of its targets, in minLossDomains failure domains, have become
// unreached and none has answered in between, so that neither one silent target nor one
// failed domain counts as a loss. While a service is lost, services that have not answered
// since count as lost too. Paths is safe for concurrent use.
type Paths struct {
	mutex     sync.Mutex
	targets   map[string]PathTarget
	services  map[string]*servicePaths
	unreached map[string]*unreachedTarget
}

// servicePaths is what a node has seen of the paths to the targets of one service.
type servicePaths struct {
	// ids are the targets in the order in which they are probed.
	ids       []string
	nextProbe int
	probedAt  time.Time
	domains   int

	// failed holds the targets that became unreached since the last answer. silent holds
	// those of them whose open connections were silent: any answer contradicts that.
	failed map[string]bool
	silent map[string]bool

	lost       bool
	lostAt     time.Time
	answeredAt time.Time
}

type unreachedTarget struct {
	probedAt time.Time
	silent   bool
}

// NewPaths returns paths that are all sound.
func NewPaths() *Paths {
	return &Paths{targets: map[string]PathTarget{}, services: map[string]*servicePaths{}, unreached: map[string]*unreachedTarget{}}
}

// SetTargets replaces the targets.
func (paths *Paths) SetTargets(targets []PathTarget) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	paths.targets = make(map[string]PathTarget, len(targets))
	domains := map[string]map[string]bool{}
	for _, service := range paths.services {
		service.ids = nil
	}
	for _, target := range targets {
		paths.targets[target.ID] = target
		service := paths.service(target.Service)
		service.ids = append(service.ids, target.ID)
		if domains[target.Service] == nil {
			domains[target.Service] = map[string]bool{}
		}
		domains[target.Service][target.FailureDomain] = true
	}
	for name, service := range paths.services {
		if len(service.ids) == 0 {
			delete(paths.services, name)
			continue
		}
		service.domains = len(domains[name])
	}
	for id := range paths.unreached {
		if _, found := paths.targets[id]; !found {
			paths.forget(id)
		}
	}
}

func (paths *Paths) service(name string) *servicePaths {
	service := paths.services[name]
	if service == nil {
		service = &servicePaths{failed: map[string]bool{}, silent: map[string]bool{}}
		paths.services[name] = service
	}
	return service
}

func (paths *Paths) forget(id string) {
	delete(paths.unreached, id)
	for _, service := range paths.services {
		delete(service.failed, id)
		delete(service.silent, id)
	}
}

// Failed records that no connection to a target could be established. It reports whether
// the target's service is lost by that.
func (paths *Paths) Failed(id string, now time.Time) bool { return paths.fail(id, false, now) }

// Silent records that all responses of a target have stopped. It reports whether the
// target's service is lost by that.
func (paths *Paths) Silent(id string, now time.Time) bool { return paths.fail(id, true, now) }

func (paths *Paths) fail(id string, silent bool, now time.Time) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	target, found := paths.targets[id]
	if !found {
		return false
	}
	service := paths.service(target.Service)
	if known := paths.unreached[id]; known == nil || known.silent {
		paths.unreached[id] = &unreachedTarget{probedAt: now, silent: silent}
	}
	service.failed[id] = true
	if silent {
		service.silent[id] = true
	} else {
		delete(service.silent, id)
	}
	if service.lost || len(service.failed) < min(lossEvidence, len(service.ids)) {
		return false
	}
	domains := map[string]bool{}
	for failed := range service.failed {
		domains[paths.targets[failed].FailureDomain] = true
	}
	if len(domains) < min(minLossDomains, service.domains) {
		return false
	}
	service.lost, service.lostAt = true, now
	return true
}

// Answered records that a target sent something. opened is true if it was the first on a
// new connection or the result of a probe: open connections can work while new ones are
// not established. It reports whether the target's service is regained by that.
func (paths *Paths) Answered(id string, opened bool, now time.Time) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	target, found := paths.targets[id]
	if !found {
		return false
	}
	service := paths.service(target.Service)
	for silent := range service.silent {
		delete(service.failed, silent)
	}
	clear(service.silent)
	if known := paths.unreached[id]; known != nil && (opened || known.silent) {
		delete(paths.unreached, id)
	}
	if !opened {
		return false
	}
	clear(service.failed)
	service.answeredAt = now
	regained := service.lost
	service.lost = false
	return regained
}

// Reached reports whether requests should be sent to a target over connections of this
// node.
func (paths *Paths) Reached(id string) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	target, found := paths.targets[id]
	return !found || paths.unreached[id] == nil && !paths.lost(paths.services[target.Service])
}

// Lost reports whether the service of a target is lost.
func (paths *Paths) Lost(id string) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	target, found := paths.targets[id]
	return found && paths.lost(paths.services[target.Service])
}

// AnyLost reports whether any service is lost.
func (paths *Paths) AnyLost() bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	for _, service := range paths.services {
		if service.lost {
			return true
		}
	}
	return false
}

// lost reports whether a service is lost, or has not answered since another one was lost.
func (paths *Paths) lost(service *servicePaths) bool {
	if service == nil || service.lost {
		return service != nil
	}
	for _, other := range paths.services {
		if other.lost && service.answeredAt.Before(other.lostAt) {
			return true
		}
	}
	return false
}

// DueProbes returns the targets that are to be probed now: one of each lost service, and
// the unreached ones, at most limit of them.
func (paths *Paths) DueProbes(limit int, now time.Time) []PathTarget {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	var due []PathTarget
	for _, service := range paths.services {
		if !paths.lost(service) || len(service.ids) == 0 || now.Sub(service.probedAt) < serviceProbeInterval {
			continue
		}
		service.probedAt = now
		service.nextProbe++
		due = append(due, paths.targets[service.ids[service.nextProbe%len(service.ids)]])
	}
	for id, known := range paths.unreached {
		if len(due) >= limit {
			break
		}
		if now.Sub(known.probedAt) >= targetProbeInterval {
			known.probedAt = now
			due = append(due, paths.targets[id])
		}
	}
	return due
}
