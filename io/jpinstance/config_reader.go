package jpinstance

import (
	"bytes"
	"slices"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// configOptions make the INI library read each line on its own, so that its values
// match the line numbers found by scanLines.
var configOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	KeyValueDelimiters:       "=",
	SpaceBeforeInlineComment: true,
}

// configReader reads the values of an INI text and collects the problems in it.
type configReader struct {
	file        string
	values      *ini.File
	lines       map[string]map[string]int // line number of each key, by section
	problems    []*ConfigError
	syntaxError bool // the text has a syntax error and so no values
}

// newConfigReader parses a text and reports unknown sections and keys.
func newConfigReader(name string, text []byte) *configReader {
	rd := &configReader{file: name, values: ini.Empty(), lines: map[string]map[string]int{}}
	rd.scanLines(text)
	values, err := ini.LoadSources(configOptions, text)
	if err == nil {
		rd.values = values
		return rd
	}
	rd.syntaxError = true
	if len(rd.problems) == 0 {
		rd.reportLine(0, "", "", err.Error())
	}
	return rd
}

// scanLines records the line number of each key, which the INI library does not provide.
func (rd *configReader) scanLines(text []byte) {
	section := ""
	text = bytes.TrimPrefix(text, []byte("\ufeff"))
	for i, raw := range bytes.Split(text, []byte("\n")) {
		line := strings.TrimSpace(string(raw))
		switch {
		case !utf8.ValidString(line):
			rd.reportLine(i+1, section, "", "line is not valid UTF-8")
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = rd.scanHeader(i+1, line)
		default:
			rd.scanKey(i+1, section, line)
		}
	}
}

// scanHeader returns the section name in a header line.
func (rd *configReader) scanHeader(lineNumber int, line string) string {
	name, rest, found := strings.Cut(line[1:], "]")
	switch {
	case !found || strings.Contains(rest, "]"):
		rd.reportLine(lineNumber, "", "", "section header does not have the form [NAME]")
	case knownKeys[name] == nil:
		rd.reportLine(lineNumber, name, "", "unknown section")
	}
	return name
}

func (rd *configReader) scanKey(lineNumber int, section, line string) {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !found:
		rd.reportLine(lineNumber, section, "", "expected [section] or key = value")
	case section == "":
		rd.reportLine(lineNumber, "", key, "key stands before the first section")
	case knownKeys[section] == nil:
		// Already reported for the section header.
	case !slices.Contains(knownKeys[section], key):
		rd.reportLine(lineNumber, section, key, "unknown key")
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		rd.reportLine(lineNumber, section, key, "multi-line values are not supported")
	case rd.lines[section][key] != 0:
		rd.reportLine(lineNumber, section, key, "key is repeated")
	default:
		if rd.lines[section] == nil {
			rd.lines[section] = map[string]int{}
		}
		rd.lines[section][key] = lineNumber
	}
}

// value returns the value of a key, or "" if the key is absent.
func (rd *configReader) value(section, key string) string {
	if !rd.values.HasSection(section) {
		return ""
	}
	return rd.values.Section(section).Key(key).Value()
}

func (rd *configReader) reportMissing(section, key string) {
	// After a syntax error there are no values, so every key would be reported.
	if !rd.syntaxError {
		rd.report(section, key, "missing")
	}
}

func (rd *configReader) report(section, key, problem string) {
	rd.reportLine(rd.lines[section][key], section, key, problem)
}

func (rd *configReader) reportLine(lineNumber int, section, key, problem string) {
	rd.problems = append(rd.problems, &ConfigError{File: rd.file, Line: lineNumber, Section: section, Key: key, Problem: problem})
}
