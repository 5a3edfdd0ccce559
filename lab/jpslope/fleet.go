// Package jpslope measures how the CPU time, memory and traffic of an instance grow
// with the size of the fleet, its slopes. docs/CAPACITY.md is derived from the
// measurements.
package jpslope

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"jacinthpass/core/jpmember"
)

// Fleet is the size of a fleet.
type Fleet struct {
	Instances           int
	Services            int
	Servers             int // of all services together, spread evenly over them
	DataCentres         int // half of them in each of two regions
	ExtraServiceServers int // servers of one additional service, 0 for no such service
}

// DesignFleet is the design size of docs/design.md, section 1.3.
var DesignFleet = Fleet{Instances: 580, Services: 1100, Servers: 3300, DataCentres: 6}

// CurrentFleet is the size of one of the current deployments.
var CurrentFleet = Fleet{Instances: 8, Services: 2, Servers: 22, DataCentres: 4}

// Settings returns the shared settings of the fleet. The servers of a service are
// assigned in turn to the data centres of one region.
func (ft Fleet) Settings() []byte {
	var out bytes.Buffer
	out.WriteString("[defaults]\ncold_duration = 30s\nconnections = 1000000\ncold_connections = 1000000\n")
	for dc := range ft.DataCentres {
		fmt.Fprintf(&out, "[%s]\nstate = in\n", ft.dataCentreSection(dc))
	}
	for no := range ft.Services {
		first := no * ft.Servers / ft.Services
		ft.writeService(&out, no, first, (no+1)*ft.Servers/ft.Services-first)
	}
	if ft.ExtraServiceServers > 0 {
		ft.writeService(&out, ft.Services, ft.Servers, ft.ExtraServiceServers)
	}
	return out.Bytes()
}

func (ft Fleet) writeService(out *bytes.Buffer, no, first, servers int) {
	name := fmt.Sprintf("service_%04d", no)
	fmt.Fprintf(out, "[service.%s]\naddress = 10.80.%d.%d\nport = 443\nprotocol = tcp\nkind = stream\nrepeatable = no\n",
		name, no/250, no%250+1)
	region := ft.DataCentres / 2
	for ix := range servers {
		dc := no%2*region + (no/2+ix)%region
		ad := serverAddress(first + ix)
		fmt.Fprintf(out, "[%s.%s.%s-%d]\naddress = %s:5555\nload = http://%s:8080/load\nstate = active\n",
			ft.dataCentreSection(dc), name, name, ix+1, ad, ad)
	}
}

func serverAddress(no int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 2, byte(no / 250), byte(no%250 + 1)})
}

// dataCentreSection returns the name of a data centre's settings section.
func (ft Fleet) dataCentreSection(dc int) string {
	return fmt.Sprintf("region.region_%d.%s", dc/(ft.DataCentres/2), ft.dataCentreName(dc))
}

func (ft Fleet) dataCentreName(dc int) string { return fmt.Sprintf("centre_%d", dc) }

// InstanceList returns the platform's list of the instances of the fleet.
func (ft Fleet) InstanceList() []jpmember.Listed {
	var rows []jpmember.Listed
	for no := range ft.Instances {
		dc := no % ft.DataCentres
		at := func(port uint16) netip.AddrPort {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(no / 250), byte(no%250 + 1)}), port)
		}
		rows = append(rows, jpmember.Listed{
			ID: fmt.Sprintf("%s-%03d", ft.dataCentreName(dc), no), DataCentre: ft.dataCentreName(dc),
			Addresses: jpmember.Addresses{Traffic: at(5555), Relay: at(6081), Peer: at(7001), Operator: at(7002)},
		})
	}
	return rows
}

// View returns the view of an instance that considers all others alive.
func (ft Fleet) View(self string) jpmember.View {
	view := jpmember.View{Self: self}
	for _, row := range ft.InstanceList() {
		view.Members = append(view.Members, jpmember.Member{
			ID: row.ID, DataCentre: row.DataCentre, Addresses: row.Addresses,
			Incarnation: 1_790_000_000_000_000_000, State: jpmember.Alive, Listed: true,
		})
	}
	slices.SortFunc(view.Members, func(a, b jpmember.Member) int { return cmp.Compare(a.ID, b.ID) })
	return view
}
