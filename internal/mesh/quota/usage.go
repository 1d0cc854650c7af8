package quota

import (
	"slices"
	"strings"
)

// Usage counts one tenant's requests at a LocalLimiter since the last call of TakeUsage.
type Usage struct {
	Tenant     string  `json:"tenant"`
	FromGrants int     `json:"granted"`  // admitted on tokens granted by the Allocator
	FromFloor  int     `json:"floor"`    // admitted on tokens of the local floor
	Deferred   int     `json:"deferred"` // admitted first and charged afterwards
	Rejected   int     `json:"rejected"`
	Rate       float64 `json:"rate"`    // of the tenant's limit, in requests per second
	Members    int     `json:"members"` // the number of members that share the limit
}

// Admitted returns the number of admitted requests, whatever the source of their tokens.
func (u Usage) Admitted() int { return u.FromGrants + u.FromFloor + u.Deferred }

// TakeUsage returns the usage of all tenants with requests since the last call, sorted by tenant, and resets it.
func (l *LocalLimiter) TakeUsage() []Usage {
	var all []Usage
	for name, t := range l.tenants {
		usage := t.usage
		t.usage = Usage{}
		if usage.Admitted() == 0 && usage.Rejected == 0 {
			continue
		}
		usage.Tenant = name
		usage.Rate = l.planner.limits[name].Rate
		usage.Members = l.planner.plannedMembers
		all = append(all, usage)
	}
	slices.SortFunc(all, func(a, b Usage) int { return strings.Compare(a.Tenant, b.Tenant) })
	return all
}
