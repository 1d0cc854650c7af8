package http1

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

// maxTimeoutFactor limits X-Timeout: a timeout of more than this many times the deadline of the request's class is
// malformed.
const maxTimeoutFactor = 10

// uniqueFields lists the header fields that control a request. If one of them is sent twice, two readers of the
// request may use different values.
var uniqueFields = [...]string{
	"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Route-Key", "X-Timeout", "X-Retried", "X-Cost",
	"X-Attrs", "Idempotency-Key", "Content-Length",
}

// methodByEffect is the method required for the requests of each effect.
var methodByEffect = map[policy.Effect]string{
	policy.Idempotent: http.MethodGet, policy.Deduplicated: http.MethodPost, policy.NonIdempotent: http.MethodPost,
}

// parseRequest parses the head of a request, with the dialect if there is one. A request with a missing or malformed
// field is rejected: it must reach neither the policy nor an upstream, because an upstream's 400 response would count
// as a failure of the upstream.
func (t *Target) parseRequest(dialect *Dialect, head *h1.Head) (policy.Request, time.Duration, *Rejection) {
	if dialect != nil {
		return dialect.ParseRequest(head)
	}
	class, rejection := t.parseClass(head)
	if rejection != nil {
		return policy.Request{}, 0, rejection
	}
	if rejection := checkEffect(t.ClassOf[class].Effect, head); rejection != nil {
		return policy.Request{}, 0, rejection
	}
	q := policy.Request{Class: class}
	timeout, rejection := t.parseFields(head, &q)
	if rejection != nil {
		return policy.Request{}, 0, rejection
	}
	return q, timeout, nil
}

// parseClass returns the index of a request's class in Target.ClassOf.
func (t *Target) parseClass(head *h1.Head) (int, *Rejection) {
	if head.HTTP10 { // other HTTP/1.0 implementations ignore Transfer-Encoding
		return 0, &Rejection{Status: http.StatusHTTPVersionNotSupported, Reason: "HTTP/1.1 is needed"}
	}
	if name := duplicateField(head); name != "" {
		return 0, badRequest(name + " is given twice")
	}
	if head.Get("X-Request-Id") == "" {
		return 0, badRequest("X-Request-ID is missing")
	}
	name := head.Get("X-Priority-Class")
	class, ok := t.Classes[name]
	if !ok {
		return 0, badRequest("X-Priority-Class names no class")
	}
	if firstPathSegment(head.Target) != name {
		return 0, badRequest("the path is of another class than X-Priority-Class")
	}
	return class, nil
}

// checkEffect checks that a request's method, Idempotency-Key and body fit the effect of its class.
func checkEffect(effect policy.Effect, head *h1.Head) *Rejection {
	if want := methodByEffect[effect]; head.Method != want {
		return &Rejection{Status: http.StatusMethodNotAllowed, Reason: "requests of this class are sent with " + want}
	}
	key := head.Get("Idempotency-Key")
	switch {
	case effect == policy.Deduplicated && key == "":
		return badRequest("Idempotency-Key is missing")
	case effect == policy.NonIdempotent && key != "":
		return badRequest("Idempotency-Key is of no use in this class")
	case effect == policy.Idempotent && (head.Length > 0 || head.Chunked):
		return badRequest("GET has no body")
	case effect != policy.Idempotent && head.Length < 0 && !head.Chunked:
		return &Rejection{
			Status: http.StatusLengthRequired, Reason: "Content-Length and Transfer-Encoding are missing",
		}
	}
	return nil
}

// parseFields parses the other fields that control a request into q, whose class is already set, and returns the
// timeout of the request.
func (t *Target) parseFields(head *h1.Head, q *policy.Request) (timeout time.Duration, rejection *Rejection) {
	var ok bool
	if len(t.Tenants) > 0 {
		if q.Tenant, ok = t.Tenants[head.Get("X-Tenant-Id")]; !ok {
			return 0, badRequest("X-Tenant-Id names no tenant")
		}
	}
	timeout, ok = call.ParseDuration(head.Get("X-Timeout"))
	if !ok || timeout <= 0 || timeout > maxTimeoutFactor*t.ClassOf[q.Class].Deadline {
		return 0, badRequest("X-Timeout is missing, malformed or out of range")
	}
	if cost := head.Get("X-Cost"); cost != "" {
		if q.Work, ok = call.ParseDuration(cost + "u"); !ok {
			return 0, badRequest("X-Cost is malformed")
		}
	}
	q.Key = call.RouteKey(head.Get("X-Route-Key"))
	q.IsRetry = head.Get("X-Retried") == "1"
	return timeout, nil
}

func badRequest(reason string) *Rejection {
	return &Rejection{Status: http.StatusBadRequest, Reason: reason}
}

// duplicateField returns the name of one of the uniqueFields that is given twice, or "".
func duplicateField(r *h1.Head) string {
	var have [len(uniqueFields)]bool
	for i := range r.Fields {
		for j, name := range uniqueFields {
			if r.Fields[i].Name == name {
				if have[j] {
					return name
				}
				have[j] = true
			}
		}
	}
	return ""
}

// firstPathSegment returns the first segment of a request target's path, percent-decoded, or "" if it can't be
// decoded.
func firstPathSegment(target string) string {
	path, _, _ := strings.Cut(target[1:], "?")
	first, _, _ := strings.Cut(path, "/")
	if strings.IndexByte(first, '%') < 0 {
		return first
	}
	if decoded, err := url.PathUnescape(first); err == nil {
		return decoded
	}
	return ""
}
