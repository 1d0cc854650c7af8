package conformance

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"caperarch/internal/lab/testbed"
	"caperarch/plugin"
	"caperarch/plugin/grpcplugin"
)

func TestDaemon(t *testing.T) { Run(t, daemonSubject{path: buildDaemon(t)}) }

func TestDaemonFirstPool(t *testing.T) { Run(t, daemonSubject{path: buildDaemon(t), pool: "first"}) }

func TestDaemonSecondPool(t *testing.T) { Run(t, daemonSubject{path: buildDaemon(t), pool: "second"}) }

func TestClient(t *testing.T) { Run(t, pluginSubject{}) }

func TestPooledClientFirstPool(t *testing.T) { Run(t, pooledPluginSubject{pool: "first"}) }

func TestPooledClientSecondPool(t *testing.T) { Run(t, pooledPluginSubject{pool: "second"}) }

func TestRoundTripper(t *testing.T) { Run(t, roundTripperSubject{}) }

func TestGRPC(t *testing.T) { Run(t, grpcSubject{}) }

// httpNodes implements Subject.Node for subjects that send calls over HTTP/1.1.
type httpNodes struct{}

func (httpNodes) Node(t testbed.TB, id string, l *testbed.ArrivalLog) *testbed.Node {
	return testbed.NewHTTPNode(t, id, l)
}

// request returns the HTTP request of a call, with the control headers of the protocol.
func request(ctx context.Context, url string, c Call) *http.Request {
	method, body := http.MethodPost, io.Reader(strings.NewReader(c.Body))
	if c.Class == "look" || c.Class == "nothing" {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, url+"/"+c.Class, body)
	if err != nil {
		panic(err) // the suite has no class that makes the URL invalid
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

// parseConfig parses the text of a configuration file.
func parseConfig(t *testing.T, text string) plugin.Config {
	t.Helper()
	cfg, err := plugin.ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// closeWithTimeout calls the Close method of a plug-in with a time limit for its drain.
func closeWithTimeout(close func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), testbed.MaxWait)
	defer cancel()
	return close(ctx)
}

// answerFromError converts an error of the plug-in to an answer.
func answerFromError(ctx context.Context, err error) Answer {
	var (
		refused *plugin.RefusedError
		failed  *plugin.FailedError
		invalid *plugin.InvalidError
	)
	switch {
	case errors.As(err, &refused):
		return Answer{Kind: Refused, RetryAfter: refused.RetryAfter, Detail: err.Error()}
	case errors.As(err, &invalid):
		return Answer{Kind: Invalid, Detail: err.Error()}
	case ctx.Err() != nil && errors.Is(err, ctx.Err()):
		return Answer{Kind: CallerGone}
	case errors.As(err, &failed):
		return Answer{Kind: Failed, Detail: err.Error()}
	}
	return Answer{Detail: fmt.Sprint("unexpected error type: ", err)}
}

// pluginSubject sends calls with plugin.Client.Do.
type pluginSubject struct{ httpNodes }

type pluginClient struct {
	*plugin.Client
	host string // host that selects the pool; "": the client has one pool
}

// pooledPluginSubject sends calls with plugin.Client.Do to one of two pools.
type pooledPluginSubject struct {
	httpNodes
	pool string
}

func (p pooledPluginSubject) Open(t *testing.T, text string) Client {
	t.Helper()
	_, pools := writeConfigFiles(t, text)
	c, err := plugin.OpenPools(pools, plugin.PoolsConfig{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closeWithTimeout(c.Close) })
	return pluginClient{c, p.pool + ".example.org"}
}

func (pluginSubject) Open(t *testing.T, text string) Client {
	t.Helper()
	c, err := plugin.Open(parseConfig(t, text))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closeWithTimeout(c.Close) })
	return pluginClient{Client: c}
}

func (c pluginClient) Call(ctx context.Context, call Call) Answer {
	r := plugin.Request{Host: c.host, ID: call.ID, Class: call.Class, Tenant: call.Tenant, Key: call.Key,
		Timeout: call.Timeout}
	if call.Class != "look" {
		r.Body = []byte(call.Body)
	}
	res, err := c.Do(ctx, r)
	if err != nil {
		return answerFromError(ctx, err)
	}
	return Answer{Kind: Served, Body: string(res.Body)}
}

func (c pluginClient) Close() error { return closeWithTimeout(c.Client.Close) }

// roundTripperSubject sends calls with net/http over plugin.Client.RoundTripper.
type roundTripperSubject struct{ httpNodes }

type roundTripperClient struct {
	c    *plugin.Client
	http http.Client
}

func (roundTripperSubject) Open(t *testing.T, text string) Client {
	t.Helper()
	c, err := plugin.Open(parseConfig(t, text))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closeWithTimeout(c.Close) })
	return &roundTripperClient{c, http.Client{Transport: c.RoundTripper()}}
}

func (c *roundTripperClient) Call(ctx context.Context, call Call) Answer {
	res, err := c.http.Do(request(ctx, "http://service.internal", call))
	if err != nil {
		return answerFromError(ctx, err)
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

func (c *roundTripperClient) Close() error { return closeWithTimeout(c.c.Close) }

// grpcSubject sends calls with grpcplugin.Conn.
type grpcSubject struct{}

type grpcClient struct{ *grpcplugin.Conn }

func (grpcSubject) Node(t testbed.TB, id string, l *testbed.ArrivalLog) *testbed.Node {
	return testbed.NewGRPCNode(t, id, l)
}

func (grpcSubject) Open(t *testing.T, text string) Client {
	t.Helper()
	c, err := grpcplugin.Open(parseConfig(t, text))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closeWithTimeout(c.Close) })
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
		a := answerFromError(ctx, err)
		if a.Kind == "" { // the status of a server
			a = Answer{Kind: Failed, Detail: status.Convert(err).String()}
		}
		return a
	}
	return Answer{Kind: Served, Body: out.GetValue()}
}

func (c grpcClient) Close() error { return closeWithTimeout(c.Conn.Close) }
