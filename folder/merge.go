package folder

import (
	"fmt"
	"sort"
	"strings"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/inifile"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// erased is the value that erases an earlier key.
const erased = "!"

// storedOverheadBytes is kept free in the stored form for the head, author,
// reason and the lengths of the files.
const storedOverheadBytes = 8 << 10

// A Problem is one fault with its place. It prints as
// file:line: key: problem.
type Problem = inifile.Problem

// Merge merges the files in the order of their names and checks the result.
// The folder is nil when there are problems. Problems are in the order of
// file and line.
func Merge(files []File) (*Folder, []Problem) {
	files = sortFiles(files)
	merger := &merger{sections: map[sectionID]*mergedSection{}}
	if len(files) == 0 {
		merger.report(place{file: "folder", line: 1}, "file", "no .ini file")
	}
	for index, file := range files {
		if index > 0 && files[index-1].Name == file.Name {
			merger.report(place{file: file.Name, line: 1}, "file", "duplicate file name")
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

// place is a line of a file.
type place struct {
	file string
	line int
}

// sectionID identifies a section over all files.
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

// mergedSection is one section as the files so far define it.
type mergedSection struct {
	id sectionID

	// place is where the section was first opened.
	place  place
	values map[string]mergedValue
}

// mergedValue is the effective value of a key.
type mergedValue struct {
	value string
	place place

	// valid is false when the value's fault has been reported already.
	valid bool
}

// merger applies files one after another.
type merger struct {
	sections map[sectionID]*mergedSection
	problems []Problem
}

func (merger *merger) report(place place, key, text string) {
	merger.problems = append(merger.problems, inifile.NewProblem(place.file, place.line, key, text))
}

func (merger *merger) add(file File) {
	document, problems := inifile.Parse(file.Name, file.Data)
	merger.problems = append(merger.problems, problems...)
	opened := map[sectionID]int{}
	for _, section := range document.Sections() {
		merger.addSection(file.Name, section, opened)
	}
}

// addSection applies one section. Opened maps the sections that this file has
// set so far to their lines.
func (merger *merger) addSection(file string, section inifile.Section, opened map[sectionID]int) {
	at := place{file: file, line: section.Line()}
	schema, text := checkHeader(section)
	if text != "" {
		merger.report(at, section.Header(), text)
		return
	}
	id := sectionID{kind: section.Kind(), name: section.Name()}
	if section.Erase() {
		merger.eraseSection(at, section, id, opened)
		return
	}
	if _, found := opened[id]; !found {
		opened[id] = section.Line()
	}
	target, found := merger.sections[id]
	if !found {
		target = &mergedSection{id: id, place: at, values: map[string]mergedValue{}}
		merger.sections[id] = target
	}
	for _, entry := range section.Entries() {
		merger.addEntry(file, schema, target, entry)
	}
}

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

func (merger *merger) eraseSection(at place, section inifile.Section, id sectionID, opened map[sectionID]int) {
	if line, found := opened[id]; found {
		merger.report(at, section.Header(), fmt.Sprintf("erases a section that this file sets at line %d", line))
		return
	}
	if _, found := merger.sections[id]; !found {
		merger.report(at, section.Header(), "no earlier file sets the section to erase")
		return
	}
	for _, entry := range section.Entries() {
		merger.report(place{file: at.file, line: entry.Line()}, entry.Key(), "key in a section that is erased")
	}
	delete(merger.sections, id)
}

func (merger *merger) addEntry(file string, schema *schema, target *mergedSection, entry inifile.Entry) {
	at := place{file: file, line: entry.Line()}
	field, found := schema.field(entry.Key())
	if !found {
		merger.report(at, entry.Key(), "unknown key of "+target.id.header())
		return
	}
	if entry.Value() == erased {
		if _, found := target.values[entry.Key()]; !found {
			merger.report(at, entry.Key(), "no earlier file sets the key to erase")
		}
		delete(target.values, entry.Key())
		return
	}
	err := field.set(&item{}, entry.Value())
	if err != nil {
		merger.report(at, entry.Key(), errors.Cause(err).Error())
	}
	target.values[entry.Key()] = mergedValue{value: entry.Value(), place: at, valid: err == nil}
}

// build returns the folder and reports what only shows in the merged state.
// Checker is nil when the relations between keys are not checked.
func (merger *merger) build(checker *checker) *Folder {
	folder := &Folder{}
	for _, schema := range schemas {
		for _, section := range merger.ordered(schema) {
			merger.buildSection(folder, checker, schema, section)
		}
	}
	return folder
}

// ordered returns the sections of a kind in the order of their names. An
// unnamed section is there even when no file opens it, with its defaults.
func (merger *merger) ordered(schema *schema) []*mergedSection {
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
	built := &item{}
	built.setName(section.id.kind, section.id.name)
	for _, field := range schema.fields {
		merger.buildField(folder, section, field, built)
	}
	folder.add(section.id.kind, built)
	if checker != nil {
		checker.check(section, built)
	}
}

func (merger *merger) buildField(folder *Folder, section *mergedSection, field field, built *item) {
	value, found := section.values[field.key]
	if !found && field.required {
		merger.report(section.place, section.id.header(), "key "+field.key+" is missing")
		return
	}
	if !found {
		value = mergedValue{value: field.fallback(built), valid: true}
	}
	if !value.valid || value.value == "" {
		return
	}
	if err := field.set(built, value.value); err != nil {
		merger.report(value.place, field.key, errors.Cause(err).Error())
		return
	}
	folder.origins = append(folder.origins, Origin{
		section: section.id.header(),
		key:     field.key,
		value:   field.text(built),
		file:    value.place.file,
		line:    value.place.line,
	})
}

func (folder *Folder) add(kind string, built *item) {
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

// checkSize reports a folder that the store cannot hold together with its
// source files. It names the largest file.
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
		merger.report(place{file: largest.Name, line: 1}, "file", text)
	}
}

// An Origin is an effective key with the place that set it.
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

// Value returns the effective value in its canonical spelling.
func (origin Origin) Value() string { return origin.value }

// File returns the file that set the key, empty for a default.
func (origin Origin) File() string { return origin.file }

// Line returns the line that set the key, 0 for a default.
func (origin Origin) Line() int { return origin.line }

// String returns the origin as file:line: [section] key = value, with
// "default" in place of file and line for a default.
func (origin Origin) String() string {
	at := "default"
	if origin.file != "" {
		at = fmt.Sprintf("%s:%d", origin.file, origin.line)
	}
	return at + ": " + origin.section + " " + strings.TrimSpace(origin.key+" = "+origin.value)
}
