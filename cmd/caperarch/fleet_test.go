package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/lab/testbed/fleet"
)

// daemonCommand returns the command that runs the test binary as the daemon.
func daemonCommand() *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "CAPERARCH_ITSELF=1")
	return cmd
}

// startFleet starts a fleet of daemon processes. If the test fails, their logs are written to standard error.
func startFleet(t *testing.T, cfg fleet.Config) *fleet.Fleet {
	t.Helper()
	cfg.Command = daemonCommand
	f := fleet.New(t, cfg)
	t.Cleanup(func() {
		if t.Failed() {
			f.Dump(os.Stderr)
		}
	})
	return f
}

// suspicionsBy returns the lines of a log in which the sidecar with the number by has declared another sidecar suspect
// or gone on its own account.
func suspicionsBy(log string, by int) []string {
	return regexp.MustCompile(fmt.Sprintf(`(?m)^.*state=(?:suspect|gone).* by=%d .*$`, by)).FindAllString(log, -1)
}

const fleetLease = 3 * time.Second // lease duration of the fleet file

// Five processes under load go through a sequence of faults. After each fault the views of all processes agree again,
// and over the whole run the rules of request handling hold (see fleet.Fleet.Check), according to the records of the
// clients and of the upstreams.
func TestFleetOfProcesses(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{Size: 5, Nodes: 4})
	t.Logf("all processes are in contact and agree after %v", f.RequireAgreement(testbed.MaxWait))
	stop := f.Load(150)
	all := func(condition func(i int, v fleet.View) bool, of ...int) func() bool {
		return func() bool {
			for _, i := range of {
				if v, ok := f.Sidecars[i].View(); !ok || !condition(i, v) {
					return false
				}
			}
			return true
		}
	}
	step := func(name string, do func(t *testing.T)) {
		t.Helper()
		t.Run(name, func(t *testing.T) {
			do(t)
			f.Peers.Break(fleet.Faults{}, 1)
			t.Logf("fault repaired: views agree after %v", f.RequireAgreement(testbed.MaxWait))
		})
	}

	step("a process crashes and restarts", func(t *testing.T) {
		f.Sidecars[4].Crash()
		start := time.Now()
		testbed.Until(t, "all to detect the crash", all(func(_ int, v fleet.View) bool {
			return v.State[4] == "gone"
		}, 0, 1, 2, 3))
		if elapsed := time.Since(start); elapsed > 6*time.Second {
			t.Errorf("all processes detected the crash after %v, want at most 6 s", elapsed)
		}
		testbed.Until(t, "the session of the crashed process to end permanently", all(func(_ int, v fleet.View) bool {
			return v.Out[4]
		}, 0, 1, 2, 3))
		f.Sidecars[4].Start()
	})

	step("a process is suspended for 10 s", func(t *testing.T) {
		s := f.Sidecars[1]
		before, _ := s.View()
		s.Stop()
		time.Sleep(10 * time.Second)
		offset := len(s.Log())
		s.Continue()
		v, ok := s.View()
		if !ok || v.Contact || v.Session == before.Session {
			t.Errorf("first view of the resumed process: in contact %v, session %s, want out of contact and not session %s",
				v.Contact, v.Session, before.Session)
		}
		f.RequireAgreement(testbed.MaxWait)
		if found := suspicionsBy(s.Log()[offset:], 1); found != nil {
			t.Errorf("the resumed process suspects other processes: %q", found)
		}
	})

	step("network partition", func(t *testing.T) {
		f.Peers.Break(fleet.Faults{Cut: func(from, to int) bool { return (from < 2) != (to < 2) }}, 1)
		cut := time.Now()
		testbed.Until(t, "the minority to detect that it is out of contact", all(func(_ int, v fleet.View) bool {
			return !v.Contact
		}, 0, 1))
		if elapsed := time.Since(cut); elapsed > fleetLease+2*time.Second {
			t.Errorf("the minority detected that it is out of contact after %v, want at most the lease and 2 s", elapsed)
		}
		// A process whose session others regard as ended must have detected before that it is out of contact.
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for i := 2; i < 5; i++ {
				v, ok := f.Sidecars[i].View()
				for j := range 2 {
					if w, there := f.Sidecars[j].View(); ok && there && v.Out[j] && w.Contact && w.Session == v.Sessions[j] {
						t.Fatalf("process %d regards process %d as out, but process %[2]d is in contact with session %[3]s",
							i, j, w.Session)
					}
				}
			}
		}
		if !all(func(_ int, v fleet.View) bool { return v.Contact && v.State[0] == "gone" && v.Out[1] }, 2, 3, 4)() {
			t.Error("the majority is not in contact, or does not regard the minority as out")
		}
		if !all(func(i int, v fleet.View) bool { return v.State[2] != "gone" && v.State[1-i] == "alive" }, 0, 1)() {
			t.Error("the minority regards the majority as gone")
		}
	})

	step("the datagrams of a process are lost", func(t *testing.T) {
		f.Peers.Break(fleet.Faults{Cut: func(from, _ int) bool { return from == 3 }}, 1)
		testbed.Until(t, "the process to detect that it is out of contact", all(func(_ int, v fleet.View) bool {
			return !v.Contact
		}, 3))
		testbed.Until(t, "the others to detect that it is gone", all(func(_ int, v fleet.View) bool {
			return v.Contact && v.State[3] == "gone"
		}, 0, 1, 2, 4))
	})

	step("datagrams lost, duplicated and reordered, then held back for 3 s", func(t *testing.T) {
		f.Peers.Break(fleet.Faults{Loss: 0.3, Duplicate: 0.2, Delay: 50 * time.Millisecond}, 7)
		time.Sleep(4 * time.Second)
		f.Peers.Hold(3 * time.Second)
		time.Sleep(3500 * time.Millisecond)
	})

	step("all processes restart, without access to upstreams for 1 s", func(t *testing.T) {
		for _, s := range f.Sidecars {
			s.Crash()
		}
		for _, s := range f.Sidecars {
			s.Start()
			s.Partition()
		}
		time.Sleep(time.Second)
		for _, s := range f.Sidecars {
			s.Heal()
		}
	})

	step("a process leaves", func(t *testing.T) {
		f.Sidecars[2].End()
		testbed.Until(t, "the others to receive its announcement", all(func(_ int, v fleet.View) bool {
			return v.State[2] == "left" && v.Out[2]
		}, 0, 1, 3, 4))
		f.Sidecars[2].Start()
	})

	stop()
	tally, violations := f.Check()
	for _, b := range violations {
		t.Error(b)
	}
	t.Logf("requests %+v; datagrams: %d passed, %d lost, %d delayed, %d duplicated; the longest had %d bytes",
		tally, f.Peers.Passed.Load(), f.Peers.Lost.Load(),
		f.Peers.Delayed.Load(), f.Peers.Duplicated.Load(), f.Peers.LargestDatagram.Load())
	if tally.Served < 1000 || f.Peers.Lost.Load() == 0 || f.Peers.Delayed.Load() == 0 || f.Peers.Duplicated.Load() == 0 {
		t.Error("the run was too short: fewer than 1000 requests were served, or a kind of datagram fault did not occur")
	}
	if f.Peers.LargestDatagram.Load() > 256 {
		t.Errorf("the longest datagram had %d bytes, want at most 256", f.Peers.LargestDatagram.Load())
	}
}

// If an upstream stops responding, sidecars report their suspicion to each other, and keep sending requests to the
// other upstreams. This test covers the path from one process to another; package healthgossip tests false reports.
func TestSuspicionsReachOtherProcesses(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{Size: 5, Nodes: 3})
	f.RequireAgreement(testbed.MaxWait)
	stop := f.Load(150)
	f.Nodes[2].Do(testbed.Always(testbed.Hang))
	testbed.Until(t, "every process to receive the suspicion from three others", func() bool {
		for _, s := range f.Sidecars {
			v, ok := s.View()
			if !ok || !strings.Contains(v.Text, "doubted by others: 1") {
				return false
			}
		}
		return true
	})
	f.Nodes[2].Do(testbed.Always(testbed.Serve))
	offset := f.ArrivalLog.Len()
	testbed.Until(t, "the upstream to get requests again", func() bool {
		for _, a := range f.ArrivalLog.All()[offset:] {
			if a.Node == f.Nodes[2].ID {
				return true
			}
		}
		return false
	})
	stop()
	if _, violations := f.Check(); violations != nil {
		t.Error(violations)
	}
}

// During a flood of 50,000 datagrams per second from a sender outside the fleet, requests are served, and the process
// reads no more of the datagrams than its rate limit allows.
func TestFloodOfDatagrams(t *testing.T) {
	f := startFleet(t, fleet.Config{Size: 3, Nodes: 2})
	f.RequireAgreement(testbed.MaxWait)
	stop := f.Load(100)
	host, _, err := net.SplitHostPort(f.Sidecars[0].Listen)
	if err != nil {
		t.Fatal(err)
	}
	to, err := net.Dial("udp", host+":7946")
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	start := time.Now()
	datagram := make([]byte, 200)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for range 200 {
		for range 500 {
			_, _ = to.Write(datagram)
		}
		<-ticker.C
	}
	elapsed := time.Since(start)
	v, ok := f.Sidecars[0].View()
	read := regexp.MustCompile(`address (\d+)`).FindStringSubmatch(v.Text)
	if !ok || read == nil {
		t.Fatalf("peers response has no count of datagrams from unknown addresses: %q", v.Text)
	}
	var dropped int
	_, _ = fmt.Sscan(read[1], &dropped)
	if limit := int(time.Since(start).Seconds()*1250) + 100; dropped == 0 || dropped > limit {
		t.Errorf("the process read %d datagrams of the flood, want 1 to %d", dropped, limit)
	}
	stop()
	tally, violations := f.Check()
	for _, b := range violations {
		t.Error(b)
	}
	if tally.Served < 100 || tally.Refused+tally.Failed > 0 {
		t.Errorf("requests %+v during a flood of %v, want at least 100 served, none rejected and none failed",
			tally, elapsed)
	}
	t.Logf("%d datagrams sent in %v, %d read; requests %+v; views agree after %v",
		100_000, elapsed, dropped, tally, f.RequireAgreement(testbed.MaxWait))
}

// Without a fleet file, the daemon opens no socket for datagrams of other sidecars and rejects the peers call.
func TestNoFleetWithoutFleetFile(t *testing.T) {
	f := startFleet(t, fleet.Config{Size: 1, Nodes: 1, Plain: true})
	pid := f.Sidecars[0].PID()
	if raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/udp", pid)); err != nil {
		t.Error(err)
	} else if host, _, _ := net.SplitHostPort(f.Sidecars[0].Listen); strings.Contains(
		string(raw), hexAddress(host)+":1F0A",
	) {
		t.Error("the daemon has an open UDP socket for datagrams of other sidecars")
	}
	if response, _ := testbed.Operate(
		strings.Replace(f.Sidecars[0].Listen, ":8080", ":8081", 1), "peers",
	); !strings.HasPrefix(response, "400 ") {
		t.Errorf("response to peers is %q, want 400", response)
	}
}

// hexAddress returns an IPv4 address in the format of /proc/PID/net/udp.
func hexAddress(host string) string {
	b := net.ParseIP(host).To4()
	return fmt.Sprintf("%02X%02X%02X%02X", b[3], b[2], b[1], b[0])
}
