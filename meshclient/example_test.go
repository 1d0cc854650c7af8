package meshclient_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"caperarch/meshclient"
)

// startCoreMachine starts a test server that simulates a core machine with configuration version 5 in force. A real
// program uses the addresses of the control plane instead.
func startCoreMachine() *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/configuration/describe", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"configVersion":5,"baseVersion":0,"resources":[
			{"resourceType":"services","metadata":{"name":"tea"},"specification":{}}]}`)
	})
	mux.HandleFunc("POST /api/configuration/update", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"configVersion":6}`)
	})
	mux.HandleFunc("POST /api/configuration/replace", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Mesh-Fault", "Stale")
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprint(w, `{"errorMessage":"another version is in place"}`)
	})
	mux.Handle("POST /api/instances/{id}/{what}", new(instanceLog))
	return httptest.NewServer(mux)
}

// instanceLog prints the first heartbeat of an instance with the state draining, its deregistration, and each
// heartbeat after the deregistration, which would be an error. It does not print further heartbeats with the state
// draining: if the test process is stopped for one second, Run sends another one before Drain deregisters the
// instance. When every such heartbeat was printed, ExampleHeartbeats failed in 12 of 12 runs in which the process was
// stopped in this way, in some of them because of a heartbeat that was received after the deregistration.
type instanceLog struct {
	mu              sync.Mutex
	draining, ended bool
}

func (l *instanceLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch id := r.PathValue("id"); {
	case r.PathValue("what") == "deregister":
		l.ended = true
		fmt.Println(id, "has ended")
	case l.ended:
		fmt.Println(id, "sends a heartbeat after its end")
	case !l.draining && strings.Contains(string(body), "draining"):
		l.draining = true
		fmt.Println(id, "is draining")
	}
	fmt.Fprint(w, `{}`)
}

// A route is added to the configuration in force. If another operator changes the configuration in the meantime,
// Change retries.
func ExampleClient_Change() {
	core := startCoreMachine()
	defer core.Close()
	client := &meshclient.Client{Addresses: []string{core.Listener.Addr().String()}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	version, err := client.Change(ctx, func(doc meshclient.Document) (meshclient.Change, error) {
		if _, ok := doc.Find(meshclient.Services, "tea"); !ok {
			return meshclient.Change{}, errors.New("service tea does not exist")
		}
		route, err := meshclient.NewResource(meshclient.Routes, "afternoon", map[string]any{
			"hostname": "tea.example", "pathPrefix": "/cup/", "routeType": "idempotent", "timeoutS": 1, "serviceName": "tea",
		})
		if err != nil {
			return meshclient.Change{}, err
		}
		return meshclient.Change{Upsert: meshclient.Upsert{Resources: []meshclient.Resource{route}}}, nil
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("version", version, "is in force")
	// Output: version 6 is in force
}

// errors.Is compares the kind of an error, and errors.As gives access to the other details.
func ExampleClient_Replace() {
	core := startCoreMachine()
	defer core.Close()
	client := &meshclient.Client{Addresses: []string{core.Listener.Addr().String()}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	_, err := client.Replace(ctx, meshclient.Document{ConfigVersion: 4, BaseVersion: 3})
	var callError *meshclient.Error
	switch {
	case errors.Is(err, meshclient.Undetermined):
		fmt.Println("the change may be in force: send it again unchanged")
	case errors.As(err, &callError):
		fmt.Println(callError.Kind, callError.Status, callError.Message)
	}
	// Output: stale 412 another version is in place
}

// An upstream sends heartbeats while it runs, and drains before it shuts down.
func ExampleHeartbeats() {
	core := startCoreMachine()
	defer core.Close()
	heartbeats := &meshclient.Heartbeats{
		Client:       &meshclient.Client{Addresses: []string{core.Listener.Addr().String()}},
		Instance:     meshclient.Instance{ID: "i-7f3a", Service: "tea", Address: "10.0.0.9:8080", Zone: "hall-a", Slots: 8},
		Interval:     time.Second,
		DrainTimeout: 10 * time.Millisecond, // a real upstream needs several seconds
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	runResult := make(chan error, 1)
	go func() { runResult <- heartbeats.Run(ctx) }()

	if err := heartbeats.Drain(ctx); err != nil {
		fmt.Println(err)
	}
	fmt.Println(<-runResult)
	// Output:
	// i-7f3a is draining
	// i-7f3a has ended
	// <nil>
}
