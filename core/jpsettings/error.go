package jpsettings

import (
	"errors"
	"fmt"
	"sort"
	"strings"
)

// SettingError is one problem in a settings text.
type SettingError struct {
	File    string // name given to Parse, empty for Edit
	Line    int    // from 1, 0 if the text has no such line
	Section string // empty before the first section
	Key     string // empty if the problem concerns the whole section or line
	Problem string
}

// Error returns the problem with its location, for instance
// "derwent.ini:12: [region.tasmania] slots: ...".
func (se *SettingError) Error() string {
	var sb strings.Builder
	if se.File != "" {
		sb.WriteString(se.File + ":")
	}
	if se.Line > 0 {
		fmt.Fprintf(&sb, "%d:", se.Line)
	}
	if sb.Len() > 0 {
		sb.WriteByte(' ')
	}
	if se.Section != "" {
		fmt.Fprintf(&sb, "[%s] ", se.Section)
	}
	if se.Key != "" {
		sb.WriteString(se.Key + ": ")
	}
	sb.WriteString(se.Problem)
	return sb.String()
}

// Problems returns the settings errors that err wraps or joins, in their order.
func Problems(err error) []*SettingError {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var all []*SettingError
		for _, e := range joined.Unwrap() {
			all = append(all, Problems(e)...)
		}
		return all
	}
	var se *SettingError
	if errors.As(err, &se) {
		return []*SettingError{se}
	}
	return nil
}

// joinProblems returns nil if there are no problems.
func joinProblems(problems []*SettingError) error {
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Line < problems[j].Line })
	errs := make([]error, len(problems))
	for i, se := range problems {
		errs[i] = se
	}
	return errors.Join(errs...)
}
