package sidecar

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"caperarch/policy"
)

func TestParseListing(t *testing.T) {
	l, err := parseListing([]byte(`{"generation":41,"reset":false,"further":1,"instances":[
		{"instanceId":"s-1","hostPort":"127.0.0.1:80","zone":"b","machineType":"m2","cell":3,"lifecycle":"ready","weight":1.5,"startedAtMs":1500.5},
		{"instanceId":"s-2","hostPort":"127.0.0.1:81","zone":"unheard of","lifecycle":"draining"},
		{"instanceId":"s-3","hostPort":"127.0.0.1:82","lifecycle":"pausing"},
		{"instanceId":"s-4","lifecycle":"gone"}]}`), map[string]int{"a": 0, "b": 1})
	if err != nil {
		t.Fatal(err)
	}
	want := []policy.Server{
		{ID: serverID("s-1"), Zone: 1, Cell: 3, State: policy.Ready, Weight: 1.5, Started: 1500500 * time.Microsecond},
		{ID: serverID("s-2"), Zone: -1, State: policy.Draining},
		{ID: serverID("s-3"), Zone: -1, State: policy.Draining},
		{ID: serverID("s-4"), Zone: -1, State: policy.Gone},
	}
	if l.version != 41 || l.whole || len(l.servers) != len(want) || l.address[want[1].ID] != "127.0.0.1:81" {
		t.Fatalf("list %+v", l)
	}
	for i := range want {
		if l.servers[i] != want[i] {
			t.Errorf("server %+v, want %+v", l.servers[i], want[i])
		}
	}
	for _, bad := range []string{
		"", "{", "[]", `{"instances":[]}`, `{"generation":"x"}`,
		`{"generation":1,"instances":[{"hostPort":"127.0.0.1:80","lifecycle":"ready"}]}`,
		`{"generation":1,"instances":[{"instanceId":"s","hostPort":"nowhere","lifecycle":"ready"}]}`,
		`{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:80","weight":"heavy"}]}`,
		`{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:80","startedAtMs":1e300}]}`,
	} {
		if _, err := parseListing([]byte(bad), nil); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

// The whole list, then a watch from its version on; a malformed answer or a failure is passed
// over, and after a pause it begins again with the whole list.
func TestDiscoveryIsFollowed(t *testing.T) {
	queries := make(chan string, 100)
	answers := make(chan func(http.ResponseWriter), 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		select {
		case answer := <-answers:
			answer(w)
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	say := func(body string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { _, _ = io.WriteString(w, body) }
	}
	cfg := testConfig(t, listed(0, "ready"), func(file, _ map[string]any) {
		file["discovery"] = server.Listener.Addr().String()
	})
	heard, failed := make(chan listing, 100), make(chan struct{}, 100)
	d := newDiscovery(cfg, func(l listing) { heard <- l }, func() { failed <- struct{}{} })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.run(ctx); close(ended) }()

	step := func(query string, answer func(http.ResponseWriter)) {
		t.Helper()
		answers <- answer
		if got := wait(t, "a call", queries); got != query {
			t.Fatalf("query %q, want %q", got, query)
		}
	}
	news := func(version int64, whole bool) {
		t.Helper()
		if l := wait(t, "a list", heard); l.version != version || l.whole != whole {
			t.Fatalf("version %d, whole %v, want %d, %v", l.version, l.whole, version, whole)
		}
	}
	step("", say(listed(41, "ready", "127.0.0.1:80")))
	news(41, true)
	step("index=41&wait=20000", say(`{"generation":43,"reset":false,"instances":[]}`))
	news(43, false)
	step("index=43&wait=20000", say(`{"generation":44,"instances":[{"instanceId":""}]}`))
	wait(t, "the failure", failed)
	step("", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) })
	wait(t, "the failure", failed)
	step("", say(listed(45, "ready", "127.0.0.1:80")))
	news(45, true)
	if len(heard)+len(failed) > 0 {
		t.Errorf("%d more lists, %d more failures", len(heard), len(failed))
	}
	cancel()
	wait(t, "the end", ended)
}

// Where the list must be asked for, nothing is called before the module asks.
func TestDiscoveryIsAsked(t *testing.T) {
	calls := make(chan struct{}, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	cfg := testConfig(t, listed(0, "ready"), func(file, settings map[string]any) {
		file["discovery"] = server.Listener.Addr().String()
		settings["discovery"] = "ask"
	})
	failed := make(chan struct{}, 100)
	d := newDiscovery(cfg, func(listing) {}, func() { failed <- struct{}{} })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.run(ctx)
	for range 2 {
		if len(calls) > 0 {
			t.Fatal("called unasked")
		}
		d.ask()
		wait(t, "the failure", failed)
		wait(t, "the call", calls)
	}
}

// A new configuration names another discovery: its list is taken whole, the watch at the old one ends.
// A file that can't be used changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	calls, left := make(chan string, 100), make(chan struct{}, 100)
	serve := func(generation int) string {
		d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls <- fmt.Sprintf("%d %s", generation, r.URL.RawQuery)
			if r.URL.RawQuery != "" {
				<-r.Context().Done()
				left <- struct{}{}
				return
			}
			_, _ = io.WriteString(w, listed(generation, "ready", "127.0.0.1:81"))
		}))
		t.Cleanup(d.Close)
		return d.Listener.Addr().String()
	}
	before, after := serve(50), serve(3)
	cfg := testConfig(t, listed(1, "ready"), func(file, _ map[string]any) { file["discovery"] = before })
	heard := make(chan listing, 100)
	d := newDiscovery(cfg, func(l listing) { heard <- l }, func() { t.Error("failed") })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.run(ctx)
	expect := func(want string) {
		t.Helper()
		if got := wait(t, want, calls); got != want {
			t.Errorf("called %q, want %q", got, want)
		}
	}
	expect("50 ")
	expect("50 index=50&wait=20000")
	path := filepath.Join(t.TempDir(), "config.json")
	for _, text := range []string{"{", testConfigText(t, listed(1, "ready"), func(file, _ map[string]any) { file["discovery"] = after })} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		d.reload(path)
		d.reload(path)
	}
	wait(t, "the old watch to end", left)
	expect("3 ")
	expect("3 index=3&wait=20000")
	for _, version := range []int64{50, 3} {
		if l := wait(t, "a list", heard); !l.whole || l.version != version {
			t.Errorf("version %d, whole %v, want %d as a whole", l.version, l.whole, version)
		}
	}
}

// A new server at the address of one that has gone is another: it inherits no connection.
func TestNewServerAtAnOldAddress(t *testing.T) {
	s := newStub(t, echo)
	l := idleLoop(t, s.address)
	l.upstream.settle = 0
	old := l.hosts[serverID("s-0")]
	attempt(t, l.upstream, old, "1", generous)
	l.take(listing{servers: []policy.Server{{ID: 7, State: policy.Ready}}, address: map[policy.ServerID]string{7: s.address}}, policy.ListDelta)
	attempt(t, l.upstream, l.hosts[7], "2", generous)
	if first, second := wait(t, "1", s.seen), wait(t, "2", s.seen); first.conn == second.conn {
		t.Error("the new server's request went over the old one's connection")
	}
}

// A server that moves is reached where it is now, one that left is not reached at all, and a list
// of changes leaves the others alone.
func TestListMovesServers(t *testing.T) {
	l := idleLoop(t, "127.0.0.1:81")
	id := serverID("s-0")
	moved, err := parseListing([]byte(`{"generation":2,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:82","lifecycle":"ready"}]}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	l.take(moved, policy.ListDelta)
	if l.hosts[id].address != "127.0.0.1:82" {
		t.Errorf("address %q after the move", l.hosts[id].address)
	}
	l.take(listing{}, policy.ListDelta)
	if len(l.hosts) != 1 {
		t.Errorf("addresses %v after no change", l.hosts)
	}
	l.take(listing{servers: []policy.Server{{ID: id, State: policy.Gone}}}, policy.ListDelta)
	if len(l.hosts) != 0 {
		t.Errorf("addresses %v, the server is gone", l.hosts)
	}
	l.take(moved, policy.ListDelta)
	l.take(listing{whole: true}, policy.ListFull)
	if len(l.hosts) != 0 {
		t.Errorf("addresses %v after a whole list of none", l.hosts)
	}
}
