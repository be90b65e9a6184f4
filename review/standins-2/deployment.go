package main

// Paths of the routes.
const (
	turnPath = "/lohu930/4b"
	newPath  = "/vofi541/ye10/4b" // of a route that is added later
)

// Prefixes of routes for turns.
const (
	firstPrefix = "/lohu930/"
	outerPrefix = "/vofi541/"      // of a route that doesn't retain conversations
	newPrefix   = "/vofi541/ye10/" // of a route that is added later
)

// Services of the deployments.
const (
	engines = "agent-llm"
	tools   = "refund-app"
)

// tokensPerEvent is the number of tokens that count for one event.
const tokensPerEvent = 12

// writeConfig writes the operator's configuration: a route for turns, which retains
// conversations or doesn't, and one for tools.
func writeConfig(s *store, retain bool) {
	writeConfigWith(s, 7, turnRoute("kiosk-chat", firstPrefix, retain))
}

// turnRoute returns a route for turns.
func turnRoute(name, prefix string, retain bool) map[string]any {
	route := map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": "streaming", "service": engines, "timeout_ms": 3000,
		"target_latency_ms": 250, "gap_target_ms": 200, "max_attempts": 2, "priority": 1, "sticky": true, "resumable": false, "retain": retain,
	}
	if retain {
		route["retention_s"] = 60
	}
	return route
}

// writeConfigWith writes a version of the configuration with routes for turns.
func writeConfigWith(s *store, version int, turns ...map[string]any) {
	routes := []any{map[string]any{
		"name": "status-check", "host": host, "prefix": "/pule252/", "kind": "idempotent", "service": tools, "timeout_ms": 3000,
		"target_latency_ms": 1500, "max_attempts": 2, "priority": 2, "sticky": false, "resumable": false,
	}}
	for _, route := range turns {
		routes = append(routes, route)
	}
	s.put("op", "config", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": engines, "health_path": "/health", "max_conns": 440, "engine": map[string]any{
				"slots": 24, "kv_capacity": 200000, "tokens_per_event": tokensPerEvent, "token_kv_bytes": 163840,
			}},
			map[string]any{"name": tools, "health_path": "/health", "max_conns": 410},
		},
		"limits": map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
}

// startRunners starts a runner of each service in each zone.
func startRunners(c *setup, zones []string) {
	for _, zone := range zones {
		c.engines = append(c.engines, startRunner(c.store, c.record, "i-llm-"+zone, engines, zone, 24))
		startRunner(c.store, c.record, "i-app-"+zone, tools, zone, 24)
	}
}

// smallBounds are those of the small deployments, grownBounds those of the grown ones.
var (
	smallBounds = map[string]any{
		"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
		"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "stretch_max_ms": 5000, "recovery_s": 12, "pass_ms": 120,
		"retry_after_s": 0, "finish_s": 10, "settle_ms": 1000,
	}
	grownBounds = map[string]any{
		"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 6000, "catch_up_s": 6, "drain_ms": 3000, "grace_s": 8,
		"loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "stretch_max_ms": 6000, "recovery_s": 15, "pass_ms": 200,
		"retry_after_s": 0, "finish_s": 10, "settle_ms": 1000,
	}
)
