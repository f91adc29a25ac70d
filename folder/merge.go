package folder

import (
	"fmt"
	"sort"
	"strings"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/inifile"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// eraseMark is the value that erases the key of an earlier file.
const eraseMark = "!"

// storedOverheadBytes is the space reserved in the stored form for the head, the
// author, the reason and the lengths of the files.
const storedOverheadBytes = 8 << 10

// A Problem describes one problem of a file with its position. Its string form is
// file:line: key: text.
type Problem = inifile.Problem

// Merge merges the files in the order of their names and checks the result. The
// folder is nil when there are problems. Problems are sorted by file and line.
func Merge(files []File) (*Folder, []Problem) {
	files = sortFiles(files)
	merger := &merger{sections: map[sectionID]*mergedSection{}}
	if len(files) == 0 {
		merger.report(position{file: "folder", line: 1}, "file", "no .ini file")
	}
	for index, file := range files {
		if index > 0 && files[index-1].Name == file.Name {
			merger.report(position{file: file.Name, line: 1}, "file", "duplicate file name")
			continue
		}
		merger.add(file)
	}
	merged := merger.build(newChecker(merger))
	merger.checkSize(files, merged)
	if len(merger.problems) > 0 {
		sortProblems(merger.problems)
		return nil, merger.problems
	}
	return merged, nil
}

func sortFiles(files []File) []File {
	sorted := make([]File, len(files))
	copy(sorted, files)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}

func sortProblems(problems []Problem) {
	sort.SliceStable(problems, func(i, j int) bool {
		if problems[i].File() != problems[j].File() {
			return problems[i].File() < problems[j].File()
		}
		return problems[i].Line() < problems[j].Line()
	})
}

// position is a file and a line of it.
type position struct {
	file string
	line int
}

// sectionID identifies a section across all files.
type sectionID struct {
	kind string
	name string
}

func (id sectionID) header() string {
	if id.name == "" {
		return "[" + id.kind + "]"
	}
	return "[" + id.kind + " " + id.name + "]"
}

// mergedSection is the state of one section after the files merged so far.
type mergedSection struct {
	id sectionID

	// position is that of the first header of the section.
	position position
	values   map[string]mergedValue
}

// mergedValue is the value of a key after the files merged so far.
type mergedValue struct {
	value    string
	position position

	// valid is false when the value cannot be parsed, which has been reported
	// already.
	valid bool
}

// merger merges files one after another and collects their problems.
type merger struct {
	sections map[sectionID]*mergedSection
	problems []Problem
}

func (merger *merger) report(at position, key, text string) {
	merger.problems = append(merger.problems, inifile.NewProblem(at.file, at.line, key, text))
}

// add merges one file.
func (merger *merger) add(file File) {
	document, problems := inifile.Parse(file.Name, file.Data)
	merger.problems = append(merger.problems, problems...)
	definedLines := map[sectionID]int{}
	for _, section := range document.Sections() {
		merger.addSection(file.Name, section, definedLines)
	}
}

// addSection merges one section of a file. definedLines maps the sections that this
// file has defined so far to the lines of their headers.
func (merger *merger) addSection(file string, section inifile.Section, definedLines map[sectionID]int) {
	at := position{file: file, line: section.Line()}
	schema, text := checkHeader(section)
	if text != "" {
		merger.report(at, section.Header(), text)
		return
	}
	id := sectionID{kind: section.Kind(), name: section.Name()}
	if section.Erase() {
		merger.eraseSection(at, section, id, definedLines)
		return
	}
	if _, found := definedLines[id]; !found {
		definedLines[id] = section.Line()
	}
	target, found := merger.sections[id]
	if !found {
		target = &mergedSection{id: id, position: at, values: map[string]mergedValue{}}
		merger.sections[id] = target
	}
	for _, entry := range section.Entries() {
		merger.addEntry(file, schema, target, entry)
	}
}

// checkHeader returns the schema of the section, or the text of a problem when the
// header is not valid.
func checkHeader(section inifile.Section) (*schema, string) {
	schema, found := findSchema(section.Kind())
	if !found {
		return nil, "unknown section"
	}
	if !schema.named {
		if section.Name() != "" {
			return nil, "this section takes no name"
		}
		return schema, ""
	}
	if section.Name() == "" {
		return nil, "this section needs a name"
	}
	if _, err := inifile.ParseName(section.Name()); err != nil {
		return nil, err.Error()
	}
	return schema, ""
}

func (merger *merger) eraseSection(at position, section inifile.Section, id sectionID, definedLines map[sectionID]int) {
	if line, found := definedLines[id]; found {
		merger.report(at, section.Header(), fmt.Sprintf("erases a section that this file sets at line %d", line))
		return
	}
	if _, found := merger.sections[id]; !found {
		merger.report(at, section.Header(), "no earlier file sets the section to erase")
		return
	}
	for _, entry := range section.Entries() {
		merger.report(position{file: at.file, line: entry.Line()}, entry.Key(), "key in a section that is erased")
	}
	delete(merger.sections, id)
}

func (merger *merger) addEntry(file string, schema *schema, target *mergedSection, entry inifile.Entry) {
	at := position{file: file, line: entry.Line()}
	field, found := schema.field(entry.Key())
	if !found {
		merger.report(at, entry.Key(), "unknown key of "+target.id.header())
		return
	}
	if entry.Value() == eraseMark {
		if _, found := target.values[entry.Key()]; !found {
			merger.report(at, entry.Key(), "no earlier file sets the key to erase")
		}
		delete(target.values, entry.Key())
		return
	}
	err := field.set(&builtSection{}, entry.Value())
	if err != nil {
		merger.report(at, entry.Key(), errors.Cause(err).Error())
	}
	target.values[entry.Key()] = mergedValue{value: entry.Value(), position: at, valid: err == nil}
}

// build returns the folder and reports the problems that are only visible after all
// files are merged. checker is nil when the relations between keys are not to be
// checked.
func (merger *merger) build(checker *checker) *Folder {
	folder := &Folder{}
	for _, schema := range schemas {
		for _, section := range merger.sortedSections(schema) {
			merger.buildSection(folder, checker, schema, section)
		}
	}
	return folder
}

// sortedSections returns the sections of a kind, sorted by name. An unnamed section
// that no file defines is included, because all its keys have defaults.
func (merger *merger) sortedSections(schema *schema) []*mergedSection {
	var sections []*mergedSection
	for id, section := range merger.sections {
		if id.kind == schema.kind {
			sections = append(sections, section)
		}
	}
	if len(sections) == 0 && !schema.named {
		sections = append(sections, &mergedSection{id: sectionID{kind: schema.kind}})
	}
	sort.Slice(sections, func(i, j int) bool { return sections[i].id.name < sections[j].id.name })
	return sections
}

func (merger *merger) buildSection(folder *Folder, checker *checker, schema *schema, section *mergedSection) {
	built := &builtSection{}
	built.setName(section.id.kind, section.id.name)
	for _, field := range schema.fields {
		merger.buildField(folder, section, field, built)
	}
	folder.add(section.id.kind, built)
	if checker != nil {
		checker.check(section, built)
	}
}

// buildField sets one key of a built section to its effective value, and adds its
// origin to the folder.
func (merger *merger) buildField(folder *Folder, section *mergedSection, field field, built *builtSection) {
	value, found := section.values[field.key]
	if !found && field.required {
		merger.report(section.position, section.id.header(), "key "+field.key+" is missing")
		return
	}
	if !found {
		value = mergedValue{value: field.defaultValue(built), valid: true}
	}
	if !value.valid || value.value == "" {
		return
	}
	if err := field.set(built, value.value); err != nil {
		merger.report(value.position, field.key, errors.Cause(err).Error())
		return
	}
	folder.origins = append(folder.origins, Origin{
		section: section.id.header(),
		key:     field.key,
		value:   field.format(built),
		file:    value.position.file,
		line:    value.position.line,
	})
}

func (folder *Folder) add(kind string, built *builtSection) {
	switch kind {
	case sectionPolicy:
		folder.policy = built.policy
	case sectionTargetClass:
		folder.classes = append(folder.classes, built.class)
	case sectionGroup:
		folder.groups = append(folder.groups, built.group)
	case sectionService:
		folder.services = append(folder.services, built.service)
	case sectionWorkspace:
		folder.workspaces = append(folder.workspaces, built.workspace)
	case sectionRoute:
		folder.routes = append(folder.routes, built.route)
	}
}

// checkSize reports a folder that, together with its source files, is too large for
// one value of the store. The problem names the largest file.
func (merger *merger) checkSize(files []File, merged *Folder) {
	total := storedOverheadBytes + len(merged.Canonical())
	largest := File{Name: "folder"}
	for _, file := range files {
		total += len(file.Name) + len(file.Data)
		if len(file.Data) > len(largest.Data) {
			largest = file
		}
	}
	if total > kvstore.MaxValueBytes {
		text := fmt.Sprintf("stored form of %d bytes is over the store's %d", total, kvstore.MaxValueBytes)
		merger.report(position{file: largest.Name, line: 1}, "file", text)
	}
}

// An Origin is an effective key with the position where it was set.
type Origin struct {
	section string
	key     string
	value   string
	file    string
	line    int
}

// Section returns the section header.
func (origin Origin) Section() string { return origin.section }

// Key returns the key.
func (origin Origin) Key() string { return origin.key }

// Value returns the effective value in canonical spelling.
func (origin Origin) Value() string { return origin.value }

// File returns the file that set the key, empty for a default.
func (origin Origin) File() string { return origin.file }

// Line returns the line that set the key, 0 for a default.
func (origin Origin) Line() int { return origin.line }

// String returns the origin as file:line: [section] key = value. For a default
// value, file:line is replaced by "default".
func (origin Origin) String() string {
	at := "default"
	if origin.file != "" {
		at = fmt.Sprintf("%s:%d", origin.file, origin.line)
	}
	return at + ": " + origin.section + " " + strings.TrimSpace(origin.key+" = "+origin.value)
}
