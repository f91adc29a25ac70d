package fleet

// Versions remembers the newest version of each origin, so that late or
// repeated frames are harmless.
//
// Versions of one incarnation only rise. Once the current incarnation of an
// origin is confirmed, by the store or by the origin's own hello, frames of
// its other incarnations are old.
type Versions struct {
	origins map[string]*originVersions
}

type originVersions struct {
	confirmed string
	seen      []incarnationVersion
}

type incarnationVersion struct {
	incarnation string
	version     uint64
}

// maxIncarnations bounds what is kept for an origin whose incarnation is not
// confirmed.
const maxIncarnations = 4

// NewVersions returns an empty Versions.
func NewVersions() *Versions {
	return &Versions{origins: make(map[string]*originVersions)}
}

// Confirm says which incarnation of an origin is the current one.
func (versions *Versions) Confirm(origin, incarnation string) {
	versions.origin(origin).confirmed = incarnation
}

// Advance reports whether the version is new, and remembers it if it is.
func (versions *Versions) Advance(origin, incarnation string, version uint64) bool {
	state := versions.origin(origin)
	if state.confirmed != "" && state.confirmed != incarnation {
		return false
	}
	for index := range state.seen {
		entry := &state.seen[index]
		if entry.incarnation != incarnation {
			continue
		}
		if version <= entry.version {
			return false
		}
		entry.version = version
		return true
	}
	if len(state.seen) == maxIncarnations {
		state.seen = state.seen[1:]
	}
	state.seen = append(state.seen, incarnationVersion{incarnation, version})
	return true
}

// Forget drops an origin that is gone.
func (versions *Versions) Forget(origin string) { delete(versions.origins, origin) }

func (versions *Versions) origin(name string) *originVersions {
	state, found := versions.origins[name]
	if !found {
		state = &originVersions{}
		versions.origins[name] = state
	}
	return state
}
