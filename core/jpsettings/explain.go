package jpsettings

import "sort"

// Value is the resolved value of one key of a server, service or data centre.
type Value struct {
	Section string // of the server, service or data centre
	Key     string
	Value   string
	Level   string // section that the value comes from, or "built in"
	Line    int    // of the value, from 1; 0 if built in
}

// Explain returns the resolved value of every key of every server, service and
// data centre, sorted by section. Inherited keys are listed for servers only,
// because the same key of a service can resolve differently in each data centre.
// The error is that of Parse.
func Explain(name string, text []byte) ([]Value, error) {
	rs := resolve(name, text)
	if err := joinProblems(rs.doc.problems); err != nil {
		return nil, err
	}
	sort.SliceStable(rs.values, func(i, j int) bool { return rs.values[i].Section < rs.values[j].Section })
	return rs.values, nil
}
