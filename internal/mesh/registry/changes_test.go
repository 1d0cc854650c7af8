package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// reader replicates a table by reading its changes.
type reader struct {
	keep   func(service string) bool // nil selects all services
	epoch  Epoch
	number ChangeNumber
	known  map[string]Upstream
}

// read applies the changes since the last read. It reports whether the table returned its full state.
func (r *reader) read(table *Table, now time.Duration) (full bool) {
	changes := table.Since(now, r.epoch, r.number, r.keep)
	if changes.Full {
		r.known = map[string]Upstream{}
	}
	for _, u := range changes.Upserts {
		r.known[u.Instance] = u
	}
	for _, removal := range changes.Removals {
		delete(r.known, removal.Instance)
	}
	r.epoch, r.number = changes.Epoch, changes.Number
	return changes.Full
}

// check fails the test unless the reader holds exactly the table's upstreams of the services that the reader wants.
func (r *reader) check(t *testing.T, table *Table, now time.Duration) {
	t.Helper()
	wanted := 0
	for _, u := range table.Upstreams(now) {
		if r.keep != nil && !r.keep(u.Service) {
			continue
		}
		wanted++
		current := r.known[u.Instance]
		if !sameExceptWarmup(&current, &u) {
			t.Fatalf("after change %d the reader holds %+v, want %+v", r.number, current, u)
		}
	}
	if wanted != len(r.known) {
		t.Fatalf("after change %d the reader holds %d upstreams, want %d", r.number, len(r.known), wanted)
	}
}

// drawStep applies a random change to the table and returns the time after the change.
func drawStep(random *rand.Rand, table *Table, now time.Duration, step int) time.Duration {
	now += time.Duration(random.IntN(150)) * time.Millisecond
	node := fmt.Sprint("n", random.IntN(12))
	up := upstream(fmt.Sprint(node, "-", random.IntN(3)), int64(step))
	up.Address = node
	up.Service = fmt.Sprint("s", random.IntN(3))
	up.State = State(random.IntN(20) / 18)
	lease := Lease{Node: node, Incarnation: Incarnation(step + 1), Sequence: 1}
	switch random.IntN(40) {
	case 0:
		up.State = Deregistered
		heartbeat(table, now, up)
	case 1:
		now += LeaseTTL
	case 2:
		lease.Left = true
		renew(table, now, lease)
	default:
		lease.Upstream = &up
		renew(table, now, lease)
	}
	table.Expire(now)
	return now
}

func TestReaderOfChangesHoldsWhatTheTableHolds(t *testing.T) {
	Convey("A reader holds exactly the upstreams it wants, however many changes it had missed", t, func() {
		random := rand.New(rand.NewPCG(7, 11))
		table, now := New(9), time.Duration(0)
		readers := []*reader{{}, {}, {keep: func(s string) bool { return s == "s1" }}}
		readEvery := []int{1, 1500, 4} // mean number of steps between two reads, by reader
		fulls := 0
		for step := range 6000 {
			now = drawStep(random, table, now, step)
			for i, r := range readers {
				if random.IntN(readEvery[i]) > 0 {
					continue
				}
				if r.read(table, now) {
					fulls++
				}
				r.check(t, table, now)
			}
		}
		So(fulls, ShouldBeGreaterThan, 3)
		So(fulls, ShouldBeLessThan, 20)
	})
}
