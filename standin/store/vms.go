package store

import (
	"sync"
	"time"
)

type vmListVersion struct {
	since time.Time
	vms   []VM
}

// vmList returns the VM list as it was one lag ago.
type vmList struct {
	mu       sync.Mutex
	lag      time.Duration
	versions []vmListVersion
}

func newVMList(vms []VM, lag time.Duration) *vmList {
	return &vmList{lag: lag, versions: []vmListVersion{{vms: vms}}}
}

func (list *vmList) set(vms []VM, now time.Time) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.versions = append(list.versions, vmListVersion{since: now, vms: vms})
}

func (list *vmList) setLag(lag time.Duration) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.lag = lag
}

func (list *vmList) visible(now time.Time) []VM {
	list.mu.Lock()
	defer list.mu.Unlock()
	current := 0
	for index, version := range list.versions {
		if !version.since.Add(list.lag).After(now) {
			current = index
		}
	}
	list.versions = list.versions[current:]
	vms := list.versions[0].vms
	if vms == nil {
		return []VM{}
	}
	return vms
}
