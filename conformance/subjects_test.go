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

func TestDaemon(t *testing.T) { Run(t, daemon{path: build(t)}) }

func TestFirstPool(t *testing.T) { Run(t, daemon{path: build(t), pool: "first"}) }

func TestSecondPool(t *testing.T) { Run(t, daemon{path: build(t), pool: "second"}) }

func TestClient(t *testing.T) { Run(t, client{}) }

func TestClientsFirst(t *testing.T) { Run(t, pooled{pool: "first"}) }

func TestClientsSecond(t *testing.T) { Run(t, pooled{pool: "second"}) }

func TestRoundTripper(t *testing.T) { Run(t, roundTripper{}) }

func TestGRPC(t *testing.T) { Run(t, overGRPC{}) }

// httpNodes is for subjects that send over HTTP/1.1.
type httpNodes struct{}

func (httpNodes) Node(t testbed.TB, id string, l *testbed.ArrivalLog) *testbed.Node {
	return testbed.NewHTTPNode(t, id, l)
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
	ctx, cancel := context.WithTimeout(context.Background(), testbed.MaxWait)
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
