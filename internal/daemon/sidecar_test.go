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

// testSidecar is a complete sidecar that listens on the loopback interface.
type testSidecar struct {
	url   string
	stop  func()
	ended chan error // receives the result of Serve
}

// startSidecar starts a sidecar. Its configuration and its discovery service list servers with the given addresses.
func startSidecar(t *testing.T, edit func(file, settings map[string]any), addresses ...string) *testSidecar {
	t.Helper()
	list := testbed.Listed(1, "ready", addresses...)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // a watch request: the list does not change
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
	s := &testSidecar{url: "http://" + l.Addr().String(), stop: cancel, ended: make(chan error, 1)}
	go func() { s.ended <- Serve(ctx, cfg, l, nil) }()
	t.Cleanup(func() {
		cancel()
		http.DefaultClient.CloseIdleConnections()
	})
	return s
}

// request returns a valid request whose class is the first segment of the path. headers are pairs of names and values
// that replace the default headers; an empty value removes the header.
func (s *testSidecar) request(t *testing.T, method, path, body string, headers ...string) *http.Request {
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

// do sends a request on a new connection and returns the response and its body.
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
