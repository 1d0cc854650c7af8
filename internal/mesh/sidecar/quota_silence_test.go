package sidecar

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"caperarch/internal/mesh/quota"
	"caperarch/internal/mesh/registry"
)

// countedFleet is a quotaFleet whose sidecars are counted by a registry table, as a core machine counts them:
// those in contact renew their leases and hear the number, the others go on by the number heard last.
type countedFleet struct {
	*quotaFleet
	silentSidecars atomic.Int64 // the first so many are out of contact

	mu    sync.Mutex // guards all below
	table *registry.Table
	heard map[string]int // by node
}

func newCountedFleet(t *testing.T, limit quota.Limit) *countedFleet {
	t.Helper()
	f := &countedFleet{
		quotaFleet: newStoppedQuotaFleet(t, 0, limit), table: registry.New(1), heard: map[string]int{},
	}
	f.silent = func(node string) bool { return node < nodeName(int(f.silentSidecars.Load())) }
	f.members = f.count
	f.renewAll(1)
	f.startAll()
	return f
}

// count is quotaFleet.members.
func (f *countedFleet) count(node string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if node == "" {
		return f.table.ShareHolders(time.Since(f.began))
	}
	return f.heard[node]
}

// renewAll has the sidecars in contact renew their leases.
func (f *countedFleet) renewAll(sequence registry.Sequence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Since(f.began)
	f.table.Expire(now)
	for i := range f.clients {
		if f.silent(nodeName(i)) {
			continue
		}
		if _, err := f.table.Renew(now, registry.Lease{Node: nodeName(i), Incarnation: 1, Sequence: sequence}); err != nil {
			f.t.Fatal(err)
		}
	}
	for i := range f.clients {
		if !f.silent(nodeName(i)) {
			f.heard[nodeName(i)] = f.table.ShareHolders(now)
		}
	}
}

// idle lets time pass without a request of the tenant.
func (f *countedFleet) idle(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		<-time.After(registry.LeaseTTL / 3)
		f.renewAll(registry.Sequence(time.Since(f.began)))
	}
}

// Sidecars out of contact for longer than a lease, a recent peak or a tombstone lasts go on by their shares,
// while the others divide the limits among themselves.
func TestSilentSidecarsKeepQuota(t *testing.T) {
	for _, silent := range []int{3, 6, 9} {
		t.Run(fmt.Sprint(silent, " of 12"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCountedFleet(t, quota.Limit{Rate: 172, Burst: 172})
				defer f.close()
				f.idle(5 * time.Second)
				f.silentSidecars.Store(int64(silent))
				f.idle(2 * time.Minute)
				f.run(30 * time.Second)
				f.checkWindows()
			})
		})
	}
}
