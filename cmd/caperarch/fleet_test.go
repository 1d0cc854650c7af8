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

func itself() *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "CAPERARCH_ITSELF=1")
	return cmd
}

// startFleet starts processes of the program; where the test fails, what they logged is shown.
func startFleet(t *testing.T, cfg fleet.Config) *fleet.Fleet {
	t.Helper()
	cfg.Command = itself
	f := fleet.New(t, cfg)
	t.Cleanup(func() {
		if t.Failed() {
			f.Dump(os.Stderr)
		}
	})
	return f
}

// accusations are the changes in a log from some byte on in which a sidecar itself accuses another.
func accusations(log string, by int) []string {
	return regexp.MustCompile(fmt.Sprintf(`(?m)^.*state=(?:suspect|gone).* by=%d .*$`, by)).FindAllString(log, -1)
}

const fleetLease = 3 * time.Second

// Five processes under load, and one thing after the other goes wrong between them. Each time all views are
// equal again in the end, and over all of it the four rules hold by the clients' and the upstreams' own books.
func TestFleetOfProcesses(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{Size: 5, Nodes: 4})
	t.Logf("in contact and agreed after %v", f.RequireAgreement(testbed.MaxWait))
	stop := f.Load(150)
	all := func(holds func(i int, v fleet.View) bool, of ...int) func() bool {
		return func() bool {
			for _, i := range of {
				if v, ok := f.Sidecars[i].View(); !ok || !holds(i, v) {
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
			t.Logf("healed: agreed after %v", f.RequireAgreement(testbed.MaxWait))
		})
	}

	step("one crashes and comes back", func(t *testing.T) {
		f.Sidecars[4].Crash()
		begun := time.Now()
		testbed.Until(t, "the crash to be known", all(func(_ int, v fleet.View) bool { return v.State[4] == "gone" }, 0, 1, 2, 3))
		if took := time.Since(begun); took > 6*time.Second {
			t.Errorf("known to all after %v", took)
		}
		testbed.Until(t, "its session to be over for good", all(func(_ int, v fleet.View) bool { return v.Out[4] }, 0, 1, 2, 3))
		f.Sidecars[4].Start()
	})

	step("one stands still for 10 s", func(t *testing.T) {
		s := f.Sidecars[1]
		before, _ := s.View()
		s.Stop()
		time.Sleep(10 * time.Second)
		mark := len(s.Log())
		s.Continue()
		v, ok := s.View()
		if !ok || v.Contact || v.Session == before.Session {
			t.Errorf("going on, it says before anything else: in contact %v, session %s, which was %s", v.Contact, v.Session, before.Session)
		}
		f.RequireAgreement(testbed.MaxWait)
		if found := accusations(s.Log()[mark:], 1); found != nil {
			t.Errorf("it accuses: %q", found)
		}
	})

	step("cut in two", func(t *testing.T) {
		f.Peers.Break(fleet.Faults{Cut: func(from, to int) bool { return (from < 2) != (to < 2) }}, 1)
		cut := time.Now()
		testbed.Until(t, "the minority to know that it is out of contact", all(func(_ int, v fleet.View) bool { return !v.Contact }, 0, 1))
		if took := time.Since(cut); took > fleetLease+2*time.Second {
			t.Errorf("known after %v", took)
		}
		// Whoever is counted as over for good must have known that before.
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for i := 2; i < 5; i++ {
				v, ok := f.Sidecars[i].View()
				for j := range 2 {
					if w, there := f.Sidecars[j].View(); ok && there && v.Out[j] && w.Contact && w.Session == v.Sessions[j] {
						t.Fatalf("%d counts %d out, which is in contact under %s", i, j, w.Session)
					}
				}
			}
		}
		if !all(func(_ int, v fleet.View) bool { return v.Contact && v.State[0] == "gone" && v.Out[1] }, 2, 3, 4)() {
			t.Error("the majority is not in contact, or does not count the others out")
		}
		if !all(func(i int, v fleet.View) bool { return v.State[2] != "gone" && v.State[1-i] == "alive" }, 0, 1)() {
			t.Error("the minority counts the majority as gone")
		}
	})

	step("nobody hears one of them", func(t *testing.T) {
		f.Peers.Break(fleet.Faults{Cut: func(from, _ int) bool { return from == 3 }}, 1)
		testbed.Until(t, "it to know", all(func(_ int, v fleet.View) bool { return !v.Contact }, 3))
		testbed.Until(t, "the others to know", all(func(_ int, v fleet.View) bool { return v.Contact && v.State[3] == "gone" }, 0, 1, 2, 4))
	})

	step("lost, doubled, out of order, then held", func(t *testing.T) {
		f.Peers.Break(fleet.Faults{Loss: 0.3, Duplicate: 0.2, Delay: 50 * time.Millisecond}, 7)
		time.Sleep(4 * time.Second)
		f.Peers.Hold(3 * time.Second)
		time.Sleep(3500 * time.Millisecond)
	})

	step("all restart at once, cut off from upstreams for a while", func(t *testing.T) {
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

	step("one leaves in order", func(t *testing.T) {
		f.Sidecars[2].End()
		testbed.Until(t, "its word to be heard", all(func(_ int, v fleet.View) bool { return v.State[2] == "left" && v.Out[2] }, 0, 1, 3, 4))
		f.Sidecars[2].Start()
	})

	stop()
	tally, broken := f.Check()
	for _, b := range broken {
		t.Error(b)
	}
	t.Logf("%+v; datagrams passed %d, lost %d, delayed %d, doubled %d, the longest had %d bytes", tally, f.Peers.Passed.Load(), f.Peers.Lost.Load(),
		f.Peers.Delayed.Load(), f.Peers.Duplicated.Load(), f.Peers.LargestDatagram.Load())
	if tally.Served < 1000 || f.Peers.Lost.Load() == 0 || f.Peers.Delayed.Load() == 0 || f.Peers.Duplicated.Load() == 0 {
		t.Error("it was not what it was to be")
	}
	if f.Peers.LargestDatagram.Load() > 256 {
		t.Errorf("a datagram of %d bytes", f.Peers.LargestDatagram.Load())
	}
}

// A server that nobody reaches any more: sidecars tell each other, and none stops sending to those that answer.
// Hints by liars are tested in internal/fleet/healthgossip; here it is that they go all the way from one
// process to another.
func TestSuspicionsReachOtherProcesses(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{Size: 5, Nodes: 3})
	f.RequireAgreement(testbed.MaxWait)
	stop := f.Load(150)
	f.Nodes[2].Do(testbed.Always(testbed.Hang))
	testbed.Until(t, "each to have been told by three others", func() bool {
		for _, s := range f.Sidecars {
			v, ok := s.View()
			if !ok || !strings.Contains(v.Text, "doubted by others: 1") {
				return false
			}
		}
		return true
	})
	f.Nodes[2].Do(testbed.Always(testbed.Serve))
	mark := f.ArrivalLog.Len()
	testbed.Until(t, "it to have requests again", func() bool {
		for _, a := range f.ArrivalLog.All()[mark:] {
			if a.Node == f.Nodes[2].ID {
				return true
			}
		}
		return false
	})
	stop()
	if _, broken := f.Check(); broken != nil {
		t.Error(broken)
	}
}

// Fifty thousand datagrams a second from a stranger: requests are served on, and the process reads no more of
// them than its bound allows.
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
	begun := time.Now()
	junk := make([]byte, 200)
	pace := time.NewTicker(10 * time.Millisecond)
	defer pace.Stop()
	for range 200 {
		for range 500 {
			_, _ = to.Write(junk)
		}
		<-pace.C
	}
	took := time.Since(begun)
	v, ok := f.Sidecars[0].View()
	read := regexp.MustCompile(`address (\d+)`).FindStringSubmatch(v.Text)
	if !ok || read == nil {
		t.Fatalf("it says nothing: %q", v.Text)
	}
	var dropped int
	_, _ = fmt.Sscan(read[1], &dropped)
	if most := int(time.Since(begun).Seconds()*1250) + 100; dropped == 0 || dropped > most {
		t.Errorf("%d datagrams read, 1 to %d were to be", dropped, most)
	}
	stop()
	tally, broken := f.Check()
	for _, b := range broken {
		t.Error(b)
	}
	if tally.Served < 100 || tally.Refused+tally.Failed > 0 {
		t.Errorf("%+v in a flood of %v", tally, took)
	}
	t.Logf("%d sent in %v, %d read; %+v; settled again after %v", 100_000, took, dropped, tally, f.RequireAgreement(testbed.MaxWait))
}

// Where nothing says so no socket is opened for peers, and nothing is told of them.
func TestNoFleetWithoutItsFile(t *testing.T) {
	f := startFleet(t, fleet.Config{Size: 1, Nodes: 1, Plain: true})
	pid := f.Sidecars[0].PID()
	if raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/udp", pid)); err != nil {
		t.Error(err)
	} else if host, _, _ := net.SplitHostPort(f.Sidecars[0].Listen); strings.Contains(string(raw), hexAddress(host)+":1F0A") {
		t.Error("a socket is open for peers")
	}
	if answer, _ := testbed.Operate(strings.Replace(f.Sidecars[0].Listen, ":8080", ":8081", 1), "peers"); !strings.HasPrefix(answer, "400 ") {
		t.Errorf("peers: %q", answer)
	}
}

// hexAddress is an IPv4 address as the kernel lists it.
func hexAddress(host string) string {
	b := net.ParseIP(host).To4()
	return fmt.Sprintf("%02X%02X%02X%02X", b[3], b[2], b[1], b[0])
}
