package fleet

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"caperarch/internal/daemon/config"
	"caperarch/internal/lab/testbed"
	"caperarch/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func settings(self, balancers int, peers ...string) *config.Config {
	return &config.Config{
		PeersAllowed: true, PeerListen: "127.0.0.1:0", Peers: peers,
		Policy: policy.Config{Index: self, Balancers: balancers}, Seed: uint64(7 + self),
	}
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func TestUnusable(t *testing.T) {
	file := &config.Fleet{Path: "fleet.toml", Name: "hives"}
	for says, edit := range map[string]func(c *config.Config, f *config.Fleet){
		"settings.caps.peers":    func(c *config.Config, _ *config.Fleet) { c.PeersAllowed = false },
		"peer_listen is missing": func(c *config.Config, _ *config.Fleet) { c.PeerListen = "" },
		"peer_listen":            func(c *config.Config, _ *config.Fleet) { c.PeerListen = "here:1" },
		"settings.me":            func(c *config.Config, _ *config.Fleet) { c.Policy.Index = 3 },
		"settings.balancers":     func(c *config.Config, _ *config.Fleet) { c.Policy.Balancers = 4 },
		"peers[1]":               func(c *config.Config, _ *config.Fleet) { c.Peers[1] = c.Peers[0] },
		"fleet_bytes_per_second": func(_ *config.Config, f *config.Fleet) { f.BytesPerSecond = 600 },
		"clock_error":            func(_ *config.Config, f *config.Fleet) { f.ClockError = 0.5 },
	} {
		c, f := settings(0, 3, "127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"), *file
		edit(c, &f)
		if _, err := New(c, &f, quiet()); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%v, want an error that names %s", err, says)
		}
	}
}

// Two of one number: who has the address that the others know is heard, the other one is not, and
// never comes into contact. Three sidecars where the settings tell of two lower budgets.
func TestTwoOfOneNumber(t *testing.T) {
	var peers []string
	for range 3 {
		peers = append(peers, testbed.FreeAddress(t))
	}
	running, stop := context.WithCancel(context.Background())
	done := make(chan struct{}, 4)
	var all []*Fleet
	for i, self := range []int{0, 1, 2, 2} {
		c := settings(self, 2, peers...)
		if i < 3 {
			c.PeerListen = peers[self]
		}
		f, err := New(c, &config.Fleet{Name: "hives"}, quiet())
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, f)
		if f.InContact() || f.Sidecars() != 2 {
			t.Errorf("before it runs: in contact %v, %d sidecars", f.InContact(), f.Sidecars())
		}
		go func() {
			f.Run(running)
			done <- struct{}{}
		}()
	}
	testbed.Until(t, "the three to be in contact", func() bool {
		return all[0].InContact() && all[1].InContact() && all[2].InContact() && all[0].Sidecars() == 3
	})
	if all[3].InContact() {
		t.Error("the fourth, which has a number twice, is in contact")
	}
	if v := all[0].View(); v.Link.Address == 0 {
		t.Errorf("its datagrams were not dropped: %+v", v.Link)
	}
	if p := all[0].Metrics(); p.Members["alive"] != 2 || !p.Contact || p.Dropped == 0 {
		t.Errorf("%+v", p)
	}
	var text strings.Builder
	v := all[0].View()
	if err := v.Text(&text); err != nil || strings.Count(text.String(), "\nmember ") != 2 ||
		!strings.HasPrefix(text.String(), "self 0: in contact") {
		t.Errorf("%v: %s", err, text.String())
	}
	stop()
	for range all {
		testbed.Wait(t, "an end", done)
	}
	if all[0].InContact() {
		t.Error("in contact behind its end")
	}
}

// While another process has the address, it waits, and takes no part.
func TestWaitsForItsAddress(t *testing.T) {
	address := testbed.FreeAddress(t)
	var runs []context.CancelFunc
	var all []*Fleet
	done := make(chan int, 2)
	for i := range 2 {
		c := settings(0, 1, "127.0.0.1:1")
		c.PeerListen = address
		f, err := New(c, &config.Fleet{Name: "hives"}, quiet())
		if err != nil {
			t.Fatal(err)
		}
		running, stop := context.WithCancel(context.Background())
		all, runs = append(all, f), append(runs, stop)
		go func() {
			f.Run(running)
			done <- i
		}()
		if i == 0 {
			testbed.Until(t, "one alone to be in contact", f.InContact)
		}
	}
	if all[1].InContact() {
		t.Error("the second is in contact without its address")
	}
	runs[0]()
	testbed.Wait(t, "the first to end", done)
	testbed.Until(t, "the second to have the address", all[1].InContact)
	runs[1]()
	testbed.Wait(t, "the second to end", done)
}
