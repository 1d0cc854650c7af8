package policy

import (
	"math"
	"testing"
	"time"
)

func TestServersTakeTurnsByWeight(t *testing.T) {
	list := readyList(1, 2, 3)
	list[2].Weight = 2
	b, h := start(t, testConfig(), list)
	for id := range RequestID(40) {
		now := time.Duration(id) * 20 * ms
		submit(b, now, id, idempotentClass)
		end(b, now+10*ms, id, 0, Served)
	}
	if n := h.sentTo(3); n < 19 || n > 21 || h.sentTo(1)-h.sentTo(2) > 1 || h.sentTo(2)-h.sentTo(1) > 1 {
		t.Fatalf("turns of servers 1, 2, 3: %d %d %d, want 10 10 20, each within 1", h.sentTo(1), h.sentTo(2), h.sentTo(3))
	}
	if c := b.Counters(); c.Ordinary != 40 {
		t.Fatalf("Counters.Ordinary is %d after 40 requests, want 40", c.Ordinary)
	}
}

func TestUnusableWeightsMeanEqualTurns(t *testing.T) {
	list := []Server{{ID: 1, State: Ready}, {ID: 2, State: Ready, Weight: math.NaN()}}
	b, h := start(t, testConfig(), list)
	for id := range RequestID(10) {
		now := time.Duration(id) * 20 * ms
		submit(b, now, id, idempotentClass)
		end(b, now+10*ms, id, 0, Served)
	}
	if n := h.sentTo(1); n < 4 || n > 6 {
		t.Fatalf("turns of servers 1 and 2: %d %d, want 5 5, each within 1", h.sentTo(1), h.sentTo(2))
	}
}

// Guards against a zone with more traffic than its own servers can serve. Servers of other zones have fewer turns, as
// crossing zones has a price.
func TestServersOfOtherZonesHaveFewerTurns(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZonePrice, cfg.Zone = 0.02, 1
	list := readyList(1, 2, 3, 4)
	list[2].Zone, list[3].Zone = 1, 1
	b, h := start(t, cfg, list)
	for id := range RequestID(300) {
		submit(b, time.Duration(id)*20*ms, id, idempotentClass)
		end(b, time.Duration(id)*20*ms+5*ms, id, 0, Served)
	}
	if remote := h.sentTo(1) + h.sentTo(2); remote < 50 || remote > 70 || b.Counters().Crossed != uint64(remote) {
		t.Fatalf("%d of 300 sends to the other zone, %d counted; want about 60", remote, b.Counters().Crossed)
	}
}
