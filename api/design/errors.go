package design

import . "goa.design/goa/v3/dsl" //lint:ignore ST1001 the goa DSL is written with a dot import

// Problem is one fault in the settings.
var Problem = Type("Problem", func() {
	Attribute("file", String, "Name of the file")
	Attribute("line", Int, "Line, 0 if the problem has none")
	Attribute("key", String, "Section and key")
	Attribute("message", String, "What is wrong")
	Required("file", "line", "key", "message")
})

// InvalidSettings lists all faults of refused settings.
var InvalidSettings = Type("InvalidSettings", func() {
	Description("The settings are not valid and were not applied.")
	errorFields()
	Attribute("problems", ArrayOf(Problem), "Every problem of the settings")
	Required("name", "message", "problems")
})

// Conflict names the two versions that differ.
var Conflict = Type("Conflict", func() {
	Description("The settings have another version than the change is based on.")
	errorFields()
	Attribute("base_version", UInt64, "Version that the change is based on")
	Attribute("current_version", UInt64, "Version in the store")
	Required("name", "message", "base_version", "current_version")
})

// StoreUnavailable tells whether the change took effect.
var StoreUnavailable = Type("StoreUnavailable", func() {
	Description("The platform's store did not answer.")
	errorFields()
	Attribute("outcome", String, "Whether the change was applied", func() {
		Enum("not_applied", "unknown")
	})
	Attribute("cause", String, "What failed, may be empty")
	Required("name", "message", "outcome", "cause")
})

// NotFound names what does not exist.
var NotFound = Type("NotFound", func() {
	Description("The settings contain nothing of this name.")
	errorFields()
	Attribute("kind", String, "Kind of the unknown name", func() {
		Enum("data centre", "service", "server")
	})
	Attribute("unknown", String, "Name that is unknown")
	Required("name", "message", "kind", "unknown")
})

func errorFields() {
	ErrorName("name", String, "Name of the error")
	Attribute("message", String, "Text for operators")
}
