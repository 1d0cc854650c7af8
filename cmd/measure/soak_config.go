package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"caperarch/internal/lab/soak"
	"caperarch/internal/mesh/rpc"
	"caperarch/meshapi"
)

// soakServices are the names of the services. soakMovingHost is the host of the moving route: each configuration
// change switches its target from one service to the other.
var soakServices = []string{"work", "spare"}

const soakMovingHost = "moving"

// soakRoute is a route of the soak test's configuration.
type soakRoute struct {
	host, kind string
	target     string // name of the target service; "": both services, weighted by their numbers of upstreams
}

// soakResources returns the soak test's configuration: the services, a route for idempotent requests, a route for
// non-idempotent requests, and the moving route, whose only target is the service named moved.
func soakResources(latencyTarget float64, moved string) (all []json.RawMessage) {
	for _, service := range soakServices {
		all = append(all, json.RawMessage(fmt.Sprintf(`{"resourceType":"services","metadata":{"name":"%s"},`+
			`"specification":{"healthCheckPath":"/health","maxConnections":130,"protocol":"h1","tlsEnabled":false}}`, service)))
	}
	for _, route := range []soakRoute{
		{host: "read", kind: "idempotent"}, {host: "write", kind: "non_idempotent"},
		{host: soakMovingHost, kind: "idempotent", target: moved},
	} {
		targets := fmt.Sprintf(`"serviceName":"%s"`, route.target)
		if route.target == "" {
			targets = fmt.Sprintf(`"weightedTargets":[{"serviceName":"%s","weight":2},{"serviceName":"%s","weight":1}]`,
				soakServices[0], soakServices[1])
		}
		all = append(all, json.RawMessage(fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":"%s"},`+
			`"specification":{"hostname":"%s.soak.example","pathPrefix":"/","routeType":"%s","timeoutS":%d,`+
			`"targetLatencyS":%g,%s,"maxAttempts":2,"public":true}}`,
			route.host, route.host, route.kind, int(soakTimeout.Seconds()), latencyTarget, targets)))
	}
	return all
}

// soakServiceOf returns the service of the upstream with a number. Every third upstream belongs to the second service.
func soakServiceOf(number int) string {
	if number%3 == 2 {
		return soakServices[1]
	}
	return soakServices[0]
}

// soakDescription is the part of a sidecar's description of its configuration that readConfig uses.
type soakDescription struct {
	ConfigVersion int64 `json:"configVersion"`
}

// readConfig reads the configuration version from randomly chosen sidecars until the rig stops.
func (r *soakRig) readConfig() {
	random := rand.New(rand.NewPCG(r.seed, 0))
	for !r.stopping.Load() {
		time.Sleep(soakReadPause)
		read := soak.Read{Sidecar: random.IntN(len(r.sidecars)), Sent: r.since()}
		address := net.JoinHostPort(r.host(read.Sidecar), strconv.Itoa(r.core.control))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		answer, err := rpc.Get[soakDescription](ctx, r.core.client, "http://"+address+meshapi.DescribePath)
		cancel()
		if err != nil {
			continue // a 5xx status or a timeout guarantees nothing about the version
		}
		read.Answered, read.Version = r.since(), answer.ConfigVersion
		r.mu.Lock()
		r.history.Reads = append(r.history.Reads, read)
		r.mu.Unlock()
	}
}
