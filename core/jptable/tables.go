package jptable

import (
	"slices"

	"jacinthpass/core/jpsettings"
)

// Tables holds the rank tables of the services of one settings tree. It is
// immutable and safe for concurrent use. A nil *Tables has no tables.
type Tables struct {
	byService map[string]ranking
}

// ranking is a table and the servers that it ranks.
type ranking struct {
	servers []jpsettings.Server
	table   *Table
}

// BuildTables computes the rank tables of a settings tree. It reuses the tables
// of previous, which may be nil, for services with unchanged servers, because a
// table of 1,000 servers takes half a second to build.
func BuildTables(tree *jpsettings.Tree, previous *Tables) *Tables {
	ts := &Tables{byService: make(map[string]ranking, len(tree.Services))}
	for ix := range tree.Services {
		sv := &tree.Services[ix]
		rk := ranking{sv.Servers, previous.ForService(sv.Name)}
		if rk.table == nil || !sameRanking(previous.byService[sv.Name].servers, sv.Servers) {
			rk.table = Build(sv)
		}
		ts.byService[sv.Name] = rk
	}
	return ts
}

// ForService returns the table of a service, or nil if the tree does not have it.
func (ts *Tables) ForService(service string) *Table {
	if ts == nil {
		return nil
	}
	return ts.byService[service].table
}

// sameRanking reports whether two lists of servers have the same rank table.
func sameRanking(one, two []jpsettings.Server) bool {
	return slices.EqualFunc(one, two, func(a, b jpsettings.Server) bool {
		return a.Name == b.Name && a.Out == b.Out
	})
}
