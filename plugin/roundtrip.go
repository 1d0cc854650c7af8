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

// RoundTripper returns the client as an http.RoundTripper. A request's class and tenant are those that
// Config.Methods has for its path, or that X-Priority-Class and X-Tenant-Id name; X-Request-ID, X-Route-Key,
// X-Timeout, X-Cost, X-Retried and Idempotency-Key mean what they do at the daemon. URL's scheme must be http;
// its host goes on as Host, the module says where the request is sent.
//
// A server's answer of status 200 is returned, and so is the last one of another status where the call failed
// with it, but for 429 and 503: many take these as leave to repeat, and the call may have run.
// Every other end is an error, as Client.Do has it.
func (c *Client) RoundTripper() http.RoundTripper { return roundTripper{c} }

type roundTripper struct{ client *Client }

// RoundTrip implements http.RoundTripper. The whole body is read before anything is sent, MaxBody bytes at most.
func (t roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := requestBody(req)
	if err != nil {
		return nil, err
	}
	spec, err := specOf(req)
	if err != nil {
		return nil, err
	}
	host := or(req.Host, req.URL.Host)
	core, err := t.client.coreFor(host, req.URL.RequestURI(), or(req.Method, http.MethodGet), spec.Class)
	if err != nil {
		return nil, err
	}
	q, effect, err := core.Resolve(spec)
	if err != nil {
		return nil, err
	}
	m := &call.Message{
		Method: or(req.Method, http.MethodGet), URI: req.URL.RequestURI(), Host: host,
		Header: call.EndToEndHeaders(req.Header), Body: body,
	}
	if m.Method == http.MethodHead || m.Method == http.MethodConnect {
		return nil, &InvalidError{"Request.Method", m.Method + " is not carried"}
	}
	if effect != policy.Idempotent && m.Method == http.MethodGet {
		reason := fmt.Sprintf("calls of class %q have an effect: GET is not for them", spec.Class)
		return nil, &InvalidError{"Request.Method", reason}
	}
	if m.Method == http.MethodGet && len(body) > 0 {
		return nil, &InvalidError{"Request.Body", "GET has none"}
	}
	if err := checkMessage(m); err != nil {
		return nil, err
	}
	core.setControlHeaders(m.Header, spec)
	a, err := core.Do(req.Context(), spec, q, m)
	if err == nil {
		return response(req, http.StatusOK, a.Header, a.Body), nil
	}
	var failed *FailedError
	if errors.As(err, &failed) && failed.Cause == nil && !failed.TimedOut && passOn(failed.Status) {
		return response(req, failed.Status, failed.Header, failed.Body), nil
	}
	return nil, err
}

// passOn says whether a server's answer to a call that failed may be its client's answer.
func passOn(status int) bool {
	return status >= 300 && status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable
}

// requestBody reads a request's body, which has a bound.
func requestBody(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	defer req.Body.Close()
	if req.ContentLength > MaxBody {
		return nil, &InvalidError{"Request.Body", fmt.Sprintf("%d bytes, %d at most", req.ContentLength, MaxBody)}
	}
	body := make([]byte, 0, max(req.ContentLength, 0)+bytes.MinRead)
	buffer := bytes.NewBuffer(body)
	n, err := buffer.ReadFrom(io.LimitReader(req.Body, MaxBody+1))
	switch {
	case err != nil:
		return nil, &InvalidError{"Request.Body", err.Error()}
	case n > MaxBody:
		return nil, &InvalidError{"Request.Body", fmt.Sprintf("more than %d bytes", MaxBody)}
	case req.ContentLength > 0 && n != req.ContentLength:
		return nil, &InvalidError{"Request.Body", fmt.Sprintf("%d bytes where %d were told", n, req.ContentLength)}
	}
	return buffer.Bytes(), nil
}

// controlHeaders are the headers that carry a call's specification. If one is given twice, two readers may heed
// different values, so that is an error.
var controlHeaders = []string{
	"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Route-Key",
	"X-Timeout", "X-Retried", "X-Cost", "Idempotency-Key",
}

// specOf reads a call's specification from the control headers.
func specOf(req *http.Request) (*CallSpec, error) {
	if req.URL == nil || req.URL.Scheme != "http" {
		return nil, &InvalidError{"Request.URL", "its scheme must be http"}
	}
	h := req.Header
	for _, name := range controlHeaders {
		if len(h[name]) > 1 {
			return nil, &InvalidError{name, "it is given twice"}
		}
	}
	s := &CallSpec{
		Method: req.URL.Path, Class: h.Get("X-Priority-Class"), Tenant: h.Get("X-Tenant-Id"), ID: h.Get("X-Request-ID"),
		Key: h.Get("Idempotency-Key"), RouteKey: h.Get("X-Route-Key"), Repeat: h.Get("X-Retried") == "1",
	}
	if text := h.Get("X-Timeout"); text != "" {
		var ok bool
		if s.Timeout, ok = call.ParseDuration(text); !ok || s.Timeout <= 0 {
			return nil, &InvalidError{"X-Timeout", "malformed or not above 0"}
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

// response makes the response that http.Client gets.
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
