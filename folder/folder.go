// Package folder merges the operators' folder of small INI files into one checked
// configuration.
//
// Files are merged in the order of their names. A later file overrides keys of
// earlier files and can erase their keys and sections. A new owner can therefore
// take over a workspace by adding a file, without editing the existing ones:
//
//	[workspace dvorana]
//	key-digests = sha256:…        # replaces the earlier owner's keys
//	weight      = !               # erases the key; the default applies
//
//	[!route dvorana-old]          # erases the section
//
// The sections are [workspace NAME], [route NAME], [group NAME],
// [service NAME], [target-class NAME] and [policy]. Every field of the types
// in this package has a key of the same name in kebab case. Values are whole
// numbers, yes or no, durations (250ms, 3s, 24h), byte counts (2GiB) and
// addresses (IP:port). Names consist of lower-case letters, digits and hyphens.
//
// Merge reports all problems of all files in one pass. This includes invalid
// values that a later file overrides, because they would take effect again when
// that file is removed.
//
// # Defaults
//
//	[workspace]     weight 1, max-in-flight 64, deadline 30s
//	[route]         idempotent yes for draft, no for service;
//	                min-replicas 1 for draft, 0 for service
//	[group]         value 1, share 0
//	[target-class]  checks-fencing no, order-delay 5s, opened-by-order no,
//	                checks-sequence no, open-time 300ms
//	[policy]        downtime-weight 1, stranded-weight 1,
//	                report-interval 250ms, grant-bound 1s, weight-rate 1GiB
//	                (per second), retry-percent 10, booking-retention 24h,
//	                spread-time 3s
//
// All other keys are required, except target-class of a service.
//
// # Usage
//
//	merged, problems := folder.Merge(files)
//	if len(problems) > 0 {
//		for _, problem := range problems {
//			fmt.Println(problem)
//		}
//		return
//	}
//	digest := merged.Digest()
//	for _, origin := range merged.Provenance() {
//		fmt.Println(origin)
//	}
//
// The canonical form of a folder is itself one INI file. It contains every key in a
// fixed order, including the keys with default values, so that a stored
// configuration keeps its meaning when a later release changes a default. Decode
// decodes it.
package folder

import (
	"crypto/sha256"
	"encoding/hex"
)

// A File is one file of the operators' folder.
type File struct {
	// Name is the file's name without its directory.
	Name string
	Data []byte
}

// A Folder is one merged and checked configuration. It is immutable.
type Folder struct {
	workspaces []Workspace
	routes     []Route
	groups     []Group
	services   []Service
	classes    []TargetClass
	policy     Policy
	origins    []Origin
}

// Config holds the content of a Folder that is built in code instead of being
// merged from files.
type Config struct {
	Workspaces    []Workspace
	Routes        []Route
	Groups        []Group
	Services      []Service
	TargetClasses []TargetClass
	Policy        Policy
}

// New returns a folder with the content of config. Unlike Merge, it does not check
// the content.
func New(config Config) *Folder {
	return &Folder{
		workspaces: config.Workspaces,
		routes:     config.Routes,
		groups:     config.Groups,
		services:   config.Services,
		classes:    config.TargetClasses,
		policy:     config.Policy,
	}
}

// Workspaces returns the workspaces, sorted by name.
func (folder *Folder) Workspaces() []Workspace { return folder.workspaces }

// Routes returns the routes, sorted by name.
func (folder *Folder) Routes() []Route { return folder.routes }

// Groups returns the model groups, sorted by name.
func (folder *Folder) Groups() []Group { return folder.groups }

// Services returns the services, sorted by name.
func (folder *Folder) Services() []Service { return folder.services }

// TargetClasses returns the target classes, sorted by name.
func (folder *Folder) TargetClasses() []TargetClass { return folder.classes }

// Policy returns the operators' weights and bounds.
func (folder *Folder) Policy() Policy { return folder.policy }

// Provenance returns every effective key with the position where it was set, in
// canonical order. It is empty for a folder that New built.
func (folder *Folder) Provenance() []Origin { return folder.origins }

// Digest returns the lower-case hexadecimal SHA-256 digest of the canonical
// form. Folders that differ only in file layout, comments, order or spelling
// of values have the same digest.
func (folder *Folder) Digest() string {
	sum := sha256.Sum256(folder.Canonical())
	return hex.EncodeToString(sum[:])
}
