package daemon

import (
	"fmt"
	"net/http"
	"slices"

	"caperarch/internal/daemon/config"
	"caperarch/internal/proxy/route"
)

// Explain says for people which rule and pool a request takes: method and URL as a client would use them, and the
// request's class ("": by the URL). The error says why the request is malformed.
func Explain(pools *config.Pools, method, url, class string) (string, error) {
	r, err := http.NewRequest(method, url, nil)
	if err != nil {
		return "", err
	}
	target := r.URL.EscapedPath()
	if target == "" {
		target = "/"
	}
	if class == "" { // as the protocol has it, the first segment of the path
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
