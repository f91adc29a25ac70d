package folder

import (
	"fmt"
	"time"

	"lacewingspoke.org/lacewingspoke/inifile"
)

// maxSpreadTime is the bound within which a leaving target receives no new
// work (guarantee G6).
const maxSpreadTime = 3 * time.Second

// checker finds the faults between keys and between sections. Sections reach
// it in canonical order.
type checker struct {
	merger  *merger
	groups  map[string]Group
	digests map[string]string
	paths   map[workspacePath]string
	policy  Policy
}

// workspacePath is a path prefix of one workspace.
type workspacePath struct {
	workspace string
	prefix    string
}

func newChecker(merger *merger) *checker {
	return &checker{
		merger:  merger,
		groups:  map[string]Group{},
		digests: map[string]string{},
		paths:   map[workspacePath]string{},
	}
}

func (checker *checker) check(section *mergedSection, built *item) {
	switch section.id.kind {
	case sectionPolicy:
		checker.checkPolicy(section, built.policy)
	case sectionGroup:
		checker.checkGroup(section, built.group)
	case sectionService:
		checker.checkService(section, built.service)
	case sectionWorkspace:
		checker.checkWorkspace(section, built.workspace)
	case sectionRoute:
		checker.checkRoute(section, built.route)
	}
}

// report places a problem at the key, or at the section's header when the key
// has its default.
func (checker *checker) report(section *mergedSection, key, text string) {
	at := section.place
	if value, found := section.values[key]; found {
		at = value.place
	}
	checker.merger.report(at, key, text)
}

// checkReference reports a name that no section of the kind has. An empty
// name is absent or has a fault of its own.
func (checker *checker) checkReference(section *mergedSection, key, kind, name string) {
	if name == "" {
		return
	}
	id := sectionID{kind: kind, name: name}
	if _, found := checker.merger.sections[id]; !found {
		checker.report(section, key, "there is no "+id.header())
	}
}

func (checker *checker) checkPolicy(section *mergedSection, policy Policy) {
	checker.policy = policy
	if policy.GrantBound > 0 && policy.GrantBound <= policy.ReportInterval {
		text := fmt.Sprintf("%s is not above report-interval %s, so every grant would expire before the next report",
			inifile.FormatDuration(policy.GrantBound), inifile.FormatDuration(policy.ReportInterval))
		checker.report(section, "grant-bound", text)
	}
	if policy.SpreadTime > maxSpreadTime {
		text := fmt.Sprintf("%s is above the %s within which a leaving target is known",
			inifile.FormatDuration(policy.SpreadTime), inifile.FormatDuration(maxSpreadTime))
		checker.report(section, "spread-time", text)
	}
	if policy.DowntimeWeight == 0 && policy.StrandedWeight == 0 && checker.bothValid(section) {
		checker.report(section, "stranded-weight", "both weights are 0, so no placement is better than another")
	}
}

// bothValid reports whether a weight of 0 is what the operator wrote.
func (checker *checker) bothValid(section *mergedSection) bool {
	downtime := section.values["downtime-weight"]
	stranded := section.values["stranded-weight"]
	return downtime.valid && stranded.valid
}

func (checker *checker) checkGroup(section *mergedSection, group Group) {
	checker.groups[group.Name] = group
	checker.checkReference(section, "target-class", sectionTargetClass, group.TargetClass)
}

func (checker *checker) checkService(section *mergedSection, service Service) {
	checker.checkReference(section, "target-class", sectionTargetClass, service.TargetClass)
	seen := map[string]bool{}
	for _, address := range service.Addresses {
		if seen[address.Address] {
			checker.report(section, "addresses", "duplicate address "+address.Address)
		}
		seen[address.Address] = true
	}
}

func (checker *checker) checkWorkspace(section *mergedSection, workspace Workspace) {
	for _, digest := range workspace.KeyDigests {
		owner, found := checker.digests[digest]
		switch {
		case found && owner == workspace.Name:
			checker.report(section, "key-digests", "duplicate digest "+digestPrefix+digest)
		case found:
			checker.report(section, "key-digests", fmt.Sprintf("digest %s%s is also in [workspace %s]", digestPrefix, digest, owner))
		}
		checker.digests[digest] = workspace.Name
	}
	if checker.policy.BookingRetention > 0 && workspace.Deadline > checker.policy.BookingRetention {
		text := fmt.Sprintf("%s is above booking-retention %s, so a claim could be deleted while its request runs",
			inifile.FormatDuration(workspace.Deadline), inifile.FormatDuration(checker.policy.BookingRetention))
		checker.report(section, "deadline", text)
	}
}

func (checker *checker) checkRoute(section *mergedSection, route Route) {
	checker.checkReference(section, "workspace", sectionWorkspace, route.Workspace)
	checker.checkReference(section, "group", sectionGroup, route.Group)
	checker.checkReference(section, "service", sectionService, route.Service)
	switch route.Kind {
	case KindDraft:
		checker.checkTarget(section, "group", "service", "draft")
		checker.checkReplicas(section, route)
	case KindService:
		checker.checkTarget(section, "service", "group", "service")
		if route.MinReplicas > 0 {
			checker.report(section, "min-replicas", "a route of kind service has no replicas")
		}
	}
	checker.checkPath(section, route)
}

// checkTarget reports a route without the target that its kind needs, or with
// the target of the other kind.
func (checker *checker) checkTarget(section *mergedSection, wanted, other, kind string) {
	if _, found := section.values[wanted]; !found {
		checker.merger.report(section.place, section.id.header(), fmt.Sprintf("key %s is missing for kind %s", wanted, kind))
	}
	if _, found := section.values[other]; found {
		checker.report(section, other, fmt.Sprintf("contradicts kind %s", kind))
	}
}

func (checker *checker) checkReplicas(section *mergedSection, route Route) {
	group, found := checker.groups[route.Group]
	if !found || !checker.merger.sections[sectionID{sectionGroup, group.Name}].values["replicas"].valid {
		return
	}
	if route.MinReplicas > group.Replicas {
		text := fmt.Sprintf("%d is above the %d replicas of [group %s]", route.MinReplicas, group.Replicas, group.Name)
		checker.report(section, "min-replicas", text)
	}
}

func (checker *checker) checkPath(section *mergedSection, route Route) {
	if route.Workspace == "" || route.PathPrefix == "" {
		return
	}
	key := workspacePath{workspace: route.Workspace, prefix: route.PathPrefix}
	if other, found := checker.paths[key]; found {
		text := fmt.Sprintf("[route %s] of workspace %s has the same path prefix %s", other, route.Workspace, route.PathPrefix)
		checker.report(section, "path-prefix", text)
		return
	}
	checker.paths[key] = route.Name
}
