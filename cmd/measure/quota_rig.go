package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/headers"
	"caperarch/internal/mesh/settings"
)

const (
	quotaTenant, quotaKey = "watched", "key-watched-kcuyj8pjbvk9m68k"
	// quotaSentField is the header field with the time at which the client sent the request, in Unix nanoseconds.
	quotaSentField = "X-Measure-Sent"
	// quotaCallTimeout limits the duration of a client's call.
	quotaCallTimeout = time.Second
	quotaRoute       = `{"resourceType":"routes","metadata":{"name":"watched"},` +
		`"specification":{"hostname":"quota.example","pathPrefix":"/","routeType":"idempotent","timeoutS":1,` +
		`"targetLatencyS":0.25,"serviceName":"service00","maxAttempts":2,"public":false}}`
)

// quotaRig is a small deployment of processes. The upstreams and clients run in the measuring process and count
// requests.
type quotaRig struct {
	cleanups cleanups
	core     *meshCore
	sidecars []*process
	ports    [][]string // addresses of each sidecar: inbound, outbound, readiness, upstream
	ledger   requestLedger
	sent     atomic.Int64
	rate     int // the tenant's limit
}

// requestLedger records the tenant's requests that upstreams received.
type requestLedger struct {
	mu  sync.Mutex
	ran []ranRequest
}

// ranRequest holds the times at which a client sent a request and at which an upstream received it.
type ranRequest struct{ sent, arrived time.Time }

func (l *requestLedger) record(sent, arrived time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran = append(l.ran, ranRequest{sent, arrived})
}

// count returns the number of requests sent at or after a time that ran, and the largest number of them that were both
// sent and received within one window.
func (l *requestLedger) count(from time.Time, window time.Duration) (ran, maxInWindow int) {
	l.mu.Lock()
	later := slices.DeleteFunc(slices.Clone(l.ran), func(r ranRequest) bool { return r.sent.Before(from) })
	l.mu.Unlock()
	slices.SortFunc(later, func(a, b ranRequest) int { return a.sent.Compare(b.sent) })
	for i, first := range later {
		end, held := first.sent.Add(window), 0
		for _, r := range later[i:] {
			if r.sent.After(end) {
				break
			}
			if !r.arrived.After(end) {
				held++
			}
		}
		maxInWindow = max(maxInWindow, held)
	}
	return len(later), maxInWindow
}

// startQuotaRig starts core, upstreams, sidecars and clients, and returns once more than quotaRate requests have run.
func startQuotaRig(c cleanups, binary string) (*quotaRig, error) {
	core, err := startMeshCoreIn(c, binary, meshPrefix, quotaCore)
	if err != nil {
		return nil, err
	}
	core.processors = quotaProcessors
	r := &quotaRig{cleanups: c, core: core, rate: quotaRate}
	resources := append(meshResources(5), json.RawMessage(quotaRoute), quotaTenantResource(quotaRate))
	if _, _, _, err := core.replace(resources); err != nil {
		return nil, err
	}
	for number := range quotaSidecars {
		ports, err := freePorts(r.host(number), 4)
		if err != nil {
			return nil, err
		}
		r.ports, r.sidecars = append(r.ports, ports), append(r.sidecars, nil)
		if err := r.startUpstream(number); err != nil {
			return nil, err
		}
		if err := r.startSidecar(number); err != nil {
			return nil, err
		}
	}
	for number := range quotaSidecars {
		go r.callContinuously(number)
	}
	for end := time.Now().Add(meshStartTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ran, _ := r.ledger.count(time.Time{}, 0); ran > quotaRate {
			return r, nil
		}
	}
	return nil, fmt.Errorf("too few requests reached the upstreams within %v", meshStartTimeout)
}

func (r *quotaRig) host(number int) string { return meshPrefix + strconv.Itoa(101+number) }

// startSidecar starts a sidecar's process, always at the same addresses.
func (r *quotaRig) startSidecar(number int) error {
	ports := r.ports[number]
	p, err := r.core.start(r.cleanups, "sidecar", r.host(number), meshZones[number%len(meshZones)],
		map[string]any{"machineClass": settings.Sidecar, "appAddress": ports[3], "serviceName": "service00"},
		map[string]any{"inbound": ports[0], "outbound": ports[1], "readiness": ports[2]})
	if err != nil {
		return err
	}
	p.discardOutput()
	r.sidecars[number] = p
	return nil
}

// startUpstream starts the upstream of a sidecar, which records the tenant's requests.
func (r *quotaRig) startUpstream(number int) error {
	listener, err := net.Listen("tcp", r.ports[number][3])
	if err != nil {
		return err
	}
	instance := "i-" + strconv.Itoa(number)
	serve := func(w http.ResponseWriter, request *http.Request) {
		arrived := time.Now()
		answerAsUpstream(w, request, instance)
		if request.Header.Get(headers.Tenant) != quotaTenant {
			return
		}
		if ns, err := strconv.ParseInt(request.Header.Get(quotaSentField), 10, 64); err == nil {
			r.ledger.record(time.Unix(0, ns), arrived)
		}
	}
	server := &http.Server{Handler: http.HandlerFunc(serve)}
	r.cleanups.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

// callContinuously sends the tenant's requests to a sidecar at random times, until the program terminates.
func (r *quotaRig) callContinuously(number int) {
	client := http.Client{
		Timeout:   quotaCallTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 32, MaxConnsPerHost: 64, DisableCompression: true},
	}
	rate := float64(quotaRate*quotaSurge) / quotaSidecars
	for n := 0; !terminating.Load(); n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		go r.call(&client, number, n)
	}
}

// call sends one request. Its response is ignored, as the upstreams record the requests that run.
func (r *quotaRig) call(client *http.Client, number, n int) {
	request, err := http.NewRequest(http.MethodGet, "http://"+r.ports[number][1]+"/x", nil)
	if err != nil {
		panic(err) // the URL is valid: this process has listened at its address
	}
	request.Host = "quota.example"
	request.Header[headers.AttemptID] = []string{fmt.Sprintf("%d-%d", number, n)}
	request.Header[headers.APIKey] = []string{quotaKey}
	request.Header[quotaSentField] = []string{strconv.FormatInt(time.Now().UnixNano(), 10)}
	r.sent.Add(1)
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
}
