package jptable

import (
	"slices"

	"jacinthpass/core/jpsettings"
)

// Tables are the rank tables of the services of one settings tree. They are
// never changed after BuildTables and are safe for concurrent use. The nil
// Tables are those of no service.
type Tables struct {
	byService map[string]ranking
}

// ranking is a table and the servers that it ranks.
type ranking struct {
	servers []jpsettings.Server
	table   *Table
}

// BuildTables computes the rank tables of a settings tree. It takes over from
// previous, which may be nil, those of services whose servers are the same: a
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

// ForService returns the table of a service, or nil if the tree did not name it.
func (ts *Tables) ForService(service string) *Table {
	if ts == nil {
		return nil
	}
	return ts.byService[service].table
}

// sameRanking tells whether two lists of servers have the same rank table.
func sameRanking(one, two []jpsettings.Server) bool {
	return slices.EqualFunc(one, two, func(a, b jpsettings.Server) bool {
		return a.Name == b.Name && a.Out == b.Out
	})
}
