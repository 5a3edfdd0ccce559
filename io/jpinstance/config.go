package jpinstance

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"sort"

	"jacinthpass/core/jpmember"
	"jacinthpass/io/jptls"
)

// Config holds the settings of one instance, as opposed to the settings that all
// instances share.
type Config struct {
	ID         string
	DataCentre string
	Advertise  jpmember.Addresses // addresses at which others reach the instance
	Listen     jpmember.Addresses // addresses to which its sockets are bound
	Fabric     netip.AddrPort     // UDP endpoint of the network fabric for packets to callers
	Store      string             // base URL of the platform's store
	TLS        jptls.Files        // for peers and operators
	Baseline   string             // BaselineHash or BaselineTracking to use a baseline for comparison; empty in production
}

// ConfigError is one problem in the settings of an instance.
type ConfigError struct {
	File    string
	Line    int // 0 if the problem is a missing key
	Section string
	Key     string
	Problem string
}

// Error returns the problem with its position, as in
// "hob-1.ini:3: [instance] relay: ...".
func (ce *ConfigError) Error() string {
	place := ce.File
	if ce.Line > 0 {
		place = fmt.Sprintf("%s:%d", ce.File, ce.Line)
	}
	if ce.Section != "" {
		place += fmt.Sprintf(": [%s]", ce.Section)
	}
	if ce.Key != "" {
		place += " " + ce.Key
	}
	return place + ": " + ce.Problem
}

// LoadConfig reads the settings of one instance from a file. The error joins a
// ConfigError for each problem, sorted by line, or tells why the file cannot be read.
func LoadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("instance settings: %w", err)
	}
	return parseConfig(path, text)
}

const (
	instanceSection = "instance"
	platformSection = "platform"
	tlsSection      = "tls"
)

// knownKeys are the allowed keys of each section.
var knownKeys = map[string][]string{
	instanceSection: {
		"id", "data_centre", "fabric",
		"traffic", "relay", "peer", "operator",
		"listen_traffic", "listen_relay", "listen_peer", "listen_operator",
	},
	platformSection: {"store"},
	tlsSection:      {"ca", "certificate", "key"},
}

// A name must not contain a dot, which separates the levels of the settings tree. An
// id may, because it is not part of the tree.
var (
	idPattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	namePattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,63}$`)
)

func parseConfig(name string, text []byte) (Config, error) {
	rd := newConfigReader(name, text)
	cfg := Config{
		ID:         rd.requiredName(instanceSection, "id", idPattern),
		DataCentre: rd.requiredName(instanceSection, "data_centre", namePattern),
		Fabric:     rd.requiredAddress(instanceSection, "fabric", udpAddress),
		Store:      rd.storeURL(platformSection, "store"),
		TLS: jptls.Files{
			CA:          rd.value(tlsSection, "ca"),
			Certificate: rd.value(tlsSection, "certificate"),
			Key:         rd.value(tlsSection, "key"),
		},
	}
	for _, ep := range endpoints {
		advertised := rd.requiredAddress(instanceSection, ep.key, ep.kind)
		*ep.target(&cfg.Advertise) = advertised
		*ep.target(&cfg.Listen) = rd.listenAddress(instanceSection, "listen_"+ep.key, ep.kind, advertised)
	}
	rd.checkDistinctAddresses(cfg)
	rd.checkTLS(cfg.TLS)
	if err := rd.err(); err != nil {
		return Config{}, err
	}
	return cfg, nil
}

// addressKind tells which addresses are valid for an endpoint.
type addressKind uint8

const (
	udpAddress addressKind = iota // must be IPv4, because packets are sent as IPv4 in UDP
	tcpAddress
)

// endpoints are the sockets of an instance with their keys in the settings.
var endpoints = []struct {
	key    string
	kind   addressKind
	target func(*jpmember.Addresses) *netip.AddrPort
}{
	{"traffic", udpAddress, func(ad *jpmember.Addresses) *netip.AddrPort { return &ad.Traffic }},
	{"relay", udpAddress, func(ad *jpmember.Addresses) *netip.AddrPort { return &ad.Relay }},
	{"peer", tcpAddress, func(ad *jpmember.Addresses) *netip.AddrPort { return &ad.Peer }},
	{"operator", tcpAddress, func(ad *jpmember.Addresses) *netip.AddrPort { return &ad.Operator }},
}

// requiredName reads a name and reports it if it is missing or invalid.
func (rd *configReader) requiredName(section, key string, pattern *regexp.Regexp) string {
	value := rd.value(section, key)
	if value == "" {
		rd.reportMissing(section, key)
		return ""
	}
	if !pattern.MatchString(value) {
		rd.report(section, key, fmt.Sprintf("%q is not a name of up to 63 letters, digits, _ and - (id: also .)", value))
	}
	return value
}

// requiredAddress reads a destination address and reports it if it is missing or
// invalid.
func (rd *configReader) requiredAddress(section, key string, kind addressKind) netip.AddrPort {
	if rd.value(section, key) == "" {
		rd.reportMissing(section, key)
		return netip.AddrPort{}
	}
	ap, ok := rd.parseAddress(section, key, kind)
	if ok && ap.Addr().IsUnspecified() {
		rd.report(section, key, fmt.Sprintf("%s is not a destination address", ap))
	}
	return ap
}

// listenAddress reads the listen address of a socket. The default is the advertised
// address.
func (rd *configReader) listenAddress(section, key string, kind addressKind, advertised netip.AddrPort) netip.AddrPort {
	if rd.value(section, key) == "" {
		return advertised
	}
	ap, _ := rd.parseAddress(section, key, kind)
	return ap
}

func (rd *configReader) parseAddress(section, key string, kind addressKind) (netip.AddrPort, bool) {
	value := rd.value(section, key)
	ap, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		rd.report(section, key, fmt.Sprintf("%q is not of the form IP-ADDRESS:PORT", value))
	case ap.Port() == 0:
		rd.report(section, key, fmt.Sprintf("%q has no port", value))
	case kind == udpAddress && !ap.Addr().Is4():
		rd.report(section, key, fmt.Sprintf("%q is not an IPv4 address and port", value))
	default:
		return ap, true
	}
	return netip.AddrPort{}, false
}

func (rd *configReader) storeURL(section, key string) string {
	value := rd.value(section, key)
	if value == "" {
		rd.reportMissing(section, key)
		return ""
	}
	ul, err := url.Parse(value)
	if err != nil || (ul.Scheme != "http" && ul.Scheme != "https") || ul.Host == "" || ul.RawQuery != "" || ul.Fragment != "" {
		rd.report(section, key, fmt.Sprintf("%q is not a URL such as http://127.0.0.1:8500", value))
	}
	return value
}

// checkDistinctAddresses reports two sockets with the same listen address. The start
// would fail, or the two UDP sockets would receive each other's packet format.
func (rd *configReader) checkDistinctAddresses(cfg Config) {
	rd.checkSameAddress(cfg.Listen.Traffic, cfg.Listen.Relay, "relay", "traffic")
	rd.checkSameAddress(cfg.Listen.Peer, cfg.Listen.Operator, "operator", "peer")
}

func (rd *configReader) checkSameAddress(first, second netip.AddrPort, key, other string) {
	if !first.IsValid() || first != second {
		return
	}
	if rd.value(instanceSection, "listen_"+key) != "" {
		key = "listen_" + key
	}
	rd.report(instanceSection, key, fmt.Sprintf("has the same listen address %s as %s", second, other))
}

func (rd *configReader) checkTLS(tf jptls.Files) {
	if !tf.Enabled() {
		return
	}
	for _, key := range knownKeys[tlsSection] {
		if rd.value(tlsSection, key) == "" {
			rd.report(tlsSection, key, "ca, certificate and key must be given together")
		}
	}
}

// err joins all problems, sorted by line.
func (rd *configReader) err() error {
	sort.SliceStable(rd.problems, func(i, j int) bool { return rd.problems[i].Line < rd.problems[j].Line })
	errs := make([]error, len(rd.problems))
	for i, ce := range rd.problems {
		errs[i] = ce
	}
	return errors.Join(errs...)
}
