package main

import (
	"encoding/json"
	"fmt"
)

// meshRoute returns route i, which has two weighted target services.
func meshRoute(i, priority int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":"route-%04d"},`+
		`"specification":{"hostname":"host%03d.example","pathPrefix":"/part%04d/",`+
		`"routeType":"non_idempotent","timeoutS":2,"targetLatencyS":0.25,"priority":%d,`+
		`"weightedTargets":[{"serviceName":"service%02d","weight":90},{"serviceName":"service%02d","weight":10}],`+
		`"maxAttempts":2,"public":true}}`,
		i, i%200, i, priority, i%meshServices, (i+1)%meshServices))
}

// meshServices and meshTenants are the numbers of services and tenants in every measured configuration.
const (
	meshServices = 65
	meshTenants  = 10
)

// meshTenantNames returns the names of all tenants.
func meshTenantNames() (names []string) {
	for i := range meshTenants {
		names = append(names, fmt.Sprintf("tenant%02d", i))
	}
	return names
}

// meshResources returns a configuration with the given number of routes.
func meshResources(routes int) (all []json.RawMessage) {
	for i := range meshServices {
		all = append(all, json.RawMessage(fmt.Sprintf(`{"resourceType":"services","metadata":{"name":"service%02d"},`+
			`"specification":{"healthCheckPath":"/health","maxConnections":130,"protocol":"h1","tlsEnabled":false}}`,
			i)))
	}
	for i, name := range meshTenantNames() {
		all = append(all, json.RawMessage(fmt.Sprintf(`{"resourceType":"tenants","metadata":{"name":"%s"},`+
			`"specification":{"apiKeys":["key-%02d-kcuyj8pjbvk9m68k"],"priority":1,"ratePerS":3000,"burstLimit":3000}}`,
			name, i)))
	}
	for i := range routes {
		all = append(all, meshRoute(i, 1))
	}
	return all
}
