// Package inifile parses the project's INI files and their values. It reports all
// problems of a file in one pass, each with its file and line.
//
// The dialect is that of gopkg.in/ini.v1 with "=" as the only delimiter, without
// continuation lines and without multi-line values. A comment starts with "#" or
// ";" at the start of a line or after a space. A section header contains a kind,
// optionally followed by a name. A "!" before the kind means that the section is
// to be erased:
//
//	[route drafts]
//	workspace = dvorana   # comment
//
//	[!route old-drafts]
//
// Each line is parsed separately with ini.v1, because ini.v1 reports no line
// numbers and stops at the first error.
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

// MaxFileBytes is the maximum size of a file. It equals the maximum size of a value
// in the platform's store, in which the file is stored.
const MaxFileBytes = 1 << 20

// lineOptions selects the dialect of ini.v1.
var lineOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

// A Problem describes one problem of a file with its position.
type Problem struct {
	file string
	line int
	key  string
	text string
}

// NewProblem returns a problem. key is the key or the section header that has the
// problem, and text describes it.
func NewProblem(file string, line int, key, text string) Problem {
	return Problem{file: file, line: line, key: key, text: text}
}

// File returns the name of the file.
func (problem Problem) File() string { return problem.file }

// Line returns the line, counted from 1.
func (problem Problem) Line() int { return problem.line }

// Key returns the key or section header that has the problem.
func (problem Problem) Key() string { return problem.key }

// Text returns the description of the problem.
func (problem Problem) Text() string { return problem.text }

// String returns the problem as file:line: key: text.
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

// Sections returns the sections in file order.
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

// Erase reports whether the header starts with "!", which means that the section is
// to be erased.
func (section Section) Erase() bool { return section.erase }

// Line returns the line of the header.
func (section Section) Line() int { return section.line }

// Entries returns the entries in file order.
func (section Section) Entries() []Entry { return section.entries }

// Header returns the header as it is written in a file, without extra spaces.
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

// Value returns the value without surrounding quotes and without the comment.
func (entry Entry) Value() string { return entry.value }

// Line returns the line of the entry.
func (entry Entry) Line() int { return entry.line }

// Parse parses the content of one file. When there are problems, the document
// contains the sections and entries that could be parsed.
func Parse(name string, data []byte) (*Document, []Problem) {
	parser := &documentParser{document: &Document{name: name}, headers: map[string]int{}}
	if len(data) > MaxFileBytes {
		parser.report(1, "file", fmt.Sprintf("%d bytes, more than %d", len(data), MaxFileBytes))
		return parser.document, parser.problems
	}
	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	for index, line := range strings.Split(string(data), "\n") {
		parser.parseLine(index+1, strings.TrimSpace(line))
	}
	return parser.document, parser.problems
}

// documentParser parses one file line by line.
type documentParser struct {
	document *Document
	problems []Problem

	// headers maps the headers read so far to their lines.
	headers map[string]int

	// keys maps the keys of the current section to their lines. It is nil
	// outside of a section.
	keys map[string]int

	// skipping is true after a malformed header. Its entries are skipped,
	// because they would only cause further problems of the same origin.
	skipping bool
}

func (parser *documentParser) report(line int, key, text string) {
	parser.problems = append(parser.problems, NewProblem(parser.document.name, line, key, text))
}

// parseLine parses one line, which is trimmed.
func (parser *documentParser) parseLine(number int, line string) {
	if line == "" || line[0] == '#' || line[0] == ';' {
		return
	}
	if text := checkLine(line); text != "" {
		parser.report(number, "line", text)
		return
	}
	if line[0] == '[' {
		parser.addSection(number, line)
		return
	}
	parser.addEntry(number, line)
}

// checkLine returns the text of a problem, or "" when the line contains only
// permitted characters.
func checkLine(line string) string {
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

// addSection parses a header line and starts its section.
func (parser *documentParser) addSection(number int, line string) {
	parser.keys = nil
	parser.skipping = true
	section, text := parseHeader(line)
	if text != "" {
		parser.report(number, line, text)
		return
	}
	section.line = number
	header := section.Header()
	if first, found := parser.headers[header]; found {
		parser.report(number, header, fmt.Sprintf("duplicate section, first at line %d", first))
	} else {
		parser.headers[header] = number
	}
	parser.document.sections = append(parser.document.sections, section)
	parser.keys = map[string]int{}
	parser.skipping = false
}

// parseHeader returns the section of a header line, or the text of a problem.
func parseHeader(line string) (Section, string) {
	// ini.v1 ends the header at the last "]" of the line, which can be part of
	// a comment, so the header is cut at the first "]".
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

// addEntry parses a KEY = VALUE line and adds the entry to the current section.
func (parser *documentParser) addEntry(number int, line string) {
	if parser.skipping {
		return
	}
	entry, text := parseEntry(line)
	if text != "" {
		parser.report(number, "line", text)
		return
	}
	if parser.keys == nil {
		parser.report(number, entry.key, "key outside of a section")
		return
	}
	if first, found := parser.keys[entry.key]; found {
		parser.report(number, entry.key, fmt.Sprintf("duplicate key, first at line %d", first))
		return
	}
	parser.keys[entry.key] = number
	entry.line = number
	section := &parser.document.sections[len(parser.document.sections)-1]
	section.entries = append(section.entries, entry)
}

// parseEntry returns the entry of a line, or the text of a problem.
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
