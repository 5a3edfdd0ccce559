package design

import . "goa.design/goa/v3/dsl" //lint:ignore ST1001 the goa DSL is written with a dot import

// Accepted is the result of a change.
var Accepted = Type("Accepted", func() {
	Description("A change that the store has accepted.")
	Attribute("version", UInt64, "Version of the settings with the change")
	Required("version")
})

// Settings is the raw text of the settings.
var Settings = Type("Settings", func() {
	Attribute("version", UInt64, "Version of the settings, 0 if the instance has none yet")
	Attribute("author", String, "Who made the last change")
	Attribute("text", String, "Settings as INI text")
	Required("version", "author", "text")
})

// ResolvedValue is one value and the level that sets it.
var ResolvedValue = Type("ResolvedValue", func() {
	Attribute("section", String, "Section of the server, service or data centre that the value is for")
	Attribute("key", String, "Key")
	Attribute("value", String, "Value as in INI text")
	Attribute("level", String, "Section that sets the value, or \"built in\"")
	Attribute("line", Int, "Line of the value in the settings, 0 if built in")
	Required("section", "key", "value", "level", "line")
})

// Member is one instance as the called instance sees it.
var Member = Type("Member", func() {
	Attribute("id", String, "Instance")
	Attribute("data_centre", String, "Data centre")
	Attribute("state", String, "State", func() {
		Enum("unknown", "alive", "leaving", "dead")
	})
	Attribute("listed", Boolean, "The platform's instance list names the instance")
	Attribute("incarnation", UInt64, "Incarnation")
	Attribute("operator", String, "Address of the instance's operators' interface, empty if unknown")
	Required("id", "data_centre", "state", "listed", "incarnation", "operator")
})

// OwnedServer is a backend server that the called instance owns.
var OwnedServer = Type("OwnedServer", func() {
	Attribute("service", String, "Service")
	Attribute("server", String, "Name of the server")
	Attribute("data_centre", String, "Data centre")
	Attribute("address", String, "IPv4-in-UDP endpoint")
	Attribute("flows", Int, "Open flows")
	Attribute("requests", Int, "Running requests")
	Attribute("state", String, "Cold state", func() {
		Enum("cold", "slow_start", "warm")
	})
	Attribute("draining", Boolean, "The server takes no new flows")
	Attribute("responding", Boolean, "The server answers new flows")
	Attribute("connection_limit", Int, "Flows allowed now")
	Attribute("request_limit", Int, "Requests allowed now")
	Attribute("connections", Int, "Flows allowed when warm")
	Attribute("slots", Int, "Requests allowed when warm")
	Required("service", "server", "data_centre", "address", "flows", "requests", "state", "draining",
		"responding", "connection_limit", "request_limit", "connections", "slots")
})

// InstanceStatus is the state of the called instance.
var InstanceStatus = Type("InstanceStatus", func() {
	Attribute("id", String, "Instance")
	Attribute("data_centre", String, "Data centre")
	Attribute("settings_version", UInt64, "Version of the settings in force, 0 if none")
	Attribute("leaving", Boolean, "A planned stop is under way")
	Attribute("members", ArrayOf(Member), "All known instances, in order of id")
	Attribute("owned", ArrayOf(OwnedServer), "Backend servers that this instance owns")
	Attribute("flow_entries", Int, "Entries in the flow table")
	Attribute("flow_capacity", Int, "Entries that the flow table can hold")
	Attribute("drops", MapOf(String, UInt64), "Dropped packets since the start, by reason")
	Required("id", "data_centre", "settings_version", "leaving", "members", "owned", "flow_entries", "flow_capacity", "drops")
})

// Event is one event of the time line.
var Event = Type("Event", func() {
	Attribute("at", String, "Time on the clock of the instance", func() {
		Format(FormatDateTime)
	})
	Attribute("instance", String, "Instance that recorded the event")
	Attribute("part", String, "Part of the program")
	Attribute("name", String, "Name of the event")
	Attribute("subject", String, "Server, service or instance that the event is about")
	Attribute("detail", String, "Further text")
	Required("at", "instance", "part", "name", "subject", "detail")
})

// EventList is the merged time line.
var EventList = Type("EventList", func() {
	Attribute("events", ArrayOf(Event), "Events in order of time")
	Attribute("missing", ArrayOf(String), "Instances that did not answer; their events are missing")
	Attribute("omitted", Int, "Earlier events that the limit left out")
	Required("events", "missing", "omitted")
})
