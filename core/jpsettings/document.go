package jpsettings

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// loadOptions make the INI library read line by line, so that it agrees with the
// line numbers of scan.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	KeyValueDelimiters:       "=",
	SpaceBeforeInlineComment: true,
}

// lineKind is the kind of one line of a text.
type lineKind uint8

const (
	blankLine lineKind = iota // empty or a comment
	headerLine
	keyLine
)

// entry is one key with its value as written in the text.
type entry struct {
	line    int // from 1
	section string
	key     string
	value   string
}

// header is one section header.
type header struct {
	line int // from 1
	name string
}

// document is a parsed settings text with the line of every key. It checks the INI
// syntax only, not which sections and keys are valid.
type document struct {
	name     string
	headers  []header                  // in the order of the text, without repeated ones
	entries  []entry                   // in the order of the text, without repeated ones
	byKey    map[string]map[string]int // index in entries by section and key
	problems []*SettingError
}

// readDocument parses a text. The values come from the INI library; the line
// numbers come from a separate scan, because the library does not keep them.
func readDocument(name string, text []byte) *document {
	doc := &document{name: name, byKey: map[string]map[string]int{}}
	doc.scan(text)
	if len(doc.problems) > 0 {
		return doc
	}
	file, err := ini.LoadSources(loadOptions, text)
	if err != nil {
		doc.addProblem(0, "", "", err.Error())
		return doc
	}
	for i := range doc.entries {
		en := &doc.entries[i]
		key, err := file.Section(en.section).GetKey(en.key)
		if err != nil {
			doc.addProblem(en.line, en.section, en.key, err.Error())
			continue
		}
		en.value = key.Value() // raw: no interpolation of %(name)s
	}
	return doc
}

// scan records the line of every section and key, and the syntax errors.
func (doc *document) scan(text []byte) {
	section := ""
	for i, raw := range bytes.Split(text, []byte("\n")) {
		number := i + 1
		kind, word, problem := scanLine(raw)
		switch {
		case problem != "":
			doc.addProblem(number, section, "", problem)
		case kind == headerLine:
			section = word
			doc.addHeader(number, word)
		case kind == keyLine:
			doc.addEntry(number, section, word)
		}
	}
}

func (doc *document) addHeader(number int, name string) {
	if _, ok := doc.byKey[name]; ok {
		doc.addProblem(number, name, "", "section is repeated")
		return
	}
	doc.byKey[name] = map[string]int{}
	doc.headers = append(doc.headers, header{number, name})
}

func (doc *document) addEntry(number int, section, key string) {
	keys, ok := doc.byKey[section]
	if !ok {
		doc.addProblem(number, section, key, "key stands before the first section")
		return
	}
	if first, ok := keys[key]; ok {
		doc.addProblem(number, section, key, fmt.Sprintf("key is repeated, first on line %d", doc.entries[first].line))
		return
	}
	keys[key] = len(doc.entries)
	doc.entries = append(doc.entries, entry{line: number, section: section, key: key})
}

// lookup returns the entry of a key in a section.
func (doc *document) lookup(section, key string) (entry, bool) {
	i, ok := doc.byKey[section][key]
	if !ok {
		return entry{}, false
	}
	return doc.entries[i], true
}

func (doc *document) addProblem(line int, section, key, problem string) {
	doc.problems = append(doc.problems, &SettingError{doc.name, line, section, key, problem})
}

// scanLine returns the section or key name of a line, or a problem. It rejects
// quoted keys and multi-line values, which the INI library would accept.
func scanLine(raw []byte) (kind lineKind, word, problem string) {
	if !utf8.Valid(raw) {
		return blankLine, "", "line is not valid UTF-8"
	}
	line := strings.TrimSpace(string(raw))
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return blankLine, "", ""
	case line[0] == '[':
		return scanHeader(line)
	}
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	switch {
	case !found:
		return blankLine, "", "expected [section] or key = value"
	case !isName(key):
		return blankLine, "", fmt.Sprintf("%q is not a key name", key)
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		return blankLine, "", "multi-line values are not supported"
	}
	return keyLine, key, ""
}

func scanHeader(line string) (kind lineKind, word, problem string) {
	end := strings.IndexByte(line, ']')
	if end < 0 {
		return blankLine, "", "section header has no closing bracket"
	}
	name := line[1:end]
	for _, part := range strings.Split(name, ".") {
		if !isName(part) {
			return blankLine, "", fmt.Sprintf("%q is not a section name", name)
		}
	}
	if name == ini.DefaultSection {
		return blankLine, "", fmt.Sprintf("section name %q is reserved", name)
	}
	// The INI library ends the name at the last bracket of the line, so a second
	// one is rejected also in a comment.
	rest := strings.TrimSpace(line[end+1:])
	if strings.Contains(rest, "]") || rest != "" && rest[0] != '#' && rest[0] != ';' {
		return blankLine, "", "unexpected text after the section header"
	}
	return headerLine, name, ""
}

// maxNameLength bounds names, in bytes, so that they fit in metric labels and
// event subjects.
const maxNameLength = 63

// isName reports whether a name consists of ASCII letters, digits, "_" and "-",
// starts with a letter or digit and is not too long.
func isName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for i := 0; i < len(name); i++ {
		ch := name[i]
		alnum := ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9'
		if !alnum && (i == 0 || ch != '_' && ch != '-') {
			return false
		}
	}
	return true
}
