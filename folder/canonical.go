package folder

import (
	"bytes"
	"sort"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// canonicalName is the file name in the provenance of a decoded folder.
const canonicalName = "canonical"

// Canonical returns the folder as one INI file with every key in a fixed
// order and spelling. Equal folders have equal canonical forms.
func (folder *Folder) Canonical() []byte {
	var buffer bytes.Buffer
	for _, schema := range schemas {
		for _, item := range folder.items(schema.kind) {
			writeSection(&buffer, schema, item)
		}
	}
	return buffer.Bytes()
}

func writeSection(buffer *bytes.Buffer, schema *schema, item namedItem) {
	if buffer.Len() > 0 {
		buffer.WriteByte('\n')
	}
	buffer.WriteString(sectionID{kind: schema.kind, name: item.name}.header())
	buffer.WriteByte('\n')
	for _, field := range schema.fields {
		if text := field.text(&item.item); text != "" {
			buffer.WriteString(field.key + " = " + text + "\n")
		}
	}
}

// namedItem is an item with the name of its section.
type namedItem struct {
	name string
	item item
}

// items returns the sections of a kind in the order of their names.
func (folder *Folder) items(kind string) []namedItem {
	var items []namedItem
	switch kind {
	case sectionPolicy:
		items = append(items, namedItem{item: item{policy: folder.policy}})
	case sectionTargetClass:
		for _, class := range folder.classes {
			items = append(items, namedItem{class.Name, item{class: class}})
		}
	case sectionGroup:
		for _, group := range folder.groups {
			items = append(items, namedItem{group.Name, item{group: group}})
		}
	case sectionService:
		for _, service := range folder.services {
			items = append(items, namedItem{service.Name, item{service: service}})
		}
	case sectionWorkspace:
		for _, workspace := range folder.workspaces {
			items = append(items, namedItem{workspace.Name, item{workspace: workspace}})
		}
	case sectionRoute:
		for _, route := range folder.routes {
			items = append(items, namedItem{route.Name, item{route: route}})
		}
	}
	sort.SliceStable(items, func(i, j int) bool { return items[i].name < items[j].name })
	return items
}

// Decode reads a canonical form. It returns an errors.NotValid error for one
// that is over kvstore.MaxValueBytes, or that has an unknown, missing or
// malformed key.
//
// The relations between keys were checked when the folder was accepted and
// are not checked again: a node of a later release with a stricter rule must
// be able to start with the configuration that is in force.
func Decode(canonical []byte) (*Folder, error) {
	if len(canonical) > kvstore.MaxValueBytes {
		return nil, errors.NotValidf("canonical folder of %d bytes", len(canonical))
	}
	merger := &merger{sections: map[sectionID]*mergedSection{}}
	merger.add(File{Name: canonicalName, Data: canonical})
	decoded := merger.build(nil)
	if len(merger.problems) > 0 {
		return nil, errors.NotValidf("canonical folder with the fault %q", merger.problems[0])
	}
	return decoded, nil
}
