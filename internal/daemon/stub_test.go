package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"caperarch/internal/daemon/config"
	"caperarch/internal/lab/testbed"
)

// running is a whole sidecar over loopback.
type running struct {
	url   string
	stop  func()
	ended chan error
}

// start serves with the stubs' addresses as the list of servers, which discovery repeats.
func start(t *testing.T, edit func(file, settings map[string]any), addresses ...string) *running {
	t.Helper()
	list := testbed.Listed(1, "ready", addresses...)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // a watch: nothing changes
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, list)
	}))
	t.Cleanup(d.Close)
	cfg, err := config.Parse([]byte(testbed.ConfigText(t, list, func(file, settings map[string]any) {
		file["discovery"] = d.Listener.Addr().String()
		if edit != nil {
			edit(file, settings)
		}
	})), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &running{url: "http://" + l.Addr().String(), stop: cancel, ended: make(chan error, 1)}
	go func() { s.ended <- Serve(ctx, cfg, l, nil) }()
	t.Cleanup(func() {
		cancel()
		http.DefaultClient.CloseIdleConnections()
	})
	return s
}

// request is a usable request of a class; change edits it before it is sent.
func (s *running) request(t *testing.T, method, path, body string, headers ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "?")
	class, _, _ = strings.Cut(class, "/")
	for name, value := range map[string]string{
		"X-Request-ID": "r1", "X-Priority-Class": class, "X-Tenant-Id": "north", "X-Timeout": "20000m",
	} {
		req.Header.Set(name, value)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
		if headers[i+1] == "" {
			req.Header.Del(headers[i])
		}
	}
	return req
}

// do sends a request on a connection of its own and returns the answer with its body.
func do(t *testing.T, req *http.Request) (*http.Response, string) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testbed.MaxWait}
	res, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(body)
}
