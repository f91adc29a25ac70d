package folder

import (
	"bytes"
	"sort"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// canonicalName is the file name in the provenance and the problems of a decoded
// canonical form.
const canonicalName = "canonical"

// Canonical returns the canonical form: one INI file that contains every effective
// key in a fixed order and spelling. Equal folders have equal canonical forms.
func (folder *Folder) Canonical() []byte {
	var buffer bytes.Buffer
	for _, schema := range schemas {
		for _, section := range folder.sectionsOf(schema.kind) {
			writeSection(&buffer, schema, section)
		}
	}
	return buffer.Bytes()
}

func writeSection(buffer *bytes.Buffer, schema *schema, section namedSection) {
	if buffer.Len() > 0 {
		buffer.WriteByte('\n')
	}
	buffer.WriteString(sectionID{kind: schema.kind, name: section.name}.header())
	buffer.WriteByte('\n')
	for _, field := range schema.fields {
		if text := field.format(&section.content); text != "" {
			buffer.WriteString(field.key + " = " + text + "\n")
		}
	}
}

// namedSection is the content of a section with its name, which is empty for the
// policy section.
type namedSection struct {
	name    string
	content builtSection
}

// sectionsOf returns the sections of a kind, sorted by name.
func (folder *Folder) sectionsOf(kind string) []namedSection {
	var sections []namedSection
	switch kind {
	case sectionPolicy:
		sections = append(sections, namedSection{content: builtSection{policy: folder.policy}})
	case sectionTargetClass:
		for _, class := range folder.classes {
			sections = append(sections, namedSection{class.Name, builtSection{class: class}})
		}
	case sectionGroup:
		for _, group := range folder.groups {
			sections = append(sections, namedSection{group.Name, builtSection{group: group}})
		}
	case sectionService:
		for _, service := range folder.services {
			sections = append(sections, namedSection{service.Name, builtSection{service: service}})
		}
	case sectionWorkspace:
		for _, workspace := range folder.workspaces {
			sections = append(sections, namedSection{workspace.Name, builtSection{workspace: workspace}})
		}
	case sectionRoute:
		for _, route := range folder.routes {
			sections = append(sections, namedSection{route.Name, builtSection{route: route}})
		}
	}
	sort.SliceStable(sections, func(i, j int) bool { return sections[i].name < sections[j].name })
	return sections
}

// Decode decodes a canonical form. It returns an errors.NotValid error when the
// form is larger than kvstore.MaxValueBytes or has an unknown, missing or
// malformed key.
//
// Decode does not repeat the checks between keys and sections, which Merge made
// before the folder was accepted: a node of a later release with a stricter check
// must still be able to start with the current configuration.
func Decode(canonical []byte) (*Folder, error) {
	if len(canonical) > kvstore.MaxValueBytes {
		return nil, errors.NotValidf("canonical folder of %d bytes (over the size limit)", len(canonical))
	}
	merger := &merger{sections: map[sectionID]*mergedSection{}}
	merger.add(File{Name: canonicalName, Data: canonical})
	decoded := merger.build(nil)
	if len(merger.problems) > 0 {
		return nil, errors.NotValidf("canonical folder with problem %q", merger.problems[0])
	}
	return decoded, nil
}
