package registry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

func upstream(instance string, sequence int64) Upstream {
	return Upstream{
		Instance: instance, Service: "s1", Address: "10.0.0.1:80", Node: "n1", Inbound: "10.0.0.1:90",
		Slots: 4, Sequence: sequence,
	}
}

func at(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// show gives the table's upstreams as "instance@inbound state", stale ones with a question mark.
func show(t *Table, now time.Duration) string {
	var all []string
	for _, u := range t.Upstreams(now) {
		stale := ""
		if u.Stale {
			stale = "?"
		}
		all = append(all, fmt.Sprintf("%s@%s %s%s", u.Instance, u.Inbound, u.State, stale))
	}
	return strings.Join(all, ", ")
}

func TestTable(t *testing.T) {
	renew := func(t *Table, now time.Duration, l Lease) bool {
		changed, err := t.Renew(now, l)
		So(err, ShouldBeNil)
		return changed
	}
	beat := func(t *Table, now time.Duration, up Upstream) bool {
		taken, err := t.Heartbeat(now, up)
		So(err, ShouldBeNil)
		return taken
	}
	Convey("Leases are ordered, lapse from their receipt, and are counted by version", t, func() {
		table, up := New(1), upstream("a", 1)
		So(renew(table, 0, Lease{Node: "n1", Incarnation: 5, Sequence: 2, Upstream: &up, Applied: 3}), ShouldBeTrue)
		So(renew(table, at(100), Lease{Node: "n1", Incarnation: 5, Sequence: 3, Upstream: &up, Applied: 3}), ShouldBeFalse)
		So(renew(table, at(200), Lease{Node: "n1", Incarnation: 5, Sequence: 3, Applied: 9}), ShouldBeFalse)
		So(renew(table, at(200), Lease{Node: "n1", Incarnation: 4, Sequence: 9, Applied: 9}), ShouldBeFalse)
		So(table.Merge(0, []RemoteLease{{Lease{Node: "n2", Incarnation: 1, Sequence: 1, Applied: 4}, time.Hour}}), ShouldResemble, []string{"n2"})
		So(table.Merge(0, []RemoteLease{{Lease{Node: "n2", Incarnation: 1, Sequence: 1, Applied: 9}, time.Hour}}), ShouldBeEmpty)
		So([]int{table.MembersBehind(3), table.MembersBehind(4), table.MembersBehind(5)}, ShouldResemble, []int{0, 1, 2})
		table.Expire(at(2399))
		So(table.Members(), ShouldEqual, 2)
		table.Expire(at(2400))
		So(table.Members(), ShouldEqual, 1)
		table.Expire(at(2500))
		So([]int{table.Members(), table.PeakMembers(at(2500)), table.MembersBehind(9)}, ShouldResemble, []int{0, 2, 0})
		table.Expire(at(33000))
		So(table.PeakMembers(at(33000)), ShouldEqual, 0)
		So(renew(table, at(33000), Lease{Node: "n1", Incarnation: 5, Sequence: 3}), ShouldBeFalse)
		So(renew(table, at(33000), Lease{Node: "n1", Incarnation: 6, Sequence: 1}), ShouldBeTrue)
		So(table.Members(), ShouldEqual, 1)
	})
	Convey("A lapsed lease leaves a stale upstream for 20 s; one that left leaves none", t, func() {
		table, up := New(1), upstream("a", 1)
		renew(table, 0, Lease{Node: "n1", Incarnation: 1, Sequence: 1, Upstream: &up})
		table.Expire(LeaseTTL)
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 ready?")
		renew(table, LeaseTTL, Lease{Node: "n1", Incarnation: 1, Sequence: 2, Upstream: &up})
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 ready")
		table.Expire(2*LeaseTTL + StaleTTL - 1)
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 ready?")
		table.Expire(2*LeaseTTL + StaleTTL)
		So(show(table, 0), ShouldEqual, "")
		renew(table, at(30000), Lease{Node: "n1", Incarnation: 1, Sequence: 3, Upstream: &up})
		So(renew(table, at(30000), Lease{Node: "n1", Incarnation: 1, Sequence: 4, Upstream: &up, Left: true}), ShouldBeTrue)
		So(show(table, 0)+fmt.Sprint(table.Members()), ShouldEqual, "0")
		// Nothing of the life that left is taken, nor an old beat of its upstream; a later one is.
		So(renew(table, at(30000), Lease{Node: "n1", Incarnation: 1, Sequence: 5, Upstream: &up}), ShouldBeFalse)
		renew(table, at(30000), Lease{Node: "n1", Incarnation: 2, Sequence: 1, Upstream: &up})
		So(show(table, 0)+fmt.Sprint(table.Members()), ShouldEqual, "1")
		up.Sequence = 2
		renew(table, at(30000), Lease{Node: "n1", Incarnation: 2, Sequence: 2, Upstream: &up})
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 ready")
	})
	Convey("Within an instance the later beat wins, a new instance replaces the old, and the deregistered stay away", t, func() {
		table, up := New(1), upstream("a", 5)
		renew(table, 0, Lease{Node: "n1", Incarnation: 1, Sequence: 1, Upstream: &up})
		direct := Upstream{Instance: "a", Service: "s1", Address: "10.0.0.1:80", State: Draining, Sequence: 4}
		So(beat(table, 0, direct), ShouldBeFalse)
		direct.Sequence = 6
		So(beat(table, 0, direct), ShouldBeTrue)
		renew(table, at(10), Lease{Node: "n1", Incarnation: 1, Sequence: 2, Upstream: &up})
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		// A sidecar that is behind its upstream's beats still vouches for it.
		table.Expire(LeaseTTL + at(9))
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		// The next instance at the address stands beside the same sidecar; the one before does not push it out.
		So(beat(table, at(20), Upstream{Instance: "b", Service: "s1", Address: "10.0.0.1:80", Sequence: 1}), ShouldBeTrue)
		So(show(table, 0), ShouldEqual, "b@10.0.0.1:90 ready")
		direct.Sequence = 7
		So(beat(table, at(30), direct), ShouldBeFalse)
		renew(table, at(30), Lease{Node: "n1", Incarnation: 1, Sequence: 3, Upstream: &up})
		So(table.RelayedHeartbeat(at(30), Upstream{Instance: "c", Service: "s1", Address: "10.0.0.1:80", Sequence: 1}, 0), ShouldBeFalse)
		So(show(table, 0), ShouldEqual, "b@10.0.0.1:90 ready")
		// Once nobody vouches for b, a later beat of a shows that b was taken for alive wrongly.
		table.Expire(at(3000))
		So(beat(table, at(3000), direct), ShouldBeTrue)
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		So(beat(table, at(3000), Upstream{Instance: "a", State: Deregistered}), ShouldBeTrue)
		direct.Sequence = 99
		So(beat(table, at(3001), direct), ShouldBeFalse)
		table.Expire(at(3000) + TombstoneTTL - 1)
		So(beat(table, at(3000)+TombstoneTTL-1, direct), ShouldBeFalse)
		So(show(table, 0), ShouldEqual, "")
	})
	Convey("A warm-up runs down by the table's clock and is a change only when it starts anew", t, func() {
		table, up := New(1), upstream("a", 1)
		up.WarmupRemaining = 10
		renew(table, 0, Lease{Node: "n1", Incarnation: 1, Sequence: 1, Upstream: &up})
		So(table.Upstreams(at(4000))[0].WarmupRemaining, ShouldEqual, 6)
		up.Sequence, up.WarmupRemaining = 2, 8.2
		So(renew(table, at(2000), Lease{Node: "n1", Incarnation: 1, Sequence: 2, Upstream: &up}), ShouldBeFalse)
		So(table.Number(), ShouldEqual, 1)
		up.Sequence, up.WarmupRemaining = 3, 10
		So(renew(table, at(4000), Lease{Node: "n1", Incarnation: 1, Sequence: 3, Upstream: &up}), ShouldBeTrue)
		So(table.Number(), ShouldEqual, 2)
		// A renewal that repeats the beat says nothing new of the warm-up.
		So(renew(table, at(6000), Lease{Node: "n1", Incarnation: 1, Sequence: 4, Upstream: &up}), ShouldBeFalse)
		So(table.Upstreams(at(6000))[0].WarmupRemaining, ShouldEqual, 8)
	})
	Convey("A renewal extends only what it is a renewal of", t, func() {
		here, there, up := New(1), New(2), upstream("a", 1)
		renew(here, 0, Lease{Node: "n1", Incarnation: 1, Sequence: 1, Upstream: &up})
		renew(here, at(800), Lease{Node: "n1", Incarnation: 1, Sequence: 2, Upstream: &up})
		r, _ := here.Renewal(at(900), "n1")
		So(r, ShouldResemble, Renewal{"n1", 1, 2, 1, at(2300)})
		newer, unknown := there.Extend(at(50), []Renewal{r})
		So(append(newer, unknown...), ShouldResemble, []string{"n1"})
		whole, _ := here.RemoteLease(at(900), "n1")
		So(there.Merge(at(50), []RemoteLease{whole}), ShouldResemble, []string{"n1"})
		r.Sequence, r.Remaining = 3, LeaseTTL
		newer, unknown = there.Extend(at(1000), []Renewal{r, r})
		So([]int{len(newer), len(unknown)}, ShouldResemble, []int{1, 0})
		there.Expire(at(3399))
		So(show(there, 0), ShouldEqual, "a@10.0.0.1:90 ready")
		r.Sequence, r.ContentSequence = 5, 4
		newer, unknown = there.Extend(at(1000), []Renewal{r})
		So([]int{len(newer), len(unknown)}, ShouldResemble, []int{0, 1})
	})
	Convey("Whoever follows the numbers holds what the table holds, however far behind, and only what is wanted", t, func() {
		random := rand.New(rand.NewPCG(7, 11))
		table, now := New(9), time.Duration(0)
		type reader struct {
			keep          func(string) bool
			epoch, number uint64
			held          map[string]Upstream
		}
		readers := []*reader{{}, {}, {keep: func(s string) bool { return s == "s1" }}}
		fulls := 0
		for step := range 6000 {
			now += time.Duration(random.IntN(150)) * time.Millisecond
			node := fmt.Sprint("n", random.IntN(12))
			up := upstream(fmt.Sprint(node, "-", random.IntN(3)), int64(step))
			up.Address, up.Service, up.State = node, fmt.Sprint("s", random.IntN(3)), State(random.IntN(20)/18)
			switch random.IntN(40) {
			case 0:
				up.State = Deregistered
				beat(table, now, up)
			case 1:
				now += LeaseTTL
			case 2:
				renew(table, now, Lease{Node: node, Incarnation: uint64(step + 1), Sequence: 1, Left: true})
			default:
				renew(table, now, Lease{Node: node, Incarnation: uint64(step + 1), Sequence: 1, Upstream: &up})
			}
			table.Expire(now)
			for i, r := range readers {
				if random.IntN([]int{1, 1500, 4}[i]) > 0 {
					continue
				}
				news := table.Since(now, r.epoch, r.number, r.keep)
				if news.Full {
					fulls++
					r.held = map[string]Upstream{}
				}
				for _, u := range news.Upserts {
					r.held[u.Instance] = u
				}
				for _, gone := range news.Removals {
					delete(r.held, gone.Instance)
				}
				r.epoch, r.number = news.Epoch, news.Number
				want := map[string]bool{}
				for _, u := range table.Upstreams(now) {
					if r.keep != nil && !r.keep(u.Service) {
						continue
					}
					want[u.Instance] = true
					held := r.held[u.Instance]
					if !sameExceptWarmup(&held, &u) {
						t.Fatalf("step %d, reader %d: holds %+v, not %+v", step, i, held, u)
					}
				}
				if len(want) != len(r.held) {
					t.Fatalf("step %d, reader %d: holds %d upstreams, not %d", step, i, len(r.held), len(want))
				}
			}
		}
		So(fulls, ShouldBeGreaterThan, 3)
		So(fulls, ShouldBeLessThan, 20)
	})
	Convey("What no table should take is refused, also when there are too many names", t, func() {
		table := New(1)
		for _, l := range []Lease{
			{}, {Node: "n", Incarnation: 1}, {Node: strings.Repeat("n", maxName+1), Incarnation: 1, Sequence: 1},
			{Node: "n", Incarnation: 1, Sequence: 1, Upstream: &Upstream{Instance: "a"}},
			{Node: "n", Incarnation: 1, Sequence: 1, Upstream: &Upstream{Instance: "a", Service: "s", Slots: -1}},
			{Node: "n", Incarnation: 1, Sequence: 1, Upstream: &Upstream{Instance: "a", Service: "s", WarmupRemaining: 1e300}},
			{Node: "n", Incarnation: 1, Sequence: 1, Upstream: &Upstream{Instance: "a", Service: "s", State: 7}},
		} {
			_, err := table.Renew(0, l)
			So(errs.KindOf(err), ShouldEqual, errs.Invalid)
			So(table.Merge(0, []RemoteLease{{Lease: l}}), ShouldBeEmpty)
		}
		for i := range MaxLeases {
			_, _ = table.Renew(0, Lease{Node: fmt.Sprint(i), Incarnation: 1, Sequence: 1})
		}
		_, err := table.Renew(0, Lease{Node: "one more", Incarnation: 1, Sequence: 1})
		So(errs.KindOf(err), ShouldEqual, errs.Busy)
		_, err = table.Renew(0, Lease{Node: "7", Incarnation: 1, Sequence: 2})
		So(err, ShouldBeNil)
	})
}
