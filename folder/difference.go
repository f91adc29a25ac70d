package folder

import "sort"

// A Change is one key that differs between two folders.
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

// Before returns the earlier value, empty when the key was absent.
func (change Change) Before() string { return change.before }

// After returns the later value, empty when the key is absent.
func (change Change) After() string { return change.after }

// String returns the change as one line.
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

// changeID identifies a key over all sections.
type changeID struct {
	section string
	key     string
}

// Difference returns the keys that differ, ordered by section and key. A nil
// before stands for no configuration.
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
		for _, item := range folder.items(schema.kind) {
			header := sectionID{kind: schema.kind, name: item.name}.header()
			for _, field := range schema.fields {
				if text := field.text(&item.item); text != "" {
					values[changeID{section: header, key: field.key}] = text
				}
			}
		}
	}
	return values
}
