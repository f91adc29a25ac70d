// Package inifile reads the project's INI files and finds every fault in one
// pass, each with its file and line.
//
// The dialect is the one of gopkg.in/ini.v1 with "=" as the only delimiter,
// no continuation lines and no values over several lines. A comment starts
// with "#" or ";" at the start of a line or after a space. A section header
// is a kind, optionally followed by a name; a "!" before the kind marks the
// section as an erasure:
//
//	[route drafts]
//	workspace = dvorana   # comment
//
//	[!route old-drafts]
//
// Every line goes through ini.v1 on its own, because ini.v1 reports no line
// numbers and stops at the first fault.
//
// # Usage
//
//	document, problems := inifile.Parse("10-base.ini", data)
//	for _, section := range document.Sections() {
//		for _, entry := range section.Entries() {
//			duration, err := inifile.ParseDuration(entry.Value())
//			...
//		}
//	}
package inifile

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxFileBytes is the largest file that is read. It equals the largest value
// of the platform's store, which has to hold the file.
const MaxFileBytes = 1 << 20

var lineOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

// A Problem is one fault with its place.
type Problem struct {
	file string
	line int
	key  string
	text string
}

// NewProblem returns a problem. Key is the key or the section header that has
// the fault.
func NewProblem(file string, line int, key, text string) Problem {
	return Problem{file: file, line: line, key: key, text: text}
}

// File returns the name of the file.
func (problem Problem) File() string { return problem.file }

// Line returns the line, counted from 1.
func (problem Problem) Line() int { return problem.line }

// Key returns the key or section header that has the fault.
func (problem Problem) Key() string { return problem.key }

// Text returns what is wrong.
func (problem Problem) Text() string { return problem.text }

// String returns the problem as file:line: key: problem.
func (problem Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", problem.file, problem.line, problem.key, problem.text)
}

// A Document is one parsed file.
type Document struct {
	name     string
	sections []Section
}

// Name returns the name of the file.
func (document *Document) Name() string { return document.name }

// Sections returns the sections in the order of the file.
func (document *Document) Sections() []Section { return document.sections }

// A Section is one section of a file.
type Section struct {
	kind    string
	name    string
	erase   bool
	line    int
	entries []Entry
}

// Kind returns the first word of the header.
func (section Section) Kind() string { return section.kind }

// Name returns the second word of the header, empty when there is none.
func (section Section) Name() string { return section.name }

// Erase reports whether the header carries the erasure mark.
func (section Section) Erase() bool { return section.erase }

// Line returns the line of the header.
func (section Section) Line() int { return section.line }

// Entries returns the entries in the order of the file.
func (section Section) Entries() []Entry { return section.entries }

// Header returns the header as it stands in a file.
func (section Section) Header() string {
	mark := ""
	if section.erase {
		mark = "!"
	}
	return "[" + mark + strings.TrimSpace(section.kind+" "+section.name) + "]"
}

// An Entry is one key with its value.
type Entry struct {
	key   string
	value string
	line  int
}

// Key returns the key.
func (entry Entry) Key() string { return entry.key }

// Value returns the value without quotes and comment.
func (entry Entry) Value() string { return entry.value }

// Line returns the line of the entry.
func (entry Entry) Line() int { return entry.line }

// Parse reads one file. The document holds everything that could be read,
// also when there are problems.
func Parse(name string, data []byte) (*Document, []Problem) {
	reader := &documentReader{document: &Document{name: name}, headers: map[string]int{}}
	if len(data) > MaxFileBytes {
		reader.report(1, "file", fmt.Sprintf("%d bytes, more than %d", len(data), MaxFileBytes))
		return reader.document, reader.problems
	}
	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	for index, line := range strings.Split(string(data), "\n") {
		reader.read(index+1, strings.TrimSpace(line))
	}
	return reader.document, reader.problems
}

// documentReader reads the lines of one file in order.
type documentReader struct {
	document *Document
	problems []Problem

	// headers maps the headers seen so far to their lines.
	headers map[string]int

	// keys maps the keys of the current section to their lines. It is nil
	// outside of a section.
	keys map[string]int

	// skipping is true after a malformed header, whose entries would only
	// repeat the fault.
	skipping bool
}

func (reader *documentReader) report(line int, key, text string) {
	reader.problems = append(reader.problems, NewProblem(reader.document.name, line, key, text))
}

func (reader *documentReader) read(number int, line string) {
	if line == "" || line[0] == '#' || line[0] == ';' {
		return
	}
	if text := lineFault(line); text != "" {
		reader.report(number, "line", text)
		return
	}
	if line[0] == '[' {
		reader.readHeader(number, line)
		return
	}
	reader.readEntry(number, line)
}

func lineFault(line string) string {
	if !utf8.ValidString(line) {
		return "not valid UTF-8"
	}
	if strings.ContainsFunc(line, isForbiddenControl) {
		return "control character"
	}
	return ""
}

func isForbiddenControl(char rune) bool {
	return char != '\t' && unicode.IsControl(char)
}

func (reader *documentReader) readHeader(number int, line string) {
	reader.keys = nil
	reader.skipping = true
	section, text := parseHeader(line)
	if text != "" {
		reader.report(number, line, text)
		return
	}
	section.line = number
	header := section.Header()
	if first, found := reader.headers[header]; found {
		reader.report(number, header, fmt.Sprintf("duplicate section, first at line %d", first))
	} else {
		reader.headers[header] = number
	}
	reader.document.sections = append(reader.document.sections, section)
	reader.keys = map[string]int{}
	reader.skipping = false
}

func parseHeader(line string) (Section, string) {
	// ini.v1 looks for the last "]", which can belong to a comment.
	header, rest, closed := strings.Cut(line, "]")
	file, err := ini.LoadSources(lineOptions, []byte(header+"]"))
	if !closed || err != nil {
		return Section{}, "unclosed section header"
	}
	rest = strings.TrimSpace(rest)
	if rest != "" && rest[0] != '#' && rest[0] != ';' {
		return Section{}, "text after the section header"
	}
	sections := file.Sections()
	inside := strings.TrimSpace(sections[len(sections)-1].Name())
	erase := strings.HasPrefix(inside, "!")
	words := strings.Fields(strings.TrimPrefix(inside, "!"))
	switch len(words) {
	case 1:
		return Section{kind: words[0], erase: erase}, ""
	case 2:
		return Section{kind: words[0], name: words[1], erase: erase}, ""
	default:
		return Section{}, "want [KIND] or [KIND NAME]"
	}
}

func (reader *documentReader) readEntry(number int, line string) {
	if reader.skipping {
		return
	}
	entry, text := parseEntry(line)
	if text != "" {
		reader.report(number, "line", text)
		return
	}
	if reader.keys == nil {
		reader.report(number, entry.key, "key outside of a section")
		return
	}
	if first, found := reader.keys[entry.key]; found {
		reader.report(number, entry.key, fmt.Sprintf("duplicate key, first at line %d", first))
		return
	}
	reader.keys[entry.key] = number
	entry.line = number
	section := &reader.document.sections[len(reader.document.sections)-1]
	section.entries = append(section.entries, entry)
}

func parseEntry(line string) (Entry, string) {
	file, err := ini.LoadSources(lineOptions, []byte(line))
	if err != nil {
		return Entry{}, "want KEY = VALUE"
	}
	keys := file.Section(ini.DefaultSection).Keys()
	if len(keys) != 1 {
		return Entry{}, "want KEY = VALUE"
	}
	return Entry{key: keys[0].Name(), value: keys[0].Value()}, ""
}
