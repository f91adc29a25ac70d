package route

import (
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

	// Spec is the name of the folder's group.
	Spec  string
	Epoch uint64

	// VM is the name of rank 0's VM.
	VM string

	// Address is IP:port of rank 0.
	Address       string
	FailureDomain string

	// Open is false when the group takes no new requests, for example because
	// it is draining or one of its VMs is leaving.
	Open  bool
	Grant group.Grant
	Load  group.Load

	// LoadUntold says that the reports behind the grant tell no load: it is known
	// from the target's answers only.
	LoadUntold bool
}

// LoadAt returns when the load was reported, zero when no report tells it.
func (target GroupTarget) LoadAt() time.Time {
	if target.LoadUntold {
		return time.Time{}
	}
	return target.Grant.ReportedAt
}

// A ServiceTarget is one runner of a service.
type ServiceTarget struct {
	Service string

	// Name identifies the runner; empty when only its address does.
	Name          string
	Address       string
	FailureDomain string

	// Slots is the number of requests that the runner takes at once, 0 when it
	// is not known.
	Slots int

	// Open is false when the runner is leaving.
	Open bool
	Load group.Load
}

// ID returns what exclusions, suspicions and counts know the runner by: its
// name, or its address when it has none.
func (target ServiceTarget) ID() string {
	if target.Name != "" {
		return target.Name
	}
	return target.Address
}

// TableConfig holds the content of a Table.
type TableConfig struct {
	// Folder is nil when no configuration is known.
	Folder     *folder.Folder
	Generation uint64
	Groups     []GroupTarget
	Services   []ServiceTarget

	// Catalog is nil where requests are routed by the folder.
	Catalog *catalog.Catalog
}

// A Table is an immutable snapshot of what traffic needs.
type Table struct {
	folder     *folder.Folder
	catalog    *catalog.Catalog
	generation uint64
	groups     []GroupTarget
	bySpec     map[string][]GroupTarget

	// byName holds indexes into groups.
	byName   map[string]int
	services map[string][]ServiceTarget
	runners  []ServiceTarget
}

// NewTable returns a snapshot. The caller does not change the slices later.
func NewTable(config TableConfig) *Table {
	table := &Table{
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

// groupsBySpec counts first, because a table is made for every frame of grants
// and growing slices would make most of its garbage.
func groupsBySpec(groups []GroupTarget) map[string][]GroupTarget {
	counts := map[string]int{}
	for index := range groups {
		counts[groups[index].Spec]++
	}
	bySpec := make(map[string][]GroupTarget, len(counts))
	for spec, count := range counts {
		bySpec[spec] = make([]GroupTarget, 0, count)
	}
	for _, target := range groups {
		bySpec[target.Spec] = append(bySpec[target.Spec], target)
	}
	return bySpec
}

// Folder returns the configuration in force, nil when none is known.
func (table *Table) Folder() *folder.Folder { return table.folder }

// Catalog returns the routes of callers' HTTP requests, nil when none are
// known.
func (table *Table) Catalog() *catalog.Catalog { return table.catalog }

// Generation returns the generation in force, 0 when none is known.
func (table *Table) Generation() uint64 { return table.generation }

// Groups returns the serving groups of a folder's group.
func (table *Table) Groups(spec string) []GroupTarget { return table.bySpec[spec] }

// AllGroups returns the serving groups of all models.
func (table *Table) AllGroups() []GroupTarget { return table.groups }

// AllServices returns the runners of all services.
func (table *Table) AllServices() []ServiceTarget { return table.runners }

// Group returns one serving group.
func (table *Table) Group(name string) (GroupTarget, bool) {
	index, found := table.byName[name]
	if !found {
		return GroupTarget{}, false
	}
	return table.groups[index], true
}

// Services returns the runners of a service.
func (table *Table) Services(service string) []ServiceTarget { return table.services[service] }

// A Publisher hands the newest Table to traffic.
type Publisher struct {
	current atomic.Pointer[Table]
	mutex   sync.Mutex
	changed chan struct{}
}

// NewPublisher returns a publisher that holds an empty table.
func NewPublisher() *Publisher {
	publisher := &Publisher{changed: make(chan struct{})}
	publisher.current.Store(NewTable(TableConfig{}))
	return publisher
}

// Current returns the newest table.
func (publisher *Publisher) Current() *Table { return publisher.current.Load() }

// Publish replaces the table and wakes all that wait on Changed.
func (publisher *Publisher) Publish(table *Table) {
	publisher.mutex.Lock()
	defer publisher.mutex.Unlock()
	publisher.current.Store(table)
	close(publisher.changed)
	publisher.changed = make(chan struct{})
}

// Changed returns a channel that closes at the next Publish. Call it before
// Current, so that no change is missed between the two.
func (publisher *Publisher) Changed() <-chan struct{} {
	publisher.mutex.Lock()
	defer publisher.mutex.Unlock()
	return publisher.changed
}
