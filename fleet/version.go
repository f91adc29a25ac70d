package fleet

// Versions records the newest frame version received from each origin, so that
// late or repeated frames can be discarded.
//
// The versions of one incarnation only increase. Once the current incarnation
// of an origin is confirmed, by the store or by the origin's own hello, frames
// of its other incarnations are rejected.
type Versions struct {
	origins map[string]*originVersions
}

type originVersions struct {
	confirmed string
	newest    []incarnationVersion
}

type incarnationVersion struct {
	incarnation string
	version     uint64
}

// maxIncarnations is the largest number of incarnations recorded for one
// origin. The limit matters while its current incarnation is unconfirmed.
const maxIncarnations = 4

// NewVersions returns an empty Versions.
func NewVersions() *Versions {
	return &Versions{origins: make(map[string]*originVersions)}
}

// Confirm sets the current incarnation of an origin.
func (versions *Versions) Confirm(origin, incarnation string) {
	versions.origin(origin).confirmed = incarnation
}

// Advance reports whether a version is newer than those received before from
// this incarnation of the origin, and records it if so.
func (versions *Versions) Advance(origin, incarnation string, version uint64) bool {
	record := versions.origin(origin)
	if record.confirmed != "" && record.confirmed != incarnation {
		return false
	}
	for index := range record.newest {
		entry := &record.newest[index]
		if entry.incarnation != incarnation {
			continue
		}
		if version <= entry.version {
			return false
		}
		entry.version = version
		return true
	}
	if len(record.newest) == maxIncarnations {
		record.newest = record.newest[1:]
	}
	record.newest = append(record.newest, incarnationVersion{incarnation, version})
	return true
}

// Remove removes the versions of an origin.
func (versions *Versions) Remove(origin string) { delete(versions.origins, origin) }

func (versions *Versions) origin(name string) *originVersions {
	record, found := versions.origins[name]
	if !found {
		record = &originVersions{}
		versions.origins[name] = record
	}
	return record
}
