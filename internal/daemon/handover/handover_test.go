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

const damages = 10_000 // number of random damages that TestRecord applies to a record in memory

// StateMachine returns the expected process count, record and release for each observation of a replacement.
func TestDecisions(t *testing.T) {
	m := &StateMachine{}
	step := func(s Observation, want Action) {
		t.Helper()
		if got := m.Decide(s); got != want {
			t.Errorf("observation %+v: action %+v, want %+v", s, got, want)
		}
	}
	// A process that does not serve yet writes no record.
	step(Observation{IsPrimary: true, HasSuccessor: true, LatestSuccessorID: "x"}, Action{ProcessCount: 2})
	m.SetServing()
	step(Observation{IsPrimary: true}, Action{ProcessCount: 1})
	step(Observation{IsPrimary: true, HasSuccessor: true, LatestSuccessorID: "a"},
		Action{ProcessCount: 2, WriteRecordFor: "a"})
	// The record for a successor is written once.
	step(Observation{IsPrimary: true, HasSuccessor: true, LatestSuccessorID: "a"}, Action{ProcessCount: 2})
	// Successor a ended.
	step(Observation{IsPrimary: true, LatestSuccessorID: "a"}, Action{ProcessCount: 1})
	// Successor b started.
	step(Observation{IsPrimary: true, HasSuccessor: true, LatestSuccessorID: "b"},
		Action{ProcessCount: 2, WriteRecordFor: "b"})
	m.SetLeaving()
	// Successor c started; the remaining process b writes its record.
	step(Observation{IsPrimary: true, HasSuccessor: true, LatestSuccessorID: "c"}, Action{ProcessCount: 2})
	step(Observation{IsPrimary: true, HasSuccessor: true, HoldsFewConns: true},
		Action{ProcessCount: LeavingDivisor, ReleaseLocks: true})
	// The release is permanent.
	step(Observation{}, Action{ProcessCount: LeavingDivisor, ReleaseLocks: true})
	m = &StateMachine{ID: "b"}
	m.SetServing()
	// The older process lives, and the latest successor is this process.
	step(Observation{LatestSuccessorID: "b"}, Action{ProcessCount: 2})
	// Successor c started before the older process ended.
	step(Observation{LatestSuccessorID: "c"}, Action{ProcessCount: 2, WriteRecordFor: "c"})
	step(Observation{IsPrimary: true, LatestSuccessorID: "c"}, Action{ProcessCount: 1})
}

// open opens the coordinator of a process and closes it at the end of the test.
func open(t *testing.T, dir string) *Coordinator {
	t.Helper()
	c, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// In three consecutive replacements, with a successor that dies before it serves in each of them, the surviving
// successor becomes the primary, and the record reaches the successor for which it was written.
func TestThreeConsecutiveReplacements(t *testing.T) {
	dir := t.TempDir()
	old := open(t, dir)
	for range 3 {
		dead := open(t, dir)
		if seen := old.Observe(); !seen.IsPrimary || !seen.HasSuccessor || seen.LatestSuccessorID != dead.ID() {
			t.Fatalf("the old process observes %+v, want itself as primary and successor %s", seen, dead.ID())
		}
		dead.Close() // the successor dies before it serves
		if seen := old.Observe(); seen.HasSuccessor {
			t.Fatal("the old process observes a successor, but the successor is dead")
		}
		successor := open(t, dir)
		if seen := successor.Observe(); seen.IsPrimary {
			t.Fatal("the successor is a primary while the old process lives")
		}
		r := &Record{Pools: map[string]Pool{"": {Version: 7, Delisted: []policy.ServerID{1 << 63}}}}
		if err := old.WriteRecord(old.Observe().LatestSuccessorID, r); err != nil {
			t.Fatal(err)
		}
		got, err := successor.AwaitRecord(testbed.MaxWait)
		if err != nil || got.Pools[""].Version != 7 || got.Pools[""].Delisted[0] != 1<<63 {
			t.Fatalf("the successor got record %+v, error %v, want the record that the old process wrote", got, err)
		}
		old.Close()
		if seen := successor.Observe(); !seen.IsPrimary || seen.HasSuccessor {
			t.Fatalf("after the end of the old process the successor observes %+v, want itself as primary", seen)
		}
		old = successor
	}
}

// A record is decoded as it was encoded. A truncated, damaged, missing or too long record, or a record for another
// process, is never accepted.
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
		t.Errorf("decoded list is %+v, want the encoded list", got)
	}
	for n := range raw {
		if _, err := decode(raw[:n], "m"); err == nil {
			t.Fatalf("record truncated to %d bytes was decoded without an error", n)
		}
	}
	source := damage.NewSource(t, 64)
	for range damage.Rounds(damages) {
		bad, how := source.Of(raw)
		if got, err := decode(bad, "m"); err == nil && !reflect.DeepEqual(got, r) {
			t.Errorf("damage %s: record was decoded without an error", how)
		}
	}
	dir := t.TempDir()
	open(t, dir)
	successor := open(t, dir)
	if _, err := successor.AwaitRecord(20 * time.Millisecond); err != ErrNoRecord {
		t.Errorf("missing record: error %v, want ErrNoRecord", err)
	}
	if err := os.WriteFile(filepath.Join(dir, recordName), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := successor.AwaitRecord(20 * time.Millisecond); err != ErrNoRecord {
		t.Errorf("record for another process: error %v, want ErrNoRecord", err)
	}
	if err := os.WriteFile(filepath.Join(dir, recordName), raw[:len(raw)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := successor.AwaitRecord(testbed.MaxWait); err == nil || err == ErrNoRecord {
		t.Errorf("truncated record: error %v, want an error other than ErrNoRecord", err)
	}
	if err := os.WriteFile(filepath.Join(dir, recordName), make([]byte, maxRecordBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := successor.AwaitRecord(testbed.MaxWait); !errors.Is(err, errCorrupt) {
		t.Errorf("record over the maximum length: error %v, want errCorrupt", err)
	}
}

// With steering, all new connections go to the process that started last, also after the older process has closed its
// listener. Without steering, both processes get connections.
func TestNewConnectionsGoToLatestProcess(t *testing.T) {
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
			t.Fatalf("Listen returned steered %v, want the opposite of steeringDisabled", steered)
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
			t.Errorf("steering disabled %v: connections per process are %v", steeringDisabled, got)
		}
		first.Close()
		if got := dial(); got[1] != 64 {
			t.Errorf("steering disabled %v, first listener closed: connections per process are %v, want all at the second",
				steeringDisabled, got)
		}
		second.Close()
	}
	steeringDisabled = false
}
