package daemon

import (
	"fmt"
	"net/http"
	"slices"

	"caperarch/internal/daemon/config"
	"caperarch/internal/proxy/route"
)

// Explain describes, for display, the rule and the pool that apply to a request with the given method, URL and class.
// If class is "", the class is derived from the URL. Explain returns an error if the request is malformed.
func Explain(pools *config.Pools, method, url, class string) (string, error) {
	r, err := http.NewRequest(method, url, nil)
	if err != nil {
		return "", err
	}
	target := r.URL.EscapedPath()
	if target == "" {
		target = "/"
	}
	if class == "" { // the class defaults to the first segment of the path
		class = route.FirstSegment(r.URL.Path)
	}
	q, err := route.NewRequest(r.Host, target, method, class)
	if err != nil {
		return "", fmt.Errorf("%d: %w", http.StatusBadRequest, err)
	}
	request := fmt.Sprintf("host %s, path %s, method %s, class %s", q.Host, q.Path, q.Method, q.Class)
	rule := pools.Table.Match(q)
	if rule == nil {
		return request + ": no route, answered 404", nil
	}
	i := slices.IndexFunc(pools.List, func(p *config.Pool) bool { return p.Name == rule.Pool })
	return fmt.Sprintf("%s: pool %s (discovery at %s), by line %d: the most specific that matches is for %v",
		request, rule.Pool, pools.List[i].Config.Discovery, rule.Line, rule), nil
}
