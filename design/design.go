// Package design describes the HTTP API of ibisstall in the DSL of goa, which
// generates the packages under gen from it.
package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 the design language is meant to be imported this way
)

var _ = API("ibisstall", func() {
	Title("ibisstall")
	Description("Scheduler for agent programs.")
	Version("1")
	Server("ibisstall", func() {
		Host("local", func() { URI("http://localhost:8080") })
	})
})

// errorDetail describes an error in the body of every error response.
var errorDetail = Type("ErrorDetail", func() {
	Meta("struct:pkg:path", "types")
	Attribute("type", String, "Kind of error, see docs/API.md", func() { Example("not_run") })
	Attribute("message", String, "What happened, in a sentence")
	Attribute("param", String, "The parameter, header or field that is wrong")
	Attribute("row", String, "The row of the table of weights and limits concerned")
	Required("type", "message")
})

// failure is the error type of all methods.
var failure = Type("Failure", func() {
	Meta("struct:pkg:path", "types")
	ErrorName("name", String, "Name of the error")
	Attribute("error", errorDetail, func() { Meta("struct:field:name", "Detail") })
	Attribute("retry_after", Int, "Seconds after which a repeat makes sense")
	Required("name", "error")
})

// errorStatuses lists the error names with their HTTP statuses and descriptions.
var errorStatuses = []struct {
	name        string
	status      int
	description string
}{
	{"bad_request", StatusBadRequest, "The request is malformed"},
	{"unauthorized", StatusUnauthorized, "The key is missing or not accepted"},
	{"forbidden", StatusForbidden, "The key may not do this"},
	{"not_found", StatusNotFound, "There is no such thing in the workspace"},
	{"timeout", StatusRequestTimeout, "The request body came too slowly"},
	{"conflict", StatusConflict, "The call is out of order, or the program has ended"},
	{"stale", StatusPreconditionFailed, "The table changed since it was read"},
	{"too_large", StatusRequestEntityTooLarge, "The request exceeds a limit"},
	{"unprocessable", StatusUnprocessableEntity, "The idempotency key was used with another body"},
	{"budget_exhausted", StatusPaymentRequired, "The program's budget does not allow the call; it was not run"},
	{"overloaded", StatusTooManyRequests, "Refused early; the call was not run"},
	{"failed", StatusBadGateway, "The call ran and failed"},
	{"not_run", StatusServiceUnavailable, "The call was not run and may be repeated"},
	{"outcome_unknown", StatusGatewayTimeout, "The call may have run and will not be run again"},
	{"internal", StatusInternalServerError, "An error of the system itself"},
}

// failures declares all errors for a service.
func failures() {
	for _, e := range errorStatuses {
		Error(e.name, failure, e.description)
	}
}

// failureResponses maps the errors of a service to HTTP responses.
func failureResponses() {
	for _, e := range errorStatuses {
		Response(e.name, e.status, func() {
			Header("name:Ibisstall-Error")
			Header("retry_after:Retry-After")
		})
	}
}

func authorization() {
	Attribute("authorization", String, "Bearer and the key")
}

var budget = Type("Budget", func() {
	Meta("struct:pkg:path", "types")
	Attribute("tokens", Int64, "Generated tokens", func() { Minimum(1) })
	Attribute("turns", Int64, "Calls of any kind", func() { Minimum(1) })
	Attribute("seconds", Int64, "Wall-clock seconds from creation", func() { Minimum(1) })
	Required("tokens", "turns", "seconds")
})

var used = Type("Used", func() {
	Meta("struct:pkg:path", "types")
	Attribute("tokens", Int64, "Generated tokens")
	Attribute("turns", Int64, "Calls of any kind")
	Required("tokens", "turns")
})

var program = Type("Program", func() {
	Meta("struct:pkg:path", "types")
	Attribute("id", String)
	Attribute("workspace", String)
	Attribute("parent", String)
	Attribute("state", String, func() { Enum("active", "cancelled", "expired", "finished") })
	Attribute("created", String, "Time of creation", func() { Format(FormatDateTime) })
	Attribute("budget", budget, "Budget of the whole family")
	Attribute("used", used, "Use by the whole family")
	Attribute("turns", UInt64, "Durable turns of this program")
	Attribute("owner", String, "VM that owns the family")
	Attribute("epoch", UInt64, "Ownership epoch of the family")
	Required("id", "workspace", "state", "created", "turns")
})

var turn = Type("Turn", func() {
	Meta("struct:pkg:path", "types")
	Attribute("number", UInt64, "Number of the turn, from 1")
	Attribute("request_id", String)
	Attribute("kind", String, func() { Enum("model", "tool", "service") })
	Attribute("target", String, "Model, tool or service")
	Attribute("at", String, func() { Format(FormatDateTime) })
	Attribute("outcome", String, func() { Enum("done", "failed", "unknown") })
	Attribute("messages", ArrayOf(Any), "New messages of a model call, the answer last")
	Attribute("request", String, "Body of a tool or service call")
	Attribute("status", Int, "Status of a tool or service answer")
	Attribute("answer", String, "Body of a tool or service answer")
	Attribute("tokens", Int64, "Generated tokens")
	Required("number", "request_id", "kind", "target", "at", "outcome", "tokens")
})

var _ = Service("programs", func() {
	Description("Programs and their histories.")
	failures()
	HTTP(func() {
		Path("/v1/programs")
		failureResponses()
	})
	Method("create", func() {
		Payload(func() {
			authorization()
			Attribute("parent", String, "Program that the new one is a sub-agent of")
			Attribute("budget", budget, "Needed unless parent is given")
			Attribute("idempotency_key", String)
		})
		Result(program)
		HTTP(func() {
			POST("")
			Header("authorization:Authorization")
			Header("idempotency_key:Idempotency-Key")
			Response(StatusCreated)
		})
	})
	Method("list", func() {
		Description("Lists programs of the workspace, or of all for an operator.")
		Payload(func() {
			authorization()
			Attribute("after", String, "Id after which to start")
			Attribute("limit", Int, func() {
				Minimum(1)
				Maximum(1000)
				Default(100)
			})
		})
		Result(ArrayOf(program))
		HTTP(func() {
			GET("")
			Header("authorization:Authorization")
			Param("after")
			Param("limit")
		})
	})
	Method("show", func() {
		Payload(func() {
			authorization()
			Attribute("id", String)
			Required("id")
		})
		Result(program)
		HTTP(func() {
			GET("/{id}")
			Header("authorization:Authorization")
		})
	})
	Method("cancel", func() {
		Payload(func() {
			authorization()
			Attribute("id", String)
			Required("id")
		})
		Result(program)
		HTTP(func() {
			DELETE("/{id}")
			Header("authorization:Authorization")
		})
	})
	Method("history", func() {
		Payload(func() {
			authorization()
			Attribute("id", String)
			Attribute("from", UInt64, "First turn wanted", func() { Default(1) })
			Required("id")
		})
		Result(ArrayOf(turn))
		HTTP(func() {
			GET("/{id}/history")
			Header("authorization:Authorization")
			Param("from")
		})
	})
})

// callHeaders declares the request headers of every call of a program.
func callHeaders() {
	Header("authorization:Authorization")
	Header("idempotency_key:Idempotency-Key")
	Header("after:Ibisstall-After")
	Header("no_repeat:Ibisstall-No-Repeat")
	Header("content_type:Content-Type")
}

// callPayload declares the attributes that the payloads of all calls share.
func callPayload() {
	authorization()
	Attribute("id", String, "Program")
	Attribute("idempotency_key", String, "Names the request; a repeat gets the same answer")
	Attribute("after", UInt64, "Number of the turn that this call follows")
	Attribute("no_repeat", Boolean, "True if the call must not be sent twice")
	Attribute("content_type", String)
	Required("id")
}

var answer = Type("Answer", func() {
	Attribute("content_type", String)
	Attribute("status", String, "Status of a tool or service answer")
	Attribute("request_id", String)
	Attribute("turn", String, "Number of the turn")
	Attribute("history", String, "durable or buffered")
	Required("content_type", "request_id")
})

// answerHeaders declares the headers of the response to a successful call.
func answerHeaders() {
	Response(StatusOK, func() {
		Header("content_type:Content-Type")
		Header("status:Ibisstall-Status")
		Header("request_id:X-Request-Id")
		Header("turn:Ibisstall-Turn")
		Header("history:Ibisstall-History")
	})
}

var _ = Service("calls", func() {
	Description("Calls of a program to models, tools and plain services.")
	failures()
	HTTP(func() {
		Path("/v1/programs/{id}")
		failureResponses()
	})
	Method("chat", func() {
		Description("Model call with the chat-completions body; streams if the body asks for it.")
		Payload(callPayload)
		Result(answer)
		HTTP(func() {
			POST("/chat/completions")
			callHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			answerHeaders()
		})
	})
	Method("call_tool", func() {
		Payload(func() {
			callPayload()
			Attribute("tool", String)
			Required("tool")
		})
		Result(answer)
		HTTP(func() {
			POST("/tools/{tool}")
			callHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			answerHeaders()
		})
	})
	Method("call_service", func() {
		Payload(func() {
			callPayload()
			Attribute("service", String)
			Attribute("path", String)
			Required("service", "path")
		})
		Result(answer)
		HTTP(func() {
			POST("/services/{service}/{*path}")
			callHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			answerHeaders()
		})
	})
})

var row = Type("Row", func() {
	Meta("struct:pkg:path", "types")
	Attribute("kind", String)
	Attribute("name", String)
	Attribute("weight", Float64)
	Attribute("rate_per_second", Float64)
	Attribute("max_concurrent", Int)
	Attribute("max_queue", Int)
	Attribute("timeout", String, "Duration with a unit")
	Attribute("repeatable", Boolean)
	Attribute("drain", Boolean)
	Attribute("key_hashes", ArrayOf(String))
	Required("kind", "name")
})

var configTable = Type("Table", func() {
	Meta("struct:pkg:path", "types")
	Attribute("version", UInt64)
	Attribute("author", String)
	Attribute("at", String, func() { Format(FormatDateTime) })
	Attribute("rows", ArrayOf(row))
	Attribute("etag", String)
	Required("version", "rows", "etag")
})

// tableResponse declares a response with the etag attribute in the ETag header.
func tableResponse() {
	Response(StatusOK, func() { Header("etag:ETag") })
}

var _ = Service("table", func() {
	Description("The table of weights and limits.")
	failures()
	HTTP(func() {
		Path("/v1/table")
		failureResponses()
	})
	Method("get", func() {
		Payload(func() { authorization() })
		Result(configTable)
		HTTP(func() {
			GET("")
			Header("authorization:Authorization")
			tableResponse()
		})
	})
	Method("put", func() {
		Payload(func() {
			authorization()
			Attribute("if_match", String, "Version that the edit is based on")
			Attribute("edit_id", String, "Names the edit; a repeat gets the same answer")
			Attribute("author", String)
			Attribute("rows", ArrayOf(row))
			Required("rows")
		})
		Result(configTable)
		HTTP(func() {
			PUT("")
			Header("authorization:Authorization")
			Header("if_match:If-Match")
			Header("edit_id:Idempotency-Key")
			tableResponse()
		})
	})
	Method("history", func() {
		Payload(func() { authorization() })
		Result(ArrayOf(configTable))
		HTTP(func() {
			GET("/history")
			Header("authorization:Authorization")
		})
	})
	Method("revert", func() {
		Payload(func() {
			authorization()
			Attribute("version", UInt64, "Version whose rows to put in force again")
			Attribute("author", String)
			Attribute("if_match", String, "Version that the edit is based on")
			Attribute("edit_id", String, "Names the edit; a repeat gets the same answer")
			Required("version")
		})
		Result(configTable)
		HTTP(func() {
			POST("/revert")
			Header("authorization:Authorization")
			Header("if_match:If-Match")
			Header("edit_id:Idempotency-Key")
			tableResponse()
		})
	})
})

var vm = Type("VM", func() {
	Meta("struct:pkg:path", "types")
	Attribute("id", String)
	Attribute("dc", String)
	Attribute("region", String)
	Attribute("state", String)
	Attribute("mesh_addr", String)
	Attribute("incarnation", UInt64)
	Attribute("config_version", UInt64)
	Attribute("platform_reachable", Boolean)
	Required("id", "dc", "state", "mesh_addr", "config_version", "platform_reachable")
})

var event = Type("Event", func() {
	Meta("struct:pkg:path", "types")
	Attribute("wall", Int64, "Milliseconds since the Unix epoch")
	Attribute("logical", UInt32)
	Attribute("vm", String)
	Attribute("kind", String)
	Attribute("program", String)
	Attribute("request", String)
	Attribute("endpoint", String)
	Attribute("detail", String)
	Required("wall", "logical", "vm", "kind")
})

var _ = Service("fleet", func() {
	Description("The VMs and what happened on them.")
	failures()
	HTTP(func() {
		Path("/v1")
		failureResponses()
	})
	Method("vms", func() {
		Payload(func() { authorization() })
		Result(ArrayOf(vm))
		HTTP(func() {
			GET("/vms")
			Header("authorization:Authorization")
		})
	})
	Method("drain", func() {
		Payload(func() {
			authorization()
			Attribute("id", String)
			Required("id")
		})
		HTTP(func() {
			POST("/vms/{id}/drain")
			Header("authorization:Authorization")
			Response(StatusAccepted)
		})
	})
	Method("timeline", func() {
		Description("Events of all VMs in one causal order.")
		Payload(func() {
			authorization()
			Attribute("program", String)
			Attribute("limit", Int, func() {
				Minimum(1)
				Maximum(100000)
				Default(10000)
			})
		})
		Result(ArrayOf(event))
		HTTP(func() {
			GET("/timeline")
			Header("authorization:Authorization")
			Param("program")
			Param("limit")
		})
	})
})

var _ = Service("health", func() {
	failures()
	HTTP(func() { failureResponses() })
	Method("live", func() {
		HTTP(func() {
			GET("/healthz")
			Response(StatusNoContent)
		})
	})
	Method("ready", func() {
		HTTP(func() {
			GET("/readyz")
			Response(StatusNoContent)
		})
	})
})
