// Package jpnetwork simulates the network around the instances: the fabric,
// which distributes packets over them, and a proxy in front of every process
// that delays, drops, duplicates, reorders or blocks traffic on request.
package jpnetwork

import (
	"encoding/json"
	"net/netip"
	"os"

	"github.com/samber/oops"
)

// Config is the content of the configuration file (JSON).
type Config struct {
	Control     string             `json:"control"` // HTTP address of the control interface
	Seed        uint64             `json:"seed"`
	Fabrics     []Fabric           `json:"fabrics"`
	Instances   []Instance         `json:"instances"`
	Servers     netip.Prefix       `json:"servers"` // source addresses of backend servers
	DataCentres []DataCentrePrefix `json:"data_centres"`
	Rules       []Rule             `json:"rules"`
	Faults      []Fault            `json:"faults"`
}

// Fabric is one UDP port of the fabric. Packets that arrive there go to the
// instances of DataCentre, or to all instances if it is empty.
type Fabric struct {
	Listen     netip.AddrPort `json:"listen"`
	DataCentre string         `json:"data_centre,omitempty"`
}

// Instance is an instance to which the fabric sends packets.
type Instance struct {
	ID         string         `json:"id"`
	Address    netip.AddrPort `json:"address"` // UDP endpoint for encapsulated IPv4 packets
	DataCentre string         `json:"data_centre"`
	Weight     int            `json:"weight"` // 0 means 1
}

// DataCentrePrefix maps the addresses of a prefix to a data centre. The longest prefix applies.
type DataCentrePrefix struct {
	Prefix netip.Prefix `json:"prefix"`
	Name   string       `json:"name"`
}

// Rule is one listener of the proxy, which forwards to Target.
type Rule struct {
	Name       string         `json:"name"`
	Protocol   string         `json:"protocol"` // udp or tcp
	Listen     netip.AddrPort `json:"listen"`
	Target     netip.AddrPort `json:"target"`
	DataCentre string         `json:"data_centre,omitempty"` // empty: derived from the address of Target
	Tunnel     bool           `json:"tunnel,omitempty"`      // datagrams carry IPv4 packets to a backend server
}

// ReadConfig reads the configuration file.
func ReadConfig(path string) (Config, error) {
	var cfg Config
	text, err := os.ReadFile(path)
	if err != nil {
		return cfg, oops.Wrapf(err, "network: read configuration")
	}
	if err := json.Unmarshal(text, &cfg); err != nil {
		return cfg, oops.Wrapf(err, "network: parse %s", path)
	}
	return cfg, nil
}
