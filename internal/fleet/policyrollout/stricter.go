package policyrollout

import (
	"fmt"
	"slices"
)

// Stricter returns the stricter of two limits field by field: the lower bound of each field, and the union of
// the disabled upstreams. A request that the result admits is admitted by a and by b.
func Stricter(a, b *Limits) *Limits {
	return &Limits{
		Share: minPerTenant(a.Share, b.Share, 0), Quota: minPerTenant(a.Quota, b.Quota, noQuota),
		Attempts: min(a.Attempts, b.Attempts), Open: min(a.Open, b.Open), Queue: min(a.Queue, b.Queue),
		RetryFree: min(a.RetryFree, b.RetryFree), RetryShare: min(a.RetryShare, b.RetryShare),
		DisabledUpstreams: union(a.DisabledUpstreams, b.DisabledUpstreams),
	}
}

// valueAt returns the value of a tenant, or absent if there is none.
func valueAt(values []float64, i int, absent float64) float64 {
	if i < len(values) {
		return values[i]
	}
	return absent
}

// minPerTenant returns the lower of two values for each tenant. absent replaces a missing value.
func minPerTenant(a, b []float64, absent float64) []float64 {
	all := make([]float64, max(len(a), len(b)))
	for i := range all {
		all[i] = min(valueAt(a, i, absent), valueAt(b, i, absent))
	}
	return all
}

// Looser describes the fields in which a admits more than b. The result is empty if a is at least as strict
// as b.
func Looser(a, b *Limits) (fields []string) {
	addIf := func(looser bool, field string, x, y any) {
		if looser {
			fields = append(fields, fmt.Sprintf("%s: %v against %v", field, x, y))
		}
	}
	for i := range a.Share {
		x, y := a.Share[i], valueAt(b.Share, i, 0)
		addIf(x > y, fmt.Sprintf("share of tenant %d", i), x, y)
	}
	for i := range b.Quota {
		x, y := valueAt(a.Quota, i, noQuota), b.Quota[i]
		addIf(x > y, fmt.Sprintf("quota of tenant %d", i), x, y)
	}
	addIf(a.Attempts > b.Attempts, "attempts", a.Attempts, b.Attempts)
	addIf(a.Open > b.Open, "open", a.Open, b.Open)
	addIf(a.Queue > b.Queue, "queue", a.Queue, b.Queue)
	addIf(a.RetryFree > b.RetryFree, "retry.free", a.RetryFree, b.RetryFree)
	addIf(a.RetryShare > b.RetryShare, "retry.share", a.RetryShare, b.RetryShare)
	for _, id := range b.DisabledUpstreams {
		addIf(!slices.Contains(a.DisabledUpstreams, id), "out", "without "+id, "with it")
	}
	return fields
}

// union returns the sorted union of two lists of ids.
func union(a, b []string) []string {
	if len(a)+len(b) == 0 {
		return nil
	}
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
