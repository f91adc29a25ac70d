package folder

import "sort"

// A Change is one key whose effective value differs between two folders.
type Change struct {
	section string
	key     string
	before  string
	after   string
}

// Section returns the section header.
func (change Change) Section() string { return change.section }

// Key returns the key.
func (change Change) Key() string { return change.key }

// Before returns the value in the earlier folder, empty when the key is absent
// there.
func (change Change) Before() string { return change.before }

// After returns the value in the later folder, empty when the key is absent there.
func (change Change) After() string { return change.after }

// String returns the change as one line that starts with "+" for an added key,
// "-" for a removed key and "~" for a changed value.
func (change Change) String() string {
	name := change.section + " " + change.key
	switch {
	case change.before == "":
		return "+ " + name + " = " + change.after
	case change.after == "":
		return "- " + name + " = " + change.before
	default:
		return "~ " + name + " = " + change.after + " (was " + change.before + ")"
	}
}

// changeID identifies a key by its section header and name.
type changeID struct {
	section string
	key     string
}

// Difference returns the keys that differ, sorted by section and key. A nil before
// means that there was no configuration.
func Difference(before, after *Folder) []Change {
	old := before.values()
	var changes []Change
	for id, value := range after.values() {
		if old[id] != value {
			changes = append(changes, Change{section: id.section, key: id.key, before: old[id], after: value})
		}
		delete(old, id)
	}
	for id, value := range old {
		changes = append(changes, Change{section: id.section, key: id.key, before: value})
	}
	sort.Slice(changes, func(i, j int) bool {
		if changes[i].section != changes[j].section {
			return changes[i].section < changes[j].section
		}
		return changes[i].key < changes[j].key
	})
	return changes
}

// values returns the canonical value of every key.
func (folder *Folder) values() map[changeID]string {
	values := map[changeID]string{}
	if folder == nil {
		return values
	}
	for _, schema := range schemas {
		for _, section := range folder.sectionsOf(schema.kind) {
			header := sectionID{kind: schema.kind, name: section.name}.header()
			for _, field := range schema.fields {
				if text := field.format(&section.content); text != "" {
					values[changeID{section: header, key: field.key}] = text
				}
			}
		}
	}
	return values
}
