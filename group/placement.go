package group

import (
	"bytes"
	"encoding/json"
	"sort"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// A Placement is the record of one fabric domain: every VM mapped to at most
// one group and rank, and the epoch and state of each group. A map keyed by
// VM cannot hold a VM twice.
type Placement struct {
	domain string
	fence  uint64
	epoch  uint64
	leader string
	change string
	vms    map[string]Assignment
	groups map[string]Group

	// index is nil as long as the record may still change.
	index *placementIndex
}

// A placementIndex caches the sorted groups and their members, which every event
// reads.
type placementIndex struct {
	groups  []Group
	members map[string][]string
}

// An Assignment is the group and rank of one VM.
type Assignment struct {
	Group         string `json:"group"`
	Rank          int    `json:"rank"`
	Address       string `json:"address"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure-domain"`

	// Unlisted is set while the platform's list does not contain the VM, but the VM
	// answers its leader with this assignment.
	Unlisted bool `json:"unlisted,omitempty"`
}

// A Group is one serving group in the record.
type Group struct {
	// Name identifies the replica in the whole fleet.
	Name string `json:"name"`

	// Spec is the name of the folder's group of which this is a replica.
	Spec    string `json:"spec"`
	Epoch   uint64 `json:"epoch"`
	State   State  `json:"state"`
	Size    int    `json:"size"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

type placementRecord struct {
	Domain string                `json:"domain"`
	Fence  uint64                `json:"fence"`
	Epoch  uint64                `json:"epoch"`
	Leader string                `json:"leader"`
	Change string                `json:"change"`
	VMs    map[string]Assignment `json:"vms"`
	Groups map[string]Group      `json:"groups"`
}

// maxGroupSize bounds the memory that a reader allocates for a damaged record.
const maxGroupSize = 1 << 12

// NewPlacement returns an empty record for a fabric domain.
func NewPlacement(domain string) *Placement {
	return &Placement{
		domain: domain,
		vms:    map[string]Assignment{},
		groups: map[string]Group{},
	}
}

// DecodePlacement reads a stored record. It returns an errors.NotValid error
// for a record that is malformed or that breaks an invariant.
func DecodePlacement(record []byte) (*Placement, error) {
	if len(record) > kvstore.MaxValueBytes {
		return nil, errors.NotValidf("placement record of %d bytes", len(record))
	}
	var stored placementRecord
	decoder := json.NewDecoder(bytes.NewReader(record))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&stored); err != nil {
		return nil, errors.NewNotValid(err, "decoding placement record")
	}
	placement := NewPlacement(stored.Domain)
	placement.fence = stored.Fence
	placement.epoch = stored.Epoch
	placement.leader = stored.Leader
	placement.change = stored.Change
	if stored.VMs != nil {
		placement.vms = stored.VMs
	}
	if stored.Groups != nil {
		placement.groups = stored.Groups
	}
	if err := placement.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	placement.buildIndex()
	return placement, nil
}

func (placement *Placement) validate() error {
	type rankKey struct {
		group string
		rank  int
	}
	taken := map[rankKey]string{}
	for vm, assignment := range placement.vms {
		if _, found := placement.groups[assignment.Group]; !found {
			return errors.NotValidf("placement of VM %q in unknown group %q", vm, assignment.Group)
		}
		key := rankKey{assignment.Group, assignment.Rank}
		if other, found := taken[key]; found {
			return errors.NotValidf("rank %d of group %q held by VMs %q and %q", assignment.Rank, assignment.Group, vm, other)
		}
		taken[key] = vm
	}
	for vm, assignment := range placement.vms {
		if rank := assignment.Rank; rank < 0 || rank >= placement.groups[assignment.Group].Size {
			return errors.NotValidf("rank %d of VM %q in group %q", rank, vm, assignment.Group)
		}
	}
	for name, group := range placement.groups {
		if group.Size < 1 || group.Size > maxGroupSize {
			return errors.NotValidf("size %d of group %q", group.Size, name)
		}
		if group.Name != name {
			return errors.NotValidf("group %q under the name %q", group.Name, name)
		}
		if group.Epoch > placement.epoch {
			return errors.NotValidf("epoch %d of group %q above the record's %d", group.Epoch, name, placement.epoch)
		}
	}
	return nil
}

// Encode returns the record in the form in which it is stored.
func (placement *Placement) Encode() ([]byte, error) {
	record, err := json.Marshal(placementRecord{
		Domain: placement.domain,
		Fence:  placement.fence,
		Epoch:  placement.epoch,
		Leader: placement.leader,
		Change: placement.change,
		VMs:    placement.vms,
		Groups: placement.groups,
	})
	return record, errors.Trace(err)
}

// Domain returns the fabric domain.
func (placement *Placement) Domain() string { return placement.domain }

// Fence returns the fencing number.
func (placement *Placement) Fence() uint64 { return placement.fence }

// Epoch returns the highest epoch that any group of the domain has had.
func (placement *Placement) Epoch() uint64 { return placement.epoch }

// Group returns one group.
func (placement *Placement) Group(name string) (Group, bool) {
	group, found := placement.groups[name]
	return group, found
}

// Leader returns the node and incarnation of the leader that wrote the record.
func (placement *Placement) Leader() string { return placement.leader }

// Change returns the id of the write, which shows whether a write without an
// answer took effect.
func (placement *Placement) Change() string { return placement.change }

// Follows reports whether the record was written after another one of the domain.
func (placement *Placement) Follows(other *Placement) bool {
	if placement.fence != other.fence {
		return placement.fence > other.fence
	}
	return changeNumber(placement.change) > changeNumber(other.change)
}

// changeNumber returns the number of a change id, by which the changes of one leader are
// ordered, or 0 if it has none.
func changeNumber(change string) uint64 {
	number, err := strconv.ParseUint(change[strings.LastIndexByte(change, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// Assignment returns the group and rank of a VM, or false if it is in no group.
func (placement *Placement) Assignment(vm string) (Assignment, bool) {
	assignment, found := placement.vms[vm]
	return assignment, found
}

// VMs returns the names of the placed VMs in order.
func (placement *Placement) VMs() []string {
	names := make([]string, 0, len(placement.vms))
	for name := range placement.vms {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// buildIndex builds the index of a record that no longer changes.
func (placement *Placement) buildIndex() {
	index := &placementIndex{groups: placement.Groups(), members: map[string][]string{}}
	for _, group := range index.groups {
		index.members[group.Name] = make([]string, group.Size)
	}
	for vm, assignment := range placement.vms {
		if members := index.members[assignment.Group]; assignment.Rank < len(members) {
			members[assignment.Rank] = vm
		}
	}
	placement.index = index
}

// Groups returns the groups in the order of their names. The caller must not
// change the slice.
func (placement *Placement) Groups() []Group {
	if placement.index != nil {
		return placement.index.groups
	}
	groups := make([]Group, 0, len(placement.groups))
	for _, group := range placement.groups {
		groups = append(groups, group)
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	return groups
}

// Members returns the names of a group's VMs by rank. A rank without a VM is
// empty. The caller must not change the slice.
func (placement *Placement) Members(group string) []string {
	if placement.index != nil {
		return placement.index.members[group]
	}
	members := make([]string, placement.groups[group].Size)
	for vm, assignment := range placement.vms {
		if assignment.Group == group && assignment.Rank < len(members) {
			members[assignment.Rank] = vm
		}
	}
	return members
}
