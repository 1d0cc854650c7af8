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

// singles lists the headers that steer a request. Sent twice, two readers may heed different ones.
var singles = [...]string{
	"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Route-Key", "X-Timeout", "X-Retried", "X-Cost",
	"X-Attrs", "Idempotency-Key", "Content-Length",
}

// twice is the name of a field that steers a request and is given twice, or "".
func twice(r *h1.Head) string {
	var have [len(singles)]bool
	for i := range r.Fields {
		for j, name := range singles {
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

// firstPart is the first part of a target's path, decoded.
func firstPart(target string) string {
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

// read takes what a request says of itself. What is missing or malformed is a rejection: nothing of
// it may reach the module or an upstream, whose 400 would count as the upstream's failure.
func (t *Target) read(d *Dialect, r *h1.Head) (q policy.Request, left time.Duration, bad *Rejection) {
	if d != nil {
		return d.ParseRequest(r)
	}
	no := func(status int, reason string) (policy.Request, time.Duration, *Rejection) {
		return policy.Request{}, 0, &Rejection{Status: status, Reason: reason}
	}
	if r.HTTP10 { // others pass over Transfer-Encoding there
		return no(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed")
	}
	if name := twice(r); name != "" {
		return no(http.StatusBadRequest, name+" is given twice")
	}
	if r.Get("X-Request-Id") == "" {
		return no(http.StatusBadRequest, "X-Request-ID is missing")
	}
	name := r.Get("X-Priority-Class")
	var ok bool
	if q.Class, ok = t.Classes[name]; !ok {
		return no(http.StatusBadRequest, "X-Priority-Class names no class")
	}
	if firstPart(r.Target) != name {
		return no(http.StatusBadRequest, "the path is of another class than X-Priority-Class")
	}
	class, key := &t.ClassOf[q.Class], r.Get("Idempotency-Key")
	if want := methods[class.Effect]; r.Method != want {
		return no(http.StatusMethodNotAllowed, "requests of this class are sent with "+want)
	}
	switch {
	case class.Effect == policy.Deduplicated && key == "":
		return no(http.StatusBadRequest, "Idempotency-Key is missing")
	case class.Effect == policy.NonIdempotent && key != "":
		return no(http.StatusBadRequest, "Idempotency-Key is of no use in this class")
	case class.Effect == policy.Idempotent && (r.Length > 0 || r.Chunked):
		return no(http.StatusBadRequest, "GET has no body")
	case class.Effect != policy.Idempotent && r.Length < 0 && !r.Chunked:
		return no(http.StatusLengthRequired, "Content-Length and Transfer-Encoding are missing")
	}
	if len(t.Tenants) > 0 {
		if q.Tenant, ok = t.Tenants[r.Get("X-Tenant-Id")]; !ok {
			return no(http.StatusBadRequest, "X-Tenant-Id names no tenant")
		}
	}
	if left, ok = call.ParseDuration(r.Get("X-Timeout")); !ok || left <= 0 || left > farTimeout*class.Deadline {
		return no(http.StatusBadRequest, "X-Timeout is missing, malformed or out of range")
	}
	if cost := r.Get("X-Cost"); cost != "" {
		if q.Work, ok = call.ParseDuration(cost + "u"); !ok {
			return no(http.StatusBadRequest, "X-Cost is malformed")
		}
	}
	q.Key = call.RouteKey(r.Get("X-Route-Key"))
	q.IsRetry = r.Get("X-Retried") == "1"
	return q, left, nil
}

// methods are what each effect's requests are sent with.
var methods = map[policy.Effect]string{
	policy.Idempotent: http.MethodGet, policy.Deduplicated: http.MethodPost, policy.NonIdempotent: http.MethodPost,
}
