package jpoperator

import (
	"net/netip"
	"time"

	"jacinthpass/core/jpevent"
	"jacinthpass/core/jpmember"
	"jacinthpass/gen/operator"
)

// States of data centres and servers in requests, as in the settings.
const (
	stateIn       = "in"
	stateOut      = "out"
	stateActive   = "active"
	stateDraining = "draining"
)

var memberStates = []struct {
	state jpmember.State
	name  string
}{
	{jpmember.Unknown, "unknown"},
	{jpmember.Alive, "alive"},
	{jpmember.Leaving, "leaving"},
	{jpmember.Dead, "dead"},
}

// MemberStateName returns the name of a member's state in the API.
func MemberStateName(state jpmember.State) string {
	for _, ms := range memberStates {
		if ms.state == state {
			return ms.name
		}
	}
	return "unknown"
}

func memberState(name string) jpmember.State {
	for _, ms := range memberStates {
		if ms.name == name {
			return ms.state
		}
	}
	return jpmember.Unknown
}

func toWireProblems(pbs []Problem) []*operator.Problem {
	wire := make([]*operator.Problem, 0, len(pbs))
	for _, pb := range pbs {
		wire = append(wire, &operator.Problem{File: pb.File, Line: pb.Line, Key: pb.Key, Message: pb.Message})
	}
	return wire
}

func fromWireProblems(wire []*operator.Problem) []Problem {
	pbs := make([]Problem, 0, len(wire))
	for _, pb := range wire {
		pbs = append(pbs, Problem{File: pb.File, Line: pb.Line, Key: pb.Key, Message: pb.Message})
	}
	return pbs
}

func toWireValues(vals []Value) []*operator.ResolvedValue {
	wire := make([]*operator.ResolvedValue, 0, len(vals))
	for _, val := range vals {
		wv := operator.ResolvedValue(val)
		wire = append(wire, &wv)
	}
	return wire
}

func fromWireValues(wire []*operator.ResolvedValue) []Value {
	vals := make([]Value, 0, len(wire))
	for _, wv := range wire {
		vals = append(vals, Value(*wv))
	}
	return vals
}

func toWireStatus(st Status) *operator.InstanceStatus {
	wire := &operator.InstanceStatus{
		ID: st.ID, DataCentre: st.DataCentre,
		SettingsVersion: st.SettingsVersion,
		Leaving:         st.Leaving,
		Members:         make([]*operator.Member, 0, len(st.Members)),
		Owned:           make([]*operator.OwnedServer, 0, len(st.Owned)),
		FlowEntries:     st.FlowEntries,
		FlowCapacity:    st.FlowCapacity,
		Drops:           st.Drops,
	}
	if wire.Drops == nil {
		wire.Drops = map[string]uint64{}
	}
	for _, mb := range st.Members {
		wire.Members = append(wire.Members, toWireMember(mb))
	}
	for _, sv := range st.Owned {
		wire.Owned = append(wire.Owned, toWireOwned(sv))
	}
	return wire
}

func toWireMember(mb jpmember.Member) *operator.Member {
	return &operator.Member{
		ID: mb.ID, DataCentre: mb.DataCentre,
		State:       MemberStateName(mb.State),
		Listed:      mb.Listed,
		Incarnation: mb.Incarnation,
		Operator:    addressText(mb.Addresses.Operator),
	}
}

func toWireOwned(sv OwnedServer) *operator.OwnedServer {
	return &operator.OwnedServer{
		Service: sv.Service, Server: sv.Server, DataCentre: sv.DataCentre,
		Address: addressText(sv.Address),
		Flows:   sv.Flows, Requests: sv.Requests,
		State: string(sv.State), Draining: sv.Draining, Responding: sv.Responding,
		ConnectionLimit: sv.ConnectionLimit, RequestLimit: sv.RequestLimit,
		Connections: sv.Connections, Slots: sv.Slots,
	}
}

func fromWireStatus(wire *operator.InstanceStatus) Status {
	st := Status{
		ID: wire.ID, DataCentre: wire.DataCentre,
		SettingsVersion: wire.SettingsVersion,
		Leaving:         wire.Leaving,
		FlowEntries:     wire.FlowEntries,
		FlowCapacity:    wire.FlowCapacity,
		Drops:           wire.Drops,
	}
	for _, mb := range wire.Members {
		st.Members = append(st.Members, fromWireMember(mb))
	}
	for _, sv := range wire.Owned {
		st.Owned = append(st.Owned, fromWireOwned(sv))
	}
	return st
}

// fromWireMember sets only the operators' address, because the API has no other.
func fromWireMember(mb *operator.Member) jpmember.Member {
	return jpmember.Member{
		ID: mb.ID, DataCentre: mb.DataCentre,
		Addresses:   jpmember.Addresses{Operator: parseAddress(mb.Operator)},
		Incarnation: mb.Incarnation,
		State:       memberState(mb.State),
		Listed:      mb.Listed,
	}
}

func fromWireOwned(sv *operator.OwnedServer) OwnedServer {
	return OwnedServer{
		Service: sv.Service, Server: sv.Server, DataCentre: sv.DataCentre,
		Address: parseAddress(sv.Address),
		Flows:   sv.Flows, Requests: sv.Requests,
		State: WarmupState(sv.State), Draining: sv.Draining, Responding: sv.Responding,
		ConnectionLimit: sv.ConnectionLimit, RequestLimit: sv.RequestLimit,
		Connections: sv.Connections, Slots: sv.Slots,
	}
}

// toWireTimeline converts the newest events, at most limit, and counts the others.
func toWireTimeline(tl Timeline, limit int) *operator.EventList {
	omitted := max(0, len(tl.Events)-limit)
	wire := &operator.EventList{
		Events:  make([]*operator.Event, 0, len(tl.Events)-omitted),
		Missing: append([]string{}, tl.Missing...),
		Omitted: omitted,
	}
	for _, ev := range tl.Events[omitted:] {
		wire.Events = append(wire.Events, &operator.Event{
			At: ev.At.Format(time.RFC3339Nano), Instance: ev.Instance,
			Part: ev.Part, Name: ev.Name, Subject: ev.Subject, Detail: ev.Detail,
		})
	}
	return wire
}

func fromWireTimeline(wire *operator.EventList) (Timeline, error) {
	tl := Timeline{Missing: wire.Missing, Omitted: wire.Omitted}
	for _, ev := range wire.Events {
		at, err := time.Parse(time.RFC3339, ev.At)
		if err != nil {
			return Timeline{}, err
		}
		tl.Events = append(tl.Events, jpevent.Event{
			At: at, Instance: ev.Instance,
			Part: ev.Part, Name: ev.Name, Subject: ev.Subject, Detail: ev.Detail,
		})
	}
	return tl, nil
}

func addressText(ap netip.AddrPort) string {
	if !ap.IsValid() {
		return ""
	}
	return ap.String()
}

// parseAddress returns the zero value for text that is not an IP address and port.
func parseAddress(text string) netip.AddrPort {
	ap, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return ap
}
