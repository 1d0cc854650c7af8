package policyrollout

import (
	"fmt"
	"slices"
)

// Stricter returns limits that keep to both: each bound the lower one, each upstream out that is
// out by either. What they let in, each of the two lets in.
func Stricter(a, b *Limits) *Limits {
	return &Limits{
		Share: lower(a.Share, b.Share, 0), Quota: lower(a.Quota, b.Quota, noQuota),
		Attempts: min(a.Attempts, b.Attempts), Open: min(a.Open, b.Open), Queue: min(a.Queue, b.Queue),
		RetryFree: min(a.RetryFree, b.RetryFree), RetryShare: min(a.RetryShare, b.RetryShare),
		DisabledUpstreams: union(a.DisabledUpstreams, b.DisabledUpstreams),
	}
}

// at returns a tenant's figure, or absent if there is none.
func at(of []float64, i int, absent float64) float64 {
	if i < len(of) {
		return of[i]
	}
	return absent
}

// lower returns the lower of two figures, tenant by tenant.
func lower(a, b []float64, absent float64) []float64 {
	all := make([]float64, max(len(a), len(b)))
	for i := range all {
		all[i] = min(at(a, i, absent), at(b, i, absent))
	}
	return all
}

// Looser names the fields in which a lets in more than b; none: a is as strict as b, or stricter.
func Looser(a, b *Limits) (fields []string) {
	say := func(looser bool, field string, x, y any) {
		if looser {
			fields = append(fields, fmt.Sprintf("%s: %v against %v", field, x, y))
		}
	}
	for i := range a.Share {
		x, y := a.Share[i], at(b.Share, i, 0)
		say(x > y, fmt.Sprintf("share of tenant %d", i), x, y)
	}
	for i := range b.Quota {
		x, y := at(a.Quota, i, noQuota), b.Quota[i]
		say(x > y, fmt.Sprintf("quota of tenant %d", i), x, y)
	}
	say(a.Attempts > b.Attempts, "attempts", a.Attempts, b.Attempts)
	say(a.Open > b.Open, "open", a.Open, b.Open)
	say(a.Queue > b.Queue, "queue", a.Queue, b.Queue)
	say(a.RetryFree > b.RetryFree, "retry.free", a.RetryFree, b.RetryFree)
	say(a.RetryShare > b.RetryShare, "retry.share", a.RetryShare, b.RetryShare)
	for _, id := range b.DisabledUpstreams {
		say(!slices.Contains(a.DisabledUpstreams, id), "out", "without "+id, "with it")
	}
	return fields
}

func union(a, b []string) []string {
	if len(a)+len(b) == 0 {
		return nil
	}
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
