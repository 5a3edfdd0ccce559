package jpinstance

import (
	"bytes"
	"slices"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// configOptions keep the INI reader strictly line by line, so that its values
// and the lines of scan agree.
var configOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	KeyValueDelimiters:       "=",
	SpaceBeforeInlineComment: true,
}

// configReader reads values and collects problems.
type configReader struct {
	file        string
	values      *ini.File
	lines       map[string]map[string]int // line of each key, by section
	problems    []*ConfigError
	syntaxError bool // syntax errors, there are no values
}

// newConfigReader reads a text and refuses everything that is not a known key.
func newConfigReader(name string, text []byte) *configReader {
	rd := &configReader{file: name, values: ini.Empty(), lines: map[string]map[string]int{}}
	rd.scan(text)
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

// scan finds the line of each key, which the INI library does not keep.
func (rd *configReader) scan(text []byte) {
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

// scanHeader returns the name of the section.
func (rd *configReader) scanHeader(number int, line string) string {
	name, rest, found := strings.Cut(line[1:], "]")
	switch {
	case !found || strings.Contains(rest, "]"):
		rd.reportLine(number, "", "", "section header is not [NAME]")
	case knownKeys[name] == nil:
		rd.reportLine(number, name, "", "unknown section")
	}
	return name
}

func (rd *configReader) scanKey(number int, section, line string) {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !found:
		rd.reportLine(number, section, "", "expected [section] or key = value")
	case section == "":
		rd.reportLine(number, "", key, "key stands before the first section")
	case knownKeys[section] == nil:
		// Reported once, with the section header.
	case !slices.Contains(knownKeys[section], key):
		rd.reportLine(number, section, key, "unknown key")
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		rd.reportLine(number, section, key, "multi-line values are not supported")
	case rd.lines[section][key] != 0:
		rd.reportLine(number, section, key, "key is given twice")
	default:
		if rd.lines[section] == nil {
			rd.lines[section] = map[string]int{}
		}
		rd.lines[section][key] = number
	}
}

// value returns a value, empty if the key is absent.
func (rd *configReader) value(section, key string) string {
	if !rd.values.HasSection(section) {
		return ""
	}
	return rd.values.Section(section).Key(key).Value()
}

func (rd *configReader) reportMissing(section, key string) {
	// A text with syntax errors has no values, so every key would be missing.
	if !rd.syntaxError {
		rd.report(section, key, "missing")
	}
}

func (rd *configReader) report(section, key, problem string) {
	rd.reportLine(rd.lines[section][key], section, key, problem)
}

func (rd *configReader) reportLine(number int, section, key, problem string) {
	rd.problems = append(rd.problems, &ConfigError{File: rd.file, Line: number, Section: section, Key: key, Problem: problem})
}
