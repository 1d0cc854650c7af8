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

// settings returns the settings of the sidecar with the number self. balancers is the configured number of sidecars.
func settings(self, balancers int, peers ...string) *config.Config {
	return &config.Config{
		PeersAllowed: true, PeerListen: "127.0.0.1:0", Peers: peers,
		Policy: policy.Config{Index: self, Balancers: balancers}, Seed: uint64(7 + self),
	}
}

// discardLog returns a logger without output.
func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func TestInvalidSettingsAreRejected(t *testing.T) {
	file := &config.Fleet{Path: "fleet.toml", Name: "hives"}
	for want, edit := range map[string]func(c *config.Config, f *config.Fleet){
		"settings.caps.peers":    func(c *config.Config, _ *config.Fleet) { c.PeersAllowed = false },
		"peer_listen is missing": func(c *config.Config, _ *config.Fleet) { c.PeerListen = "" },
		"peer_listen":            func(c *config.Config, _ *config.Fleet) { c.PeerListen = "here:1" },
		"settings.me":            func(c *config.Config, _ *config.Fleet) { c.Policy.Index = 3 },
		"settings.balancers":     func(c *config.Config, _ *config.Fleet) { c.Policy.Balancers = 4 },
		"peers[1]":               func(c *config.Config, _ *config.Fleet) { c.Peers[1] = c.Peers[0] },
		"fleet_bytes_per_second": func(_ *config.Config, f *config.Fleet) { f.BytesPerSecond = 600 },
		"clock_error":            func(_ *config.Config, f *config.Fleet) { f.ClockError = 0.5 },
	} {
		cfg, edited := settings(0, 3, "127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"), *file
		edit(cfg, &edited)
		if _, err := New(cfg, &edited, discardLog()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New returned error %v, want one that contains %s", err, want)
		}
	}
}

// Of two sidecars with the same number, the one that has the configured address takes part, and the other one never
// gets into contact, because its datagrams are dropped. The three sidecars that run also replace the configured number
// of two in Sidecars, from which budgets are computed.
func TestDuplicateNumberIsIgnored(t *testing.T) {
	var peers []string
	for range 3 {
		peers = append(peers, testbed.FreeAddress(t))
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{}, 4)
	var fleets []*Fleet
	for i, self := range []int{0, 1, 2, 2} {
		cfg := settings(self, 2, peers...)
		if i < 3 {
			cfg.PeerListen = peers[self]
		}
		f, err := New(cfg, &config.Fleet{Name: "hives"}, discardLog())
		if err != nil {
			t.Fatal(err)
		}
		fleets = append(fleets, f)
		if f.InContact() || f.Sidecars() != 2 {
			t.Errorf("before Run: in contact %v, %d sidecars, want false and 2", f.InContact(), f.Sidecars())
		}
		go func() {
			f.Run(ctx)
			done <- struct{}{}
		}()
	}
	testbed.Until(t, "the first three sidecars to be in contact", func() bool {
		return fleets[0].InContact() && fleets[1].InContact() && fleets[2].InContact() && fleets[0].Sidecars() == 3
	})
	if fleets[3].InContact() {
		t.Error("the fourth sidecar, whose number is used by the third, is in contact")
	}
	if view := fleets[0].View(); view.Link.Address == 0 {
		t.Errorf("no datagram was dropped for its address: %+v", view.Link)
	}
	if peers := fleets[0].Metrics(); peers.Members["alive"] != 2 || !peers.Contact || peers.Dropped == 0 {
		t.Errorf("metrics %+v, want two alive members, contact, and dropped datagrams", peers)
	}
	var text strings.Builder
	view := fleets[0].View()
	if err := view.Text(&text); err != nil || strings.Count(text.String(), "\nmember ") != 2 ||
		!strings.HasPrefix(text.String(), "self 0: in contact") {
		t.Errorf("error %v; the view is\n%s\nwant this sidecar in contact and two members", err, text.String())
	}
	stop()
	for range fleets {
		testbed.Wait(t, "a sidecar to stop", done)
	}
	if fleets[0].InContact() {
		t.Error("the first sidecar is in contact after Run has returned")
	}
}

// While another process uses its peer address, a sidecar waits and does not take part.
func TestWaitsForPeerAddress(t *testing.T) {
	address := testbed.FreeAddress(t)
	var stops []context.CancelFunc
	var fleets []*Fleet
	done := make(chan int, 2)
	for i := range 2 {
		cfg := settings(0, 1, "127.0.0.1:1")
		cfg.PeerListen = address
		f, err := New(cfg, &config.Fleet{Name: "hives"}, discardLog())
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		fleets, stops = append(fleets, f), append(stops, stop)
		go func() {
			f.Run(ctx)
			done <- i
		}()
		if i == 0 {
			testbed.Until(t, "the first process, alone in its fleet, to be in contact", f.InContact)
		}
	}
	if fleets[1].InContact() {
		t.Error("the second process is in contact although the first one has the address")
	}
	stops[0]()
	testbed.Wait(t, "the first process to stop", done)
	testbed.Until(t, "the second process to be in contact", fleets[1].InContact)
	stops[1]()
	testbed.Wait(t, "the second process to stop", done)
}
