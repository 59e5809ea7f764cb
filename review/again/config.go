package main

// host is the host of all routes.
const host = "pule25.example"

// route returns a route as the operator publishes it.
func route(name, kind, service string, aim, timeout, gap, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "routeKind": kind, "service": service, "targetLatencyMs": aim, "timeoutMs": timeout,
		"targetGapMs": gap, "maxAttempts": attempts, "priority": 1, "stickySessions": kind == "streaming",
	}
}

// publishConfig publishes a configuration with these routes, and a model service and a plain
// service.
func (wld *World) publishConfig(version, slots int, routes ...map[string]any) {
	wld.Publish("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "lovage-pool", "maxConnections": 360, "engine": map[string]any{"slots": slots, "kvCapacityTokens": 635275}},
			{"name": "casting-portal", "maxConnections": 100},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants": []map[string]any{{"name": "bozi300", "apiKeys": []string{apiKey}}},
	})
}

const apiKey = "9dnn2ctnfzs989anu6ws"

// stream returns a client's request for a stream; prompt names what it asks, which a client that
// takes its stream up sends again.
func stream(id, prompt, name string, deadlineMs int) Request {
	return Request{ID: id, Host: host, Path: "/" + name + "/2f", Method: "POST", Deadline: millis(deadlineMs), Body: `{"prompt":"` + prompt + `"}`, Fields: map[string]string{
		"Authorization": "Bearer " + apiKey, "X-Lovagestream-Model": "m", "X-Lovagestream-Token-Counts": "715,80", "X-Lovagestream-Prefix-Hash": "5c1e07a2:172," + prompt + ":543",
	}}
}
