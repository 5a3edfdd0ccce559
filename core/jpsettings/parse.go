package jpsettings

import (
	"errors"
	"fmt"
	"net/netip"
	"sort"
)

var errUnknownKey = errors.New("unknown key")

// Parse parses, validates and resolves a settings text. The name appears in errors.
// The error joins one *SettingError for each problem found. Tree.Version and
// Tree.Former are left for the caller to set.
func Parse(name string, text []byte) (*Tree, error) {
	rs := resolve(name, text)
	if err := joinProblems(rs.doc.problems); err != nil {
		return nil, err
	}
	return rs.tree, nil
}

// resolver turns a document into a tree and records where each value comes from.
type resolver struct {
	doc      *document
	tree     *Tree
	values   []Value
	services map[string]*Service
	regionOf map[string]string // region of each data centre
	reported map[entry]bool    // conflicts of inherited values, reported once
}

func resolve(name string, text []byte) *resolver {
	rs := &resolver{
		doc:      readDocument(name, text),
		tree:     &Tree{},
		services: map[string]*Service{},
		regionOf: map[string]string{},
		reported: map[entry]bool{},
	}
	if len(rs.doc.problems) > 0 {
		return rs
	}
	rs.checkEntries()
	rs.addDataCentres()
	rs.addServices()
	rs.addServers()
	rs.checkUnique()
	rs.buildTree()
	return rs
}

// checkEntries reports unknown sections and keys and invalid values.
func (rs *resolver) checkEntries() {
	for _, hd := range rs.doc.headers {
		if _, ok := parsePath(hd.name); !ok {
			rs.doc.addProblem(hd.line, hd.name, "", "unknown section")
		}
	}
	for _, en := range rs.doc.entries {
		pt, ok := parsePath(en.section)
		if !ok {
			continue
		}
		if err := pt.level.checkKey(en.key, en.value); err != nil {
			rs.doc.addProblem(en.line, en.section, en.key, err.Error())
		}
	}
}

func (rs *resolver) addDataCentres() {
	for _, hd := range rs.doc.headers {
		pt, ok := parsePath(hd.name)
		if !ok || pt.level != dataCentreLevel {
			continue
		}
		if region, ok := rs.regionOf[pt.dataCentre]; ok {
			rs.doc.addProblem(hd.line, hd.name, "", "data centre is also in region "+region)
			continue
		}
		rs.regionOf[pt.dataCentre] = pt.region
		dc := DataCentre{Name: pt.dataCentre, Region: pt.region}
		setFields(rs, hd, dataCentreFields, &dc, []string{hd.name})
		rs.tree.DataCentres = append(rs.tree.DataCentres, dc)
	}
}

func (rs *resolver) addServices() {
	for _, hd := range rs.doc.headers {
		pt, ok := parsePath(hd.name)
		if !ok || pt.level != serviceLevel {
			continue
		}
		sv := &Service{Name: pt.service}
		setFields(rs, hd, serviceFields, sv, []string{hd.name})
		if sv.Protocol == UDP && !sv.Repeatable {
			rs.doc.addProblem(hd.line, hd.name, "repeatable", "a service over udp must be repeatable")
		}
		rs.services[pt.service] = sv
	}
	if len(rs.services) == 0 {
		rs.doc.addProblem(0, "", "", "no service is defined")
	}
}

func (rs *resolver) addServers() {
	for _, hd := range rs.doc.headers {
		pt, ok := parsePath(hd.name)
		if !ok || pt.level < placementLevel {
			continue
		}
		// Undeclared names are rejected, because a typing error in a name would
		// otherwise create a new data centre.
		if region, ok := rs.regionOf[pt.dataCentre]; !ok || region != pt.region {
			rs.doc.addProblem(hd.line, hd.name, "", fmt.Sprintf("section [%s] is missing", dataCentreSection(pt.region, pt.dataCentre)))
		}
		sv, ok := rs.services[pt.service]
		if !ok {
			rs.doc.addProblem(hd.line, hd.name, "", fmt.Sprintf("section [%s] is missing", serviceSection(pt.service)))
			continue
		}
		if pt.level == serverLevel {
			sv.Servers = append(sv.Servers, rs.resolveServer(hd, pt))
		}
	}
}

func (rs *resolver) resolveServer(hd header, pt path) Server {
	sr := Server{Name: pt.server, DataCentre: pt.dataCentre, Region: pt.region}
	for _, dc := range rs.tree.DataCentres {
		if dc.Name == pt.dataCentre {
			sr.Out = dc.Out
		}
	}
	setFields(rs, hd, serverFields, &sr, []string{hd.name})
	first := len(rs.values)
	setFields(rs, hd, limitFields, &sr.Limits, pt.precedence(hd.name))
	limits := rs.values[first:]
	rs.boundColdLimit(hd, limits, "cold_slots", "slots", &sr.Limits.ColdSlots, sr.Limits.Slots)
	rs.boundColdLimit(hd, limits, "cold_connections", "connections", &sr.Limits.ColdConnections, sr.Limits.Connections)
	return sr
}

// boundColdLimit ensures that a cold limit does not exceed the full limit. The
// built-in value is lowered; a configured value is rejected, because it would
// put the full load on a cold server.
func (rs *resolver) boundColdLimit(hd header, limits []Value, coldKey, fullKey string, cold *int, full int) {
	if *cold <= full {
		return
	}
	for i := range limits {
		vl := &limits[i]
		if vl.Key != coldKey {
			continue
		}
		if vl.Level == builtIn {
			*cold = full
			vl.Value = fmt.Sprint(full)
			return
		}
		en, _ := rs.doc.lookup(vl.Level, coldKey)
		if !rs.reported[en] {
			rs.reported[en] = true
			rs.doc.addProblem(en.line, en.section, en.key, fmt.Sprintf("%d exceeds %s %d of [%s]", *cold, fullKey, full, hd.name))
		}
	}
}

// setFields sets each field of one object from the first section that has its
// key. Invalid values have been reported by checkEntries.
func setFields[T any](rs *resolver, hd header, fields []field[T], target *T, sections []string) {
	for _, fd := range fields {
		vl := Value{Section: hd.name, Key: fd.key, Value: fd.builtIn, Level: builtIn}
		for _, section := range sections {
			if en, ok := rs.doc.lookup(section, fd.key); ok {
				vl.Value, vl.Level, vl.Line = en.value, en.section, en.line
				break
			}
		}
		if vl.Level == builtIn && fd.builtIn == "" {
			rs.doc.addProblem(hd.line, hd.name, fd.key, "key is missing")
			continue
		}
		if fd.set(target, vl.Value) == nil {
			rs.values = append(rs.values, vl)
		}
	}
}

// checkUnique reports services with the same address and port, and servers of one
// service with the same name or IP address, so that a packet belongs to one service
// and one server.
func (rs *resolver) checkUnique() {
	endpoints := map[netip.AddrPort]string{}
	for _, name := range sortedKeys(rs.services) {
		sv := rs.services[name]
		section := serviceSection(name)
		rs.checkUniqueServers(sv)
		if other, ok := endpoints[sv.Address]; ok && sv.Address.IsValid() {
			rs.addProblemAt(section, "address", fmt.Sprintf("%v is also the address and port of [%s]", sv.Address, other))
			continue
		}
		endpoints[sv.Address] = section
	}
}

// checkUniqueServers checks the servers of one service. Addresses are compared
// without ports, because the source IP address alone identifies a server's packets.
func (rs *resolver) checkUniqueServers(sv *Service) {
	names := map[string]string{}
	addresses := map[netip.Addr]string{}
	for _, sr := range sv.Servers {
		section := dataCentreSection(sr.Region, sr.DataCentre) + "." + sv.Name + "." + sr.Name
		if other, ok := names[sr.Name]; ok {
			rs.addProblemAt(section, "", fmt.Sprintf("server name is also used by [%s]", other))
		} else {
			names[sr.Name] = section
		}
		addr := sr.Address.Addr()
		if other, ok := addresses[addr]; ok && addr.IsValid() {
			rs.addProblemAt(section, "address", fmt.Sprintf("%v is also the address of [%s]", addr, other))
		} else {
			addresses[addr] = section
		}
	}
}

// addProblemAt adds a problem on the line of a key, or on that of the section
// header if the section does not have the key.
func (rs *resolver) addProblemAt(section, key, problem string) {
	if en, ok := rs.doc.lookup(section, key); ok {
		rs.doc.addProblem(en.line, section, key, problem)
		return
	}
	for _, hd := range rs.doc.headers {
		if hd.name == section {
			rs.doc.addProblem(hd.line, section, key, problem)
		}
	}
}

// buildTree adds the services to the tree and sorts its parts by name.
func (rs *resolver) buildTree() {
	tree := rs.tree
	sort.Slice(tree.DataCentres, func(i, j int) bool { return tree.DataCentres[i].Name < tree.DataCentres[j].Name })
	for _, name := range sortedKeys(rs.services) {
		sv := rs.services[name]
		sort.Slice(sv.Servers, func(i, j int) bool { return sv.Servers[i].Name < sv.Servers[j].Name })
		tree.Services = append(tree.Services, *sv)
	}
}
