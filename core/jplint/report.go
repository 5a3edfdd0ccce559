// Package jplint reviews a configuration before it is sent: what can't be meant as it
// stands, and what differs from the version in force. It does no I/O.
package jplint

import (
	"cmp"
	"slices"
)

// Level says how bad a finding is.
type Level uint8

// Levels.
const (
	Warning Level = iota // callers are served, but perhaps not as meant
	Error                // the configuration is refused, or callers are not served
)

// String returns the name of the level, in snake case.
func (lv Level) String() string {
	if lv == Error {
		return "error"
	}
	return "warning"
}

// Finding is one problem of a configuration.
type Finding struct {
	Level   Level
	Place   string // object, or line, that has the problem
	Problem string
}

// Value is one value of a configuration.
type Value struct {
	Place, Key, Value string
}

// Change is a value that differs from the version in force. InForce or New is empty if the
// value is missing there.
type Change struct {
	Place, Key, InForce, New string
}

// Report is the result of a review.
type Report struct {
	Findings []Finding
	Changes  []Change
}

// Exit codes of a command that prints a report.
const (
	ExitClean    = 0
	ExitWarnings = 1
	ExitErrors   = 2
)

// ExitCode returns the exit code for the worst finding. Changes alone are clean.
func (rp Report) ExitCode() int {
	code := ExitClean
	for _, fi := range rp.Findings {
		if fi.Level == Error {
			return ExitErrors
		}
		code = ExitWarnings
	}
	return code
}

// sorted returns findings with errors first, otherwise in their order.
func sorted(findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(b.Level, a.Level) })
	return findings
}

// changes returns how the values of a configuration differ from those in force, in the
// order of the new one, then those that are missing there. Of equal places and keys the
// last one counts.
func changes(inForce, next []Value) []Change {
	type key struct{ place, key string }
	before, after := map[key]string{}, map[key]string{}
	for _, vl := range inForce {
		before[key{vl.Place, vl.Key}] = vl.Value
	}
	for _, vl := range next {
		after[key{vl.Place, vl.Key}] = vl.Value
	}
	var list []Change
	seen := map[key]bool{}
	for _, vl := range slices.Concat(next, inForce) {
		ky := key{vl.Place, vl.Key}
		if !seen[ky] && before[ky] != after[ky] {
			list = append(list, Change{Place: vl.Place, Key: vl.Key, InForce: before[ky], New: after[ky]})
		}
		seen[ky] = true
	}
	return list
}
