package jpsettings

import (
	"sort"
	"strings"
)

// level is the level of a section in the settings tree.
type level uint8

const (
	defaultsLevel level = iota
	regionLevel
	dataCentreLevel
	serviceLevel
	placementLevel // a service in a data centre
	serverLevel
)

// path is a parsed section name.
type path struct {
	level      level
	region     string
	dataCentre string
	service    string
	server     string
}

const defaultsSection = "defaults"

// builtIn is the Value.Level of a value that no section sets.
const builtIn = "built in"

// parsePath parses a section name. It reports false for an unknown section.
func parsePath(section string) (path, bool) {
	parts := strings.Split(section, ".")
	switch {
	case section == defaultsSection:
		return path{level: defaultsLevel}, true
	case parts[0] == "service" && len(parts) == 2:
		return path{level: serviceLevel, service: parts[1]}, true
	case parts[0] != "region":
		return path{}, false
	}
	switch len(parts) {
	case 2:
		return path{level: regionLevel, region: parts[1]}, true
	case 3:
		return path{level: dataCentreLevel, region: parts[1], dataCentre: parts[2]}, true
	case 4:
		return path{placementLevel, parts[1], parts[2], parts[3], ""}, true
	case 5:
		return path{serverLevel, parts[1], parts[2], parts[3], parts[4]}, true
	}
	return path{}, false
}

func serviceSection(service string) string { return "service." + service }

func regionSection(region string) string { return "region." + region }

func dataCentreSection(region, dataCentre string) string {
	return regionSection(region) + "." + dataCentre
}

// precedence returns the sections from which a server inherits keys, the most
// specific first.
func (pt path) precedence(section string) []string {
	dataCentre := dataCentreSection(pt.region, pt.dataCentre)
	return []string{
		section,
		dataCentre + "." + pt.service,
		serviceSection(pt.service),
		dataCentre,
		regionSection(pt.region),
		defaultsSection,
	}
}

// checkKey returns an error if a section of this level cannot have the key, or if
// the value is invalid.
func (lv level) checkKey(key, value string) error {
	if problem, ok := checkField(limitFields, key, value); ok {
		return problem
	}
	var problem error
	var ok bool
	switch lv {
	case serviceLevel:
		problem, ok = checkField(serviceFields, key, value)
	case dataCentreLevel:
		problem, ok = checkField(dataCentreFields, key, value)
	case serverLevel:
		problem, ok = checkField(serverFields, key, value)
	}
	if !ok {
		return errUnknownKey
	}
	return problem
}

func checkField[T any](fields []field[T], key, value string) (problem error, known bool) {
	for _, fd := range fields {
		if fd.key == key {
			var scratch T
			return fd.set(&scratch, value), true
		}
	}
	return nil, false
}

func sortedKeys[V any](table map[string]V) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
