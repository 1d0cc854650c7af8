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
var uniqueFields = [...]string{
	"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Route-Key", "X-Timeout", "X-Retried", "X-Cost",
	"X-Attrs", "Idempotency-Key", "Content-Length",
}

// twice is the name of a field that steers a request and is given twice, or "".
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

// firstPart is the first part of a target's path, decoded.
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

// read takes what a request says of itself. What is missing or malformed is a rejection: nothing of
// it may reach the module or an upstream, whose 400 would count as the upstream's failure.
func (target *Target) parseRequest(dialect *Dialect, head *h1.Head) (q policy.Request, timeout time.Duration, rejection *Rejection) {
	if dialect != nil {
		return dialect.ParseRequest(head)
	}
	reject := func(status int, reason string) (policy.Request, time.Duration, *Rejection) {
		return policy.Request{}, 0, &Rejection{Status: status, Reason: reason}
	}
	if head.HTTP10 { // others pass over Transfer-Encoding there
		return reject(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed")
	}
	if name := duplicateField(head); name != "" {
		return reject(http.StatusBadRequest, name+" is given twice")
	}
	if head.Get("X-Request-Id") == "" {
		return reject(http.StatusBadRequest, "X-Request-ID is missing")
	}
	name := head.Get("X-Priority-Class")
	var ok bool
	if q.Class, ok = target.Classes[name]; !ok {
		return reject(http.StatusBadRequest, "X-Priority-Class names no class")
	}
	if firstPathSegment(head.Target) != name {
		return reject(http.StatusBadRequest, "the path is of another class than X-Priority-Class")
	}
	class, key := &target.ClassOf[q.Class], head.Get("Idempotency-Key")
	if want := methodByEffect[class.Effect]; head.Method != want {
		return reject(http.StatusMethodNotAllowed, "requests of this class are sent with "+want)
	}
	switch {
	case class.Effect == policy.Keyed && key == "":
		return reject(http.StatusBadRequest, "Idempotency-Key is missing")
	case class.Effect == policy.Unsafe && key != "":
		return reject(http.StatusBadRequest, "Idempotency-Key is of no use in this class")
	case class.Effect == policy.Safe && (head.Length > 0 || head.Chunked):
		return reject(http.StatusBadRequest, "GET has no body")
	case class.Effect != policy.Safe && head.Length < 0 && !head.Chunked:
		return reject(http.StatusLengthRequired, "Content-Length and Transfer-Encoding are missing")
	}
	if len(target.Tenants) > 0 {
		if q.Tenant, ok = target.Tenants[head.Get("X-Tenant-Id")]; !ok {
			return reject(http.StatusBadRequest, "X-Tenant-Id names no tenant")
		}
	}
	if timeout, ok = call.ParseDuration(head.Get("X-Timeout")); !ok || timeout <= 0 || timeout > maxTimeoutFactor*class.Deadline {
		return reject(http.StatusBadRequest, "X-Timeout is missing, malformed or out of range")
	}
	if cost := head.Get("X-Cost"); cost != "" {
		if q.Work, ok = call.ParseDuration(cost + "u"); !ok {
			return reject(http.StatusBadRequest, "X-Cost is malformed")
		}
	}
	q.Key = call.RouteKey(head.Get("X-Route-Key"))
	q.Repeat = head.Get("X-Retried") == "1"
	return q, timeout, nil
}

// methods are what each effect's requests are sent with.
var methodByEffect = map[policy.Effect]string{
	policy.Safe: http.MethodGet, policy.Keyed: http.MethodPost, policy.Unsafe: http.MethodPost,
}
