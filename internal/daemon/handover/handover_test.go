package handover

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/lab/testbed/damage"
	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

const damages = 10_000 // of a record, in memory

func TestDecisions(t *testing.T) {
	m := &Machine{}
	step := func(s Observation, want Action) {
		t.Helper()
		if got := m.Decide(s); got != want {
			t.Errorf("%+v: %+v, want %+v", s, got, want)
		}
	}
	// It does not serve yet, so it has nothing to tell.
	step(Observation{HasSeat: true, Newcomer: true, LatestArrival: "x"}, Action{ProcessCount: 2})
	m.Serving()
	step(Observation{HasSeat: true}, Action{ProcessCount: 1})
	step(Observation{HasSeat: true, Newcomer: true, LatestArrival: "a"}, Action{ProcessCount: 2, WriteRecordFor: "a"})
	step(Observation{HasSeat: true, Newcomer: true, LatestArrival: "a"}, Action{ProcessCount: 2})                      // told once
	step(Observation{HasSeat: true, LatestArrival: "a"}, Action{ProcessCount: 1})                                      // the newcomer died
	step(Observation{HasSeat: true, Newcomer: true, LatestArrival: "b"}, Action{ProcessCount: 2, WriteRecordFor: "b"}) // the next one
	m.Leaving()
	step(Observation{HasSeat: true, Newcomer: true, LatestArrival: "c"}, Action{ProcessCount: 2}) // the one that stays tells
	step(Observation{HasSeat: true, Newcomer: true, HoldsFewConns: true},
		Action{ProcessCount: LeavingDivisor, ReleaseSeat: true})
	step(Observation{}, Action{ProcessCount: LeavingDivisor, ReleaseSeat: true}) // for good
	m = &Machine{ID: "b"}
	m.Serving()
	step(Observation{LatestArrival: "b"}, Action{ProcessCount: 2})                      // the older lives, and this is its own mark
	step(Observation{LatestArrival: "c"}, Action{ProcessCount: 2, WriteRecordFor: "c"}) // one more comes before the older is gone
	step(Observation{HasSeat: true, LatestArrival: "c"}, Action{ProcessCount: 1})
}

func open(t *testing.T, dir string) *Seat {
	t.Helper()
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// Three replacements in a row, and newcomers that die at every step: whoever lives ends up with the seat, and
// what was told reaches the one it was meant for.
func TestThreeReplacementsInARow(t *testing.T) {
	dir := t.TempDir()
	old := open(t, dir)
	for range 3 {
		dead := open(t, dir)
		if seen := old.Observe(); !seen.HasSeat || !seen.Newcomer || seen.LatestArrival != dead.ID() {
			t.Fatalf("the old one sees %+v, the newcomer is %s", seen, dead.ID())
		}
		dead.Close() // killed before its yes
		if seen := old.Observe(); seen.Newcomer {
			t.Fatal("a dead newcomer is seen")
		}
		newcomer := open(t, dir)
		if seen := newcomer.Observe(); seen.HasSeat {
			t.Fatal("two have the seat")
		}
		r := &Record{Pools: map[string]Pool{"": {Version: 7, Delisted: []policy.ServerID{1 << 63}}}}
		if err := old.WriteRecord(old.Observe().LatestArrival, r); err != nil {
			t.Fatal(err)
		}
		got, err := newcomer.AwaitRecord(testbed.MaxWait)
		if err != nil || got.Pools[""].Version != 7 || got.Pools[""].Delisted[0] != 1<<63 {
			t.Fatalf("%+v, %v", got, err)
		}
		old.Close()
		if seen := newcomer.Observe(); !seen.HasSeat || seen.Newcomer {
			t.Fatalf("the old one is gone, the newcomer sees %+v", seen)
		}
		old = newcomer
	}
}

func TestRecord(t *testing.T) {
	l := call.ServerList{Version: 3, Full: true, Servers: []policy.Server{
		{ID: 1<<64 - 1, State: policy.Ready, Weight: 1, Started: time.Duration(1<<62 + 1)},
		{ID: 2, State: policy.Draining, Weight: 2, Zone: -1},
	}, Addresses: map[policy.ServerID]string{1<<64 - 1: "127.0.0.1:1", 2: "127.0.0.1:2"}}
	raw, err := (&Record{Pools: map[string]Pool{"": NewPool(l, nil)}}).encode("m")
	if err != nil {
		t.Fatal(err)
	}
	r, err := decode(raw, "m")
	if err != nil {
		t.Fatal(err)
	}
	if got := r.Pools[""].ServerList(); got.Version != 3 || len(got.Servers) != 2 || got.Servers[0] != l.Servers[0] ||
		got.Servers[1] != l.Servers[1] || got.Addresses[2] != "127.0.0.1:2" {
		t.Errorf("%+v", got)
	}
	for n := range raw {
		if _, err := decode(raw[:n], "m"); err == nil {
			t.Fatalf("cut at %d it was taken", n)
		}
	}
	source := damage.NewSource(t, 64)
	for range damage.Rounds(damages) {
		bad, how := source.Of(raw)
		if got, err := decode(bad, "m"); err == nil && !reflect.DeepEqual(got, r) {
			t.Errorf("%s: taken", how)
		}
	}
	dir := t.TempDir()
	open(t, dir)
	newcomer := open(t, dir)
	if _, err := newcomer.AwaitRecord(20 * time.Millisecond); err != ErrNoRecord {
		t.Errorf("missing: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, recordName), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := newcomer.AwaitRecord(20 * time.Millisecond); err != ErrNoRecord {
		t.Errorf("another's: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, recordName), raw[:len(raw)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := newcomer.AwaitRecord(testbed.MaxWait); err == nil || err == ErrNoRecord {
		t.Errorf("cut: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, recordName), make([]byte, maxRecordBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := newcomer.AwaitRecord(testbed.MaxWait); !errors.Is(err, errCorrupt) {
		t.Errorf("too long: %v", err)
	}
}

// With steering all new connections go to the one that came last, and after its predecessor's end still;
// without it both get some.
func TestNewConnectionsGoToTheLatestProcess(t *testing.T) {
	for _, steeringDisabled = range []bool{false, true} {
		first, steered, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		second, _, err := Listen(first.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if steered == steeringDisabled {
			t.Fatalf("steered %v", steered)
		}
		count := make(chan int, 1000)
		for i, l := range []net.Listener{first, second} {
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					c.Close()
					count <- i
				}
			}()
		}
		dial := func() (got [2]int) {
			for range 64 {
				c, err := net.Dial("tcp", first.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				got[testbed.Wait(t, "a connection", count)]++
			}
			return got
		}
		if got := dial(); steeringDisabled == (got[0] == 0) {
			t.Errorf("plain %v: %v", steeringDisabled, got)
		}
		first.Close()
		if got := dial(); got[1] != 64 {
			t.Errorf("plain %v, the first closed: %v", steeringDisabled, got)
		}
		second.Close()
	}
	steeringDisabled = false
}
