package jpsettings

import (
	"bytes"
	"strings"
)

// Edit returns the text with one key set. Comments, order and all other lines
// are kept. A missing key is added after the last key of its section, a missing
// section at the end. The error is a *SettingError or joins several: the text
// has syntax errors, the section cannot have the key, or the value is invalid.
// Rules that involve several keys are checked by Parse only.
func Edit(text []byte, section, key, value string) ([]byte, error) {
	pt, ok := parsePath(section)
	if kind, _, problem := scanLine([]byte("[" + section + "]")); !ok || problem != "" || kind != headerLine {
		return nil, &SettingError{Section: section, Problem: "unknown section"}
	}
	if err := pt.level.checkKey(key, value); err != nil {
		return nil, &SettingError{Section: section, Key: key, Problem: err.Error()}
	}
	doc := readDocument("", text)
	if len(doc.problems) > 0 {
		return nil, joinProblems(doc.problems)
	}
	edited := doc.withKey(text, section, key, value)
	// The INI library reads some values differently, such as one with quotes or
	// a comment sign.
	if en, ok := readDocument("", edited).lookup(section, key); !ok || en.value != value {
		return nil, &SettingError{Line: en.line, Section: section, Key: key, Problem: "value cannot be written in this format"}
	}
	return edited, nil
}

// withKey returns the text with the key replaced or added.
func (doc *document) withKey(text []byte, section, key, value string) []byte {
	lines := bytes.SplitAfter(text, []byte("\n"))
	if en, ok := doc.lookup(section, key); ok {
		lines[en.line-1] = replaceValue(lines[en.line-1], en.value, value)
		return bytes.Join(lines, nil)
	}
	ending := "\n"
	if bytes.HasSuffix(lines[0], []byte("\r\n")) {
		ending = "\r\n"
	}
	added := key + " = " + value + ending
	after := doc.lastLine(section)
	if after == 0 {
		after = len(lines)
		added = "[" + section + "]" + ending + added
	}
	before := bytes.Join(lines[:after], nil)
	if len(before) > 0 && before[len(before)-1] != '\n' {
		before = append(before, ending...)
	}
	before = append(before, added...)
	return append(before, bytes.Join(lines[after:], nil)...)
}

// lastLine returns the line of the last key of a section, or of its header, or 0.
func (doc *document) lastLine(section string) int {
	last := 0
	for _, hd := range doc.headers {
		if hd.name == section {
			last = hd.line
		}
	}
	for _, en := range doc.entries {
		if en.section == section {
			last = max(last, en.line)
		}
	}
	return last
}

// replaceValue replaces the value in a key line. It keeps the text before and
// after the value, but not its quotes.
func replaceValue(line []byte, old, value string) []byte {
	equals := bytes.IndexByte(line, '=') + 1
	start := equals + len(line[equals:]) - len(bytes.TrimLeft(line[equals:], " \t"))
	written := string(line[start:])
	for _, quote := range []string{`"`, `'`} {
		if strings.HasPrefix(written, quote+old+quote) {
			old = quote + old + quote
			break
		}
	}
	return []byte(string(line[:start]) + value + strings.TrimPrefix(written, old))
}
