package conformance

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"caperarch/internal/lab/testbed"
	"caperarch/plugin"
	"caperarch/plugin/grpcplugin"
)

func TestDaemon(t *testing.T)        { Run(t, daemon{path: build(t)}) }
func TestFirstPool(t *testing.T)     { Run(t, daemon{path: build(t), pool: "first"}) }
func TestSecondPool(t *testing.T)    { Run(t, daemon{path: build(t), pool: "second"}) }
func TestClient(t *testing.T)        { Run(t, client{}) }
func TestClientsFirst(t *testing.T)  { Run(t, pooled{pool: "first"}) }
func TestClientsSecond(t *testing.T) { Run(t, pooled{pool: "second"}) }
func TestRoundTripper(t *testing.T)  { Run(t, roundTripper{}) }
func TestGRPC(t *testing.T)          { Run(t, overGRPC{}) }

// httpNodes is for subjects that send over HTTP/1.1.
type httpNodes struct{}

func (httpNodes) Node(t testbed.TB, id string, l *testbed.ArrivalLog) *testbed.Node {
	return testbed.NewHTTPNode(t, id, l)
}

// build builds the daemon, once.
func build(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "caperarch")
	out, err := exec.Command("go", "build", "-o", path, "caperarch/cmd/caperarch").CombinedOutput()
	if err != nil {
		t.Fatalf("building the daemon: %v\n%s", err, out)
	}
	return path
}

// daemon is the built program as a child process: with one pool, or with two, of which one has the case's calls.
type daemon struct {
	path string
	pool string // by name; "": a daemon of one pool
}

// twoPools are two with the same configuration, by host.
const twoPools = `[pools.first]
config = "config.json"
[pools.second]
config = "config.json"
[[routes]]
host = "first.example.org"
pool = "first"
[[routes]]
host = "second.example.org"
pool = "second"
`

// files are a configuration and one of two pools that have it, in a folder of their own.
func files(t *testing.T, config string) (path, pools string) {
	t.Helper()
	dir := t.TempDir()
	path, pools = filepath.Join(dir, "config.json"), filepath.Join(dir, "pools.toml")
	for name, text := range map[string]string{path: config, pools: twoPools} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return path, pools
}

type daemonClient struct {
	cmd    *exec.Cmd
	url    string
	host   string // "": the url's
	http   http.Client
	ended  chan error
	closed sync.Once
}

func (d daemon) Node(t testbed.TB, id string, l *testbed.ArrivalLog) *testbed.Node {
	return testbed.NewHTTPNode(t, id, l)
}

func (d daemon) Open(t *testing.T, config string) Client {
	t.Helper()
	path, pools := files(t, config)
	c := &daemonClient{cmd: exec.Command(d.path), ended: make(chan error, 1)}
	if d.pool != "" {
		c.host = d.pool + ".example.org"
		c.cmd = exec.Command(d.path, "-pools", pools)
	}
	c.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path)
	log, err := c.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	address := make(chan string, 1)
	servingLine := regexp.MustCompile(`msg=serving.* listen=(\S+)|serving.* listen=(\S+)`)
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if m := servingLine.FindStringSubmatch(lines.Text()); m != nil {
				address <- m[1] + m[2]
			}
		}
		c.ended <- c.cmd.Wait()
	}()
	t.Cleanup(func() { _ = c.cmd.Process.Kill() })
	c.url = "http://" + testbed.Wait(t, "the daemon to serve", address)
	c.http.Transport = &http.Transport{MaxIdleConnsPerHost: 100}
	t.Cleanup(c.http.CloseIdleConnections)
	testbed.Until(t, "the daemon to be up", func() bool {
		res, err := c.http.Get(c.url + "/up")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	return c
}

// request is a call as the protocol page has it.
func request(ctx context.Context, url string, c Call) *http.Request {
	method, body := http.MethodPost, io.Reader(strings.NewReader(c.Body))
	if c.Class == "look" || c.Class == "nothing" {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, url+"/"+c.Class, body)
	if err != nil {
		panic(err) // calls of the suite have no such class
	}
	for name, value := range map[string]string{
		"X-Request-ID": c.ID, "X-Priority-Class": c.Class, "X-Tenant-Id": c.Tenant, "Idempotency-Key": c.Key,
		"X-Timeout": strconv.FormatInt(c.Timeout.Milliseconds(), 10) + "m",
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return req
}

func (c *daemonClient) Call(ctx context.Context, call Call) Answer {
	req := request(ctx, c.url, call)
	if c.host != "" {
		req.Host = c.host
	}
	res, err := c.http.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return Answer{Kind: Gone}
		}
		return Answer{Detail: err.Error()}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return Answer{Detail: err.Error()}
	}
	switch {
	case res.StatusCode == http.StatusOK:
		return Answer{Kind: Served, Body: string(body)}
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		return Answer{Kind: Refused, RetryAfter: time.Duration(after * float64(time.Second))}
	case res.StatusCode/100 == 4:
		return Answer{Kind: Invalid, Detail: string(bytes.TrimSpace(body))}
	}
	return Answer{Kind: Failed, Detail: res.Status}
}

func (c *daemonClient) Close() (err error) {
	c.closed.Do(func() {
		if err = c.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return
		}
		c.http.CloseIdleConnections()
		select {
		case err = <-c.ended:
		case <-time.After(testbed.Generous):
			err = errors.New("the daemon does not end")
		}
	})
	return err
}

func open(t *testing.T, text string) plugin.Config {
	t.Helper()
	cfg, err := plugin.ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// closeAll closes a plug-in within the time that a drain may take.
func closeAll(close func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), testbed.Generous)
	defer cancel()
	return close(ctx)
}

// said turns a plug-in's error into an answer.
func said(ctx context.Context, err error) Answer {
	var (
		refused *plugin.RefusedError
		failed  *plugin.FailedError
		bad     *plugin.InvalidError
	)
	switch {
	case errors.As(err, &refused):
		return Answer{Kind: Refused, RetryAfter: refused.RetryAfter, Detail: err.Error()}
	case errors.As(err, &bad):
		return Answer{Kind: Invalid, Detail: err.Error()}
	case ctx.Err() != nil && errors.Is(err, ctx.Err()):
		return Answer{Kind: Gone}
	case errors.As(err, &failed):
		return Answer{Kind: Failed, Detail: err.Error()}
	}
	return Answer{Detail: fmt.Sprint("no error of the plug-in's: ", err)}
}

// client is plugin.Client.Do.
type client struct{ httpNodes }

type clientClient struct {
	*plugin.Client
	host string // of its pool; "": there is one
}

// pooled is plugin.Client.Do with two pools, of which one has the case's calls.
type pooled struct {
	httpNodes
	pool string
}

func (p pooled) Open(t *testing.T, text string) Client {
	t.Helper()
	_, pools := files(t, text)
	c, err := plugin.OpenPools(pools, plugin.PoolsConfig{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closeAll(c.Close) })
	return clientClient{c, p.pool + ".example.org"}
}

func (client) Open(t *testing.T, text string) Client {
	t.Helper()
	c, err := plugin.Open(open(t, text))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closeAll(c.Close) })
	return clientClient{Client: c}
}

func (c clientClient) Call(ctx context.Context, call Call) Answer {
	r := plugin.Request{Host: c.host, ID: call.ID, Class: call.Class, Tenant: call.Tenant, Key: call.Key,
		Timeout: call.Timeout}
	if call.Class != "look" {
		r.Body = []byte(call.Body)
	}
	res, err := c.Do(ctx, r)
	if err != nil {
		return said(ctx, err)
	}
	return Answer{Kind: Served, Body: string(res.Body)}
}

func (c clientClient) Close() error { return closeAll(c.Client.Close) }

// roundTripper is the plug-in under net/http.
type roundTripper struct{ httpNodes }

type roundTripperClient struct {
	c    *plugin.Client
	http http.Client
}

func (roundTripper) Open(t *testing.T, text string) Client {
	t.Helper()
	c, err := plugin.Open(open(t, text))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closeAll(c.Close) })
	return &roundTripperClient{c, http.Client{Transport: c.RoundTripper()}}
}

func (c *roundTripperClient) Call(ctx context.Context, call Call) Answer {
	res, err := c.http.Do(request(ctx, "http://service.internal", call))
	if err != nil {
		return said(ctx, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return Answer{Detail: err.Error()}
	}
	if res.StatusCode != http.StatusOK {
		return Answer{Kind: Failed, Detail: res.Status}
	}
	return Answer{Kind: Served, Body: string(body)}
}

func (c *roundTripperClient) Close() error { return closeAll(c.c.Close) }

// overGRPC is the plug-in under gRPC.
type overGRPC struct{}

type grpcClient struct{ *grpcplugin.Conn }

func (overGRPC) Node(t testbed.TB, id string, l *testbed.ArrivalLog) *testbed.Node {
	return testbed.NewGRPCNode(t, id, l)
}

func (overGRPC) Open(t *testing.T, text string) Client {
	t.Helper()
	c, err := grpcplugin.Open(open(t, text))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closeAll(c.Close) })
	return grpcClient{c}
}

func (c grpcClient) Call(ctx context.Context, call Call) Answer {
	md := metadata.Pairs("x-request-id", call.ID, "x-timeout", strconv.FormatInt(call.Timeout.Milliseconds(), 10)+"m")
	for name, value := range map[string]string{"x-tenant-id": call.Tenant, "idempotency-key": call.Key} {
		if value != "" {
			md.Set(name, value)
		}
	}
	var out wrapperspb.StringValue
	err := c.Invoke(metadata.NewOutgoingContext(ctx, md), "/ledger.Ledger/"+call.Class,
		wrapperspb.String(call.Body), &out)
	if err != nil {
		a := said(ctx, err)
		if a.Kind == "" { // a server's own status
			a = Answer{Kind: Failed, Detail: status.Convert(err).String()}
		}
		return a
	}
	return Answer{Kind: Served, Body: out.GetValue()}
}

func (c grpcClient) Close() error { return closeAll(c.Conn.Close) }
