package plugin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// RoundTripper returns an http.RoundTripper that sends requests with the client. X-Priority-Class and X-Tenant-Id name
// the class and tenant of a request; without X-Priority-Class, Config.Methods assigns them by path. X-Request-ID,
// X-Route-Key, X-Timeout, X-Cost, X-Retried and Idempotency-Key have the same meaning as at the daemon. The scheme of
// the URL must be http. The host of the request is sent as the Host header; the balancing policy selects the server.
//
// RoundTrip returns a server's response of status 200. If a call fails before its deadline with another status,
// RoundTrip returns the last response of a server, except for statuses below 300 and for 429 and 503: many clients
// repeat a request after a 429 or 503, but the call may have run. It does not return a response whose body exceeds
// MaxBody. In all other cases it returns an error of Client.Do.
func (c *Client) RoundTripper() http.RoundTripper { return roundTripper{c} }

type roundTripper struct{ client *Client }

// RoundTrip implements http.RoundTripper. It reads the whole body, at most MaxBody bytes, before it sends the call.
func (t roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := requestBody(req)
	if err != nil {
		return nil, err
	}
	spec, err := specFromRequest(req)
	if err != nil {
		return nil, err
	}
	host := orDefault(req.Host, req.URL.Host)
	core, err := t.client.coreFor(host, req.URL.RequestURI(), orDefault(req.Method, http.MethodGet), spec.Class)
	if err != nil {
		return nil, err
	}
	q, effect, err := core.Resolve(spec)
	if err != nil {
		return nil, err
	}
	m := &call.Message{
		Method: orDefault(req.Method, http.MethodGet), URI: req.URL.RequestURI(), Host: host,
		Header: call.EndToEndHeaders(req.Header), Body: body,
	}
	if m.Method == http.MethodHead || m.Method == http.MethodConnect {
		return nil, &InvalidError{"Request.Method", m.Method + " is not supported"}
	}
	if effect != policy.Idempotent && m.Method == http.MethodGet {
		reason := fmt.Sprintf("class %q is not idempotent: its calls can't use GET", spec.Class)
		return nil, &InvalidError{"Request.Method", reason}
	}
	if m.Method == http.MethodGet && len(body) > 0 {
		return nil, &InvalidError{"Request.Body", "a GET request must not have a body"}
	}
	if err := checkMessage(m); err != nil {
		return nil, err
	}
	core.setControlHeaders(m.Header, spec)
	answer, err := core.Do(req.Context(), spec, q, m)
	if err == nil {
		return response(req, http.StatusOK, answer.Header, answer.Body), nil
	}
	var failed *FailedError
	if errors.As(err, &failed) && failed.Cause == nil && !failed.TimedOut && isForwardable(failed) {
		return response(req, failed.Status, failed.Header, failed.Body), nil
	}
	return nil, err
}

// isForwardable reports whether RoundTrip returns a server's response to the caller of a failed call. The body of a
// failure may be missing, because it is too long for the client's buffer.
func isForwardable(failed *FailedError) bool {
	switch failed.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	length := failed.Header.Get("Content-Length")
	hasBody := length == "" || length == strconv.Itoa(len(failed.Body))
	return failed.Status >= 300 && hasBody
}

// requestBody reads the body of a request and rejects a body of more than MaxBody bytes.
func requestBody(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	defer req.Body.Close()
	if req.ContentLength > MaxBody {
		return nil, &InvalidError{"Request.Body", fmt.Sprintf("got %d bytes, want at most %d", req.ContentLength, MaxBody)}
	}
	body := make([]byte, 0, max(req.ContentLength, 0)+bytes.MinRead)
	buffer := bytes.NewBuffer(body)
	n, err := buffer.ReadFrom(io.LimitReader(req.Body, MaxBody+1))
	switch {
	case err != nil:
		return nil, &InvalidError{"Request.Body", err.Error()}
	case n > MaxBody:
		return nil, &InvalidError{"Request.Body", fmt.Sprintf("got a body of more than %d bytes", MaxBody)}
	case req.ContentLength > 0 && n != req.ContentLength:
		return nil, &InvalidError{"Request.Body", fmt.Sprintf("got %d bytes, Content-Length is %d", n, req.ContentLength)}
	}
	return buffer.Bytes(), nil
}

// controlHeaders are the headers that carry the specification of a call. A duplicate of one is an error, because two
// recipients could read different values.
var controlHeaders = []string{
	"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Route-Key",
	"X-Timeout", "X-Retried", "X-Cost", "Idempotency-Key",
}

// specFromRequest reads the specification of a call from the control headers of a request.
func specFromRequest(req *http.Request) (*CallSpec, error) {
	if req.URL == nil || req.URL.Scheme != "http" {
		return nil, &InvalidError{"Request.URL", "the scheme of the URL must be http"}
	}
	h := req.Header
	for _, name := range controlHeaders {
		if len(h[name]) > 1 {
			return nil, &InvalidError{name, "the header occurs more than once"}
		}
	}
	s := &CallSpec{
		Method: req.URL.Path, Class: h.Get("X-Priority-Class"), Tenant: h.Get("X-Tenant-Id"), ID: h.Get("X-Request-ID"),
		Key: h.Get("Idempotency-Key"), RouteKey: h.Get("X-Route-Key"), Repeat: h.Get("X-Retried") == "1",
	}
	if text := h.Get("X-Timeout"); text != "" {
		var ok bool
		if s.Timeout, ok = call.ParseDuration(text); !ok || s.Timeout <= 0 {
			return nil, &InvalidError{"X-Timeout", "want a valid duration above 0"}
		}
	}
	if text := h.Get("X-Cost"); text != "" {
		var ok bool
		if s.Work, ok = call.ParseDuration(text + "u"); !ok {
			return nil, &InvalidError{"X-Cost", "malformed"}
		}
	}
	return s, nil
}

// response builds the http.Response that RoundTrip returns.
func response(req *http.Request, status int, header http.Header, body []byte) *http.Response {
	h := call.EndToEndHeaders(header)
	delete(h, "User-Agent")
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	return &http.Response{
		Status: strconv.Itoa(status) + " " + http.StatusText(status), StatusCode: status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: h, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Request: req,
	}
}
