package route

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lacewingspoke.org/lacewingspoke/catalog"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
)

// A GroupTarget is a serving group that may receive drafts.
type GroupTarget struct {
	Name string

	// Service is the service that the members belong to, empty if VMs belong to none.
	Service string

	// Spec is the name of the group section in the operators' folder, or of the model of
	// a service.
	Spec  string
	Epoch uint64

	// VM is the name of rank 0's VM, and Incarnation the incarnation that was placed.
	VM          string
	Incarnation string

	// Address is the IP:port of rank 0.
	Address       string
	FailureDomain string

	// Open is false when the group accepts no new requests, for example because
	// it or one of its VMs is draining.
	Open  bool
	Grant group.Grant
	Load  group.Load

	// LoadUnreported is true when the reports behind the grant contain no load.
	// The load is then observed only in the target's responses.
	LoadUnreported bool
}

// Life identifies one life of rank 0: a restarted VM serves again only under a higher
// epoch.
func (target GroupTarget) Life() string {
	return target.VM + "/" + target.Name + "/" + strconv.FormatUint(target.Epoch, 10)
}

// Instance identifies one incarnation of rank 0's VM.
func (target GroupTarget) Instance() string { return target.VM + "/" + target.Incarnation }

// LoadReportedAt returns the time at which the load was reported, zero if the
// reports contain no load.
func (target GroupTarget) LoadReportedAt() time.Time {
	if target.LoadUnreported {
		return time.Time{}
	}
	return target.Grant.ReportedAt
}

// A ServiceTarget is one runner of a service.
type ServiceTarget struct {
	Service string

	// Name identifies the runner. It is empty if the runner is identified by its
	// address only.
	Name          string
	Incarnation   string
	Address       string
	FailureDomain string

	// Slots is the number of requests that the runner serves concurrently, 0 if
	// unknown.
	Slots int

	// Open is false when the runner is draining.
	Open bool
	Load group.Load
}

// ID returns the identifier of the runner in sets of excluded targets, in
// Suspects and in a Tracker: its name, or its address if it has no name.
func (target ServiceTarget) ID() string {
	if target.Name != "" {
		return target.Name
	}
	return target.Address
}

// Instance identifies one incarnation of the runner.
func (target ServiceTarget) Instance() string { return target.ID() + "/" + target.Incarnation }

// TableConfig holds the content of a Table.
type TableConfig struct {
	// Folder is nil while no configuration has been received.
	Folder     *folder.Folder
	Generation uint64
	Groups     []GroupTarget
	Services   []ServiceTarget

	// Catalog is nil if requests are routed by the folder.
	Catalog *catalog.Catalog

	// Evacuated are the evacuated failure domains. The groups and runners of those that
	// receive no requests at the time At count as closed.
	Evacuated []Evacuation
	At        time.Time
}

// A Table is an immutable snapshot of the configuration and the targets, which
// requests are routed by.
type Table struct {
	folder     *folder.Folder
	catalog    *catalog.Catalog
	generation uint64
	groups     []GroupTarget
	bySpec     map[groupSpec][]GroupTarget

	// byName holds indexes into groups.
	byName   map[string]int
	services map[string][]ServiceTarget
	runners  []ServiceTarget

	evacuated []Evacuation
}

// NewTable returns a table. The slices of config must not be modified afterwards.
func NewTable(config TableConfig) *Table {
	closeEvacuated(&config)
	table := &Table{
		evacuated:  config.Evacuated,
		folder:     config.Folder,
		catalog:    config.Catalog,
		generation: config.Generation,
		groups:     config.Groups,
		runners:    config.Services,
		bySpec:     groupsBySpec(config.Groups),
		byName:     make(map[string]int, len(config.Groups)),
		services:   map[string][]ServiceTarget{},
	}
	for index := range config.Groups {
		table.byName[config.Groups[index].Name] = index
	}
	for _, target := range config.Services {
		table.services[target.Service] = append(table.services[target.Service], target)
	}
	return table
}

// An Evacuation is a failure domain whose targets receive no requests from a time on.
type Evacuation struct {
	FailureDomain string
	From          time.Time
}

// isEvacuated reports whether the targets of a failure domain receive no requests at now.
func isEvacuated(evacuations []Evacuation, failureDomain string, now time.Time) bool {
	return slices.ContainsFunc(evacuations, func(evacuation Evacuation) bool {
		return evacuation.FailureDomain == failureDomain && !now.Before(evacuation.From)
	})
}

// closeEvacuated closes copies of the targets in evacuated failure domains.
func closeEvacuated(config *TableConfig) {
	if len(config.Evacuated) == 0 {
		return
	}
	config.Groups, config.Services = slices.Clone(config.Groups), slices.Clone(config.Services)
	for index := range config.Groups {
		target := &config.Groups[index]
		target.Open = target.Open && !isEvacuated(config.Evacuated, target.FailureDomain, config.At)
	}
	for index := range config.Services {
		target := &config.Services[index]
		target.Open = target.Open && !isEvacuated(config.Evacuated, target.FailureDomain, config.At)
	}
}

// A groupSpec identifies the groups among which a request can choose.
type groupSpec struct{ service, spec string }

func (target *GroupTarget) groupSpec() groupSpec { return groupSpec{target.Service, target.Spec} }

// groupsBySpec counts the groups first to allocate each slice once: a table is
// created for every frame of grants, and growing the slices would cause most of
// its garbage.
func groupsBySpec(groups []GroupTarget) map[groupSpec][]GroupTarget {
	counts := map[groupSpec]int{}
	for index := range groups {
		counts[groups[index].groupSpec()]++
	}
	bySpec := make(map[groupSpec][]GroupTarget, len(counts))
	for spec, count := range counts {
		bySpec[spec] = make([]GroupTarget, 0, count)
	}
	for index := range groups {
		key := groups[index].groupSpec()
		bySpec[key] = append(bySpec[key], groups[index])
	}
	return bySpec
}

// Folder returns the configuration in force, nil if there is none.
func (table *Table) Folder() *folder.Folder { return table.folder }

// Catalog returns the routes of callers' HTTP requests, nil if there are none.
func (table *Table) Catalog() *catalog.Catalog { return table.catalog }

// Generation returns the generation of the configuration in force, 0 if there is
// none.
func (table *Table) Generation() uint64 { return table.generation }

// Groups returns the serving groups of one group section in the folder, whose service is
// empty, or of one model of a service.
func (table *Table) Groups(service, spec string) []GroupTarget {
	return table.bySpec[groupSpec{service, spec}]
}

// AllGroups returns the serving groups of all models.
func (table *Table) AllGroups() []GroupTarget { return table.groups }

// AllServices returns the runners of all services.
func (table *Table) AllServices() []ServiceTarget { return table.runners }

// Group returns the serving group with a name.
func (table *Table) Group(name string) (GroupTarget, bool) {
	index, found := table.byName[name]
	if !found {
		return GroupTarget{}, false
	}
	return table.groups[index], true
}

// Services returns the runners of a service.
func (table *Table) Services(service string) []ServiceTarget { return table.services[service] }

// GroupOpen reports whether the group accepts new requests at a VM and epoch.
func (table *Table) GroupOpen(name, vm string, epoch uint64) bool {
	target, found := table.Group(name)
	return found && target.Open && target.VM == vm && target.Epoch == epoch
}

// ServiceOpen reports whether a runner accepts new requests.
func (table *Table) ServiceOpen(id string) bool {
	return slices.ContainsFunc(table.runners, func(target ServiceTarget) bool { return target.ID() == id && target.Open })
}

// Evacuated reports whether the targets of a failure domain receive no requests at now.
func (table *Table) Evacuated(failureDomain string, now time.Time) bool {
	return isEvacuated(table.evacuated, failureDomain, now)
}

// A Publisher provides the latest Table to the goroutines that serve requests.
type Publisher struct {
	current atomic.Pointer[Table]
	mutex   sync.Mutex
	changed chan struct{}
}

// NewPublisher returns a publisher with an empty table.
func NewPublisher() *Publisher {
	publisher := &Publisher{changed: make(chan struct{})}
	publisher.current.Store(NewTable(TableConfig{}))
	return publisher
}

// Current returns the latest table.
func (publisher *Publisher) Current() *Table { return publisher.current.Load() }

// Publish replaces the table and closes the channel of Changed.
func (publisher *Publisher) Publish(table *Table) {
	publisher.mutex.Lock()
	defer publisher.mutex.Unlock()
	publisher.current.Store(table)
	close(publisher.changed)
	publisher.changed = make(chan struct{})
}

// Changed returns a channel that is closed by the next Publish. Call Changed
// before Current, so that no change between the two calls is missed.
func (publisher *Publisher) Changed() <-chan struct{} {
	publisher.mutex.Lock()
	defer publisher.mutex.Unlock()
	return publisher.changed
}
