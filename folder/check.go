package folder

import (
	"fmt"
	"time"

	"lacewingspoke.org/lacewingspoke/inifile"
)

// maxSpreadTime is the upper bound of Policy.SpreadTime. The system guarantees that
// a target receives no new work once this time has passed after its drain started.
const maxSpreadTime = 3 * time.Second

// checker checks the relations between keys and between sections. It must be
// called with the sections in canonical order, because it compares each section
// with the ones before it.
type checker struct {
	merger *merger
	groups map[string]Group

	// digests maps key digests to the names of their workspaces.
	digests map[string]string

	// paths maps path prefixes to the names of their routes.
	paths  map[workspacePath]string
	policy Policy
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

// check checks one section. built is its content.
func (checker *checker) check(section *mergedSection, built *builtSection) {
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

// report reports a problem at the position of the key, or at the section's header
// when the key has its default value.
func (checker *checker) report(section *mergedSection, key, text string) {
	at := section.position
	if value, found := section.values[key]; found {
		at = value.position
	}
	checker.merger.report(at, key, text)
}

// checkReference reports a key that names a section that does not exist. An empty
// name is skipped: the key is absent, or its own problem has been reported.
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
	if policy.DowntimeWeight == 0 && policy.StrandedWeight == 0 && checker.weightsValid(section) {
		checker.report(section, "stranded-weight", "both weights are 0, so no placement is better than another")
	}
}

// weightsValid reports whether the files set both weights to valid values. A weight
// that could not be parsed is 0 as well, but has been reported already.
func (checker *checker) weightsValid(section *mergedSection) bool {
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

// checkTarget reports a route without the target key that its kind requires, or
// with the target key of the other kind.
func (checker *checker) checkTarget(section *mergedSection, wanted, other, kind string) {
	if _, found := section.values[wanted]; !found {
		checker.merger.report(section.position, section.id.header(), fmt.Sprintf("key %s is missing for kind %s", wanted, kind))
	}
	if _, found := section.values[other]; found {
		checker.report(section, other, fmt.Sprintf("contradicts kind %s", kind))
	}
}

// checkReplicas reports a route that requires more replicas than its group has.
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

// checkPath reports a path prefix that another route of the workspace has. A route
// whose workspace or path prefix could not be parsed is skipped.
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
