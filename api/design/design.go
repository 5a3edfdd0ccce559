// Package design describes the operators' HTTP interface. The code in gen is
// generated from it with "make generate".
package design

import . "goa.design/goa/v3/dsl" //lint:ignore ST1001 the goa DSL is written with a dot import

var _ = API("jacinthpass", func() {
	Title("jacinthpass operators' interface")
	Description("Settings, state and time line of jacinthpass instances.")
	Server("instance", func() {
		Services("operator")
		Host("local", func() {
			URI("http://127.0.0.1:7400")
		})
	})
})

var _ = Service("operator", func() {
	Description("Interface of one instance for operators. Every instance accepts every call; status and stop concern only the instance that is called.")

	Error("invalid_settings", InvalidSettings, "The settings are not valid and were not applied.")
	Error("conflict", Conflict, "The settings have another version than the change is based on; nothing was applied.")
	Error("store_unavailable", StoreUnavailable, "The platform's store did not answer.")
	Error("not_found", NotFound, "No data centre, service or server has this name.")

	HTTP(func() {
		Path("/v1")
	})

	Method("apply", func() {
		Description("Replaces the settings of all instances.")
		Payload(func() {
			Attribute("text", String, "Settings as INI text")
			Attribute("file", String, "Name that problems are reported under", func() {
				Default("settings")
				MaxLength(1024)
			})
			Attribute("base_version", UInt64, "Version that the change is based on; without it, the change applies to any version", func() {
				Minimum(1)
			})
			Attribute("author", String, "Who makes the change", authorRules)
			Required("text")
		})
		Result(Accepted)
		HTTP(func() {
			POST("/settings")
			Response(StatusOK)
			changeErrors()
		})
	})

	Method("show", func() {
		Description("Returns the settings in force on this instance.")
		Result(Settings)
		HTTP(func() {
			GET("/settings")
			Response(StatusOK)
		})
	})

	Method("explain", func() {
		Description("Returns each resolved value with the level that it comes from.")
		Payload(func() {
			Attribute("server", String, "Only values of backend servers with this name")
		})
		Result(ArrayOf(ResolvedValue))
		HTTP(func() {
			GET("/settings/explain")
			Param("server")
			Response(StatusOK)
			Response("not_found", StatusNotFound)
		})
	})

	Method("set_data_centre", func() {
		Description("Takes a data centre out of service or back in.")
		Payload(func() {
			Attribute("name", String, "Data centre")
			Attribute("state", String, "New state", func() {
				Enum("in", "out")
			})
			Attribute("author", String, "Who makes the change", authorRules)
			Required("name", "state")
		})
		Result(Accepted)
		HTTP(func() {
			PUT("/data_centres/{name}/state")
			Response(StatusOK)
			Response("not_found", StatusNotFound)
			changeErrors()
		})
	})

	Method("set_server", func() {
		Description("Drains a backend server or makes it active again.")
		Payload(func() {
			Attribute("service", String, "Service of the server")
			Attribute("server", String, "Name of the server")
			Attribute("state", String, "New state", func() {
				Enum("active", "draining")
			})
			Attribute("author", String, "Who makes the change", authorRules)
			Required("service", "server", "state")
		})
		Result(Accepted)
		HTTP(func() {
			PUT("/services/{service}/servers/{server}/state")
			Response(StatusOK)
			Response("not_found", StatusNotFound)
			changeErrors()
		})
	})

	Method("status", func() {
		Description("Returns the state of this instance.")
		Result(InstanceStatus)
		HTTP(func() {
			GET("/status")
			Response(StatusOK)
		})
	})

	Method("timeline", func() {
		Description("Returns events of all instances in order of time.")
		Payload(func() {
			Attribute("since", String, "Time of the first event; without it, all events that are still kept", func() {
				Format(FormatDateTime)
			})
			Attribute("limit", Int, "Largest number of events; the newest are returned", func() {
				Default(10000)
				Minimum(1)
				Maximum(100000)
			})
		})
		Result(EventList)
		HTTP(func() {
			GET("/timeline")
			Param("since")
			Param("limit")
			Response(StatusOK)
		})
	})

	Method("stop", func() {
		Description("Starts a planned stop of this instance. The answer does not wait for its end.")
		HTTP(func() {
			POST("/stop")
			Response(StatusAccepted)
		})
	})
})

func authorRules() {
	Default("")
	MaxLength(256)
}

func changeErrors() {
	Response("invalid_settings", StatusBadRequest)
	Response("conflict", StatusConflict)
	Response("store_unavailable", StatusServiceUnavailable)
}
