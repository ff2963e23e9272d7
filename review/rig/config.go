package rig

import "encoding/json"

// Route is a route of the configuration in the form of the users' pages.
type Route struct {
	Name      string  `json:"name"`
	Host      string  `json:"hostname"`
	Prefix    string  `json:"path_prefix"`
	Type      string  `json:"route_type"`
	TimeoutMs float64 `json:"timeout_ms"`
	TargetMs  float64 `json:"target_latency_ms"`
	Priority  int     `json:"priority"`
	Backend   string  `json:"backend"`
	Attempts  int     `json:"max_attempts"`
}

// Config returns a configuration of one plain service, with the limits of jomd-amman.
func Config(version int, backend string, routes ...Route) []byte {
	type object = map[string]any
	raw, _ := json.Marshal(object{
		"config_version": version, "routes": routes,
		"backends": []object{{"name": backend, "health_check": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return raw
}
