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

// countedFleet is a quotaFleet whose sidecars are counted by a registry table, as on a core machine. Sidecars in
// contact renew their leases and receive the current number; the others use the last number they received.
type countedFleet struct {
	*quotaFleet
	outOfContactCount atomic.Int64 // sidecars with lower indices are out of contact

	mu             sync.Mutex // guards the fields below
	table          *registry.Table
	reportedCounts map[string]int // number of sidecars last received, by node
}

func newCountedFleet(t *testing.T, limit quota.Limit) *countedFleet {
	t.Helper()
	f := &countedFleet{
		quotaFleet: newStoppedQuotaFleet(t, 0, limit), table: registry.New(1), reportedCounts: map[string]int{},
	}
	f.outOfContact = func(node string) bool { return node < nodeName(int(f.outOfContactCount.Load())) }
	f.members = f.count
	f.renewAll(1)
	f.startAll()
	return f
}

// count implements quotaFleet.members.
func (f *countedFleet) count(node string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if node == "" {
		return f.table.ShareHolders(time.Since(f.startedAt))
	}
	return f.reportedCounts[node]
}

// renewAll renews the leases of the sidecars in contact and passes them the number of sidecars.
func (f *countedFleet) renewAll(sequence registry.Sequence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Since(f.startedAt)
	f.table.Expire(now)
	for i := range f.clients {
		if f.outOfContact(nodeName(i)) {
			continue
		}
		if _, err := f.table.Renew(now, registry.Lease{Node: nodeName(i), Incarnation: 1, Sequence: sequence}); err != nil {
			f.t.Fatal(err)
		}
	}
	for i := range f.clients {
		if !f.outOfContact(nodeName(i)) {
			f.reportedCounts[nodeName(i)] = f.table.ShareHolders(now)
		}
	}
}

// idle lets time pass without requests of the tenant, while sidecars in contact renew their leases.
func (f *countedFleet) idle(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		<-time.After(registry.LeaseTTL / 3)
		f.renewAll(registry.Sequence(time.Since(f.startedAt)))
	}
}

// Guards against exceeding the quota when sidecars have been out of contact for longer than a lease, the window of
// the recent peak and the retention of tombstones. They still use their shares, while the others divide the limits.
func TestSilentSidecarsKeepQuota(t *testing.T) {
	for _, count := range []int{3, 6, 9} {
		t.Run(fmt.Sprint(count, " of 12"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCountedFleet(t, quota.Limit{Rate: 172, Burst: 172})
				defer f.close()
				f.idle(5 * time.Second)
				f.outOfContactCount.Store(int64(count))
				f.idle(2 * time.Minute)
				f.run(30 * time.Second)
				f.checkWindows()
			})
		})
	}
}
