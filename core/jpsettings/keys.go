package jpsettings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// field is one key of a settings object. A field without a built-in value must
// be set.
type field[T any] struct {
	key     string
	builtIn string
	set     func(target *T, value string) error
}

// Bounds of accepted values. The upper bounds are far above those of real servers
// and catch typing errors.
const (
	maxSlots       = 100_000
	maxConnections = 10_000_000
	maxPercent     = 100
	maxDuration    = 24 * time.Hour
	// A cold duration or idle probe interval shorter than the tick of jpsteering,
	// which is 100 ms, has no effect.
	minDuration = 100 * time.Millisecond
)

// limitFields are the keys that sections of every level may set.
var limitFields = []field[Limits]{
	{"slots", "2", intField(1, maxSlots, func(lm *Limits) *int { return &lm.Slots })},
	{"connections", "2000", intField(1, maxConnections, func(lm *Limits) *int { return &lm.Connections })},
	{"cold_slots", "1", intField(1, maxSlots, func(lm *Limits) *int { return &lm.ColdSlots })},
	{"cold_connections", "100", intField(1, maxConnections, func(lm *Limits) *int { return &lm.ColdConnections })},
	{"cold_duration", "30s", durationField(func(lm *Limits) *time.Duration { return &lm.ColdDuration })},
	{"idle_probe", "60s", durationField(func(lm *Limits) *time.Duration { return &lm.IdleProbe })},
	{"retry_percent", "10", intField(0, maxPercent, func(lm *Limits) *int { return &lm.RetryPercent })},
}

var serviceFields = []field[Service]{
	{"address", "", setServiceAddress},
	{"port", "", setServicePort},
	{"protocol", "tcp", choiceField(func(sv *Service) *Protocol { return &sv.Protocol }, map[string]Protocol{"tcp": TCP, "udp": UDP})},
	{"kind", "", choiceField(func(sv *Service) *Kind { return &sv.Kind }, map[string]Kind{"stream": Stream, "request": Request})},
	// The default is no: a request must not run twice unless it is declared
	// repeatable.
	{"repeatable", "no", choiceField(func(sv *Service) *bool { return &sv.Repeatable }, map[string]bool{"yes": true, "no": false})},
}

var dataCentreFields = []field[DataCentre]{
	{"state", "in", choiceField(func(dc *DataCentre) *bool { return &dc.Out }, map[string]bool{"in": false, "out": true})},
}

var serverFields = []field[Server]{
	{"address", "", setServerAddress},
	{"load", "", setServerLoad},
	{"state", "active", choiceField(func(sr *Server) *bool { return &sr.Draining }, map[string]bool{"active": false, "draining": true})},
}

func intField[T any](low, high int, target func(*T) *int) func(*T, string) error {
	return func(obj *T, value string) error {
		number, err := strconv.Atoi(value)
		if err != nil || number < low || number > high {
			return fmt.Errorf("%q is not a whole number from %d to %d", value, low, high)
		}
		*target(obj) = number
		return nil
	}
}

func durationField[T any](target func(*T) *time.Duration) func(*T, string) error {
	return func(obj *T, value string) error {
		duration, err := time.ParseDuration(value)
		if err != nil || duration < minDuration || duration > maxDuration {
			return fmt.Errorf("%q is not a duration from %v to %v", value, minDuration, maxDuration)
		}
		*target(obj) = duration
		return nil
	}
}

func choiceField[T, V any](target func(*T) *V, choices map[string]V) func(*T, string) error {
	return func(obj *T, value string) error {
		choice, ok := choices[value]
		if !ok {
			return fmt.Errorf("%q is not one of %s", value, strings.Join(sortedKeys(choices), ", "))
		}
		*target(obj) = choice
		return nil
	}
}

func setServiceAddress(sv *Service, value string) error {
	addr, err := netip.ParseAddr(value)
	if err != nil || !isHost(addr) {
		return fmt.Errorf("%q is not the IPv4 address of a host", value)
	}
	sv.Address = netip.AddrPortFrom(addr, sv.Address.Port())
	return nil
}

func setServicePort(sv *Service, value string) error {
	port, err := strconv.ParseUint(value, 10, 16)
	if err != nil || port == 0 {
		return fmt.Errorf("%q is not a port from 1 to 65535", value)
	}
	sv.Address = netip.AddrPortFrom(sv.Address.Addr(), uint16(port))
	return nil
}

func setServerAddress(sr *Server, value string) error {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || !isHost(addr.Addr()) || addr.Port() == 0 {
		return fmt.Errorf("%q is not the IPv4 address and port of a host", value)
	}
	sr.Address = addr
	return nil
}

func setServerLoad(sr *Server, value string) error {
	endpoint, err := url.Parse(value)
	if err != nil || endpoint.Host == "" || endpoint.Scheme != "http" && endpoint.Scheme != "https" {
		return errors.New(strconv.Quote(value) + " is not an http or https URL")
	}
	sr.LoadURL = value
	return nil
}

// isHost reports whether an address can be that of a single IPv4 host.
func isHost(addr netip.Addr) bool {
	broadcast := netip.AddrFrom4([4]byte{255, 255, 255, 255})
	return addr.Is4() && !addr.IsUnspecified() && !addr.IsMulticast() && addr != broadcast
}
