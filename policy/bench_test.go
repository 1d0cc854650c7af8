package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures a request and its outcome for several list sizes, to show how the time grows with the list.
func BenchmarkRequest(b *testing.B) {
	for _, servers := range []ServerID{10, 70, 290} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			cfg := testConfig()
			cfg.Balancers = 150
			cfg.Tenants = []Tenant{{Share: 1, Quota: 2000}}
			var list []Server
			for id := range servers {
				list = append(list, Server{ID: id, State: Ready, Weight: 1})
			}
			balancer, _ := start(b, cfg, list)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * 75 * ms
				submit(balancer, now, RequestID(i), idempotentClass)
				end(balancer, now+20*ms, RequestID(i), 0, Served)
				balancer.Wake(now + 40*ms)
			}
		})
	}
}
