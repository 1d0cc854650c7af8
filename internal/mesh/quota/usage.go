package quota

import (
	"slices"
	"strings"
)

// Usage is what a LocalLimiter did with one tenant's requests, by the source of the tokens, since it was
// last taken.
type Usage struct {
	Tenant     string  `json:"tenant"`
	FromGrants int     `json:"granted"`  // admitted on tokens that the Allocator granted
	FromFloor  int     `json:"floor"`    // admitted on tokens of the local floor
	Deferred   int     `json:"deferred"` // admitted first and reported afterwards
	Rejected   int     `json:"rejected"`
	Rate       float64 `json:"rate"`    // of the limit in force, in requests a second
	Members    int     `json:"members"` // that the limit is divided by
}

// Admitted is the number of requests admitted, whatever their tokens' source.
func (u Usage) Admitted() int { return u.FromGrants + u.FromFloor + u.Deferred }

// TakeUsage returns the usage of the tenants that sent requests since it was last called, by name.
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
