package policy

import (
	"slices"
	"testing"
	"time"
)

// inOrderConfig is a config with one class whose requests of a key run in order.
func inOrderConfig(settle time.Duration) Config {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:1]
	cfg.Classes[0].InOrder, cfg.KeyBlockTime, cfg.Slots = true, settle, 20
	return cfg
}

// Rule 5: one at a time for a key, in order of arrival; requests of other keys and without a key go on.
func TestRequestsOfOneKeyRunInOrder(t *testing.T) {
	b, h := start(t, inOrderConfig(100*ms), ready(1, 2, 3))
	for id := range RequestID(3) {
		b.Request(0, Request{ID: id, Key: 9, TimeLeft: 2 * time.Second})
	}
	b.Request(0, Request{ID: 3, Key: 8, TimeLeft: 2 * time.Second})
	b.Request(0, Request{ID: 4, TimeLeft: 2 * time.Second})
	if got := sentIDs(h); !slices.Equal(got, []RequestID{0, 3, 4}) {
		t.Fatalf("sent %v, want the first of each key", got)
	}
	end(b, 10*ms, 0, 0, NotProcessed) // its own further try is not delayed, and nothing passes it
	end(b, 20*ms, 0, 1, Served)
	if got := sentIDs(h); !slices.Equal(got, []RequestID{0, 3, 4, 0, 1}) {
		t.Fatalf("sent %v, want 0 again and then 1", got)
	}
	b.ClientGone(30*ms, 1)
	b.Wake(40 * ms)
	if got := sentIDs(h); len(got) != 5 {
		t.Fatalf("sent %v though the attempt of 1 is still out", got)
	}
	end(b, 50*ms, 1, 0, Cancelled)
	b.Wake(140 * ms)
	if got := sentIDs(h); len(got) != 5 {
		t.Fatalf("sent %v though the cancelled attempt may still run", got)
	}
	b.Wake(160 * ms)
	if got := sentIDs(h); !slices.Equal(got, []RequestID{0, 3, 4, 0, 1, 2}) {
		t.Fatalf("sent %v, want 2 once the key has rested", got)
	}
}

// Guards against requests that wait for their key and block the queue.
func TestOneKeyDoesNotBlockOthers(t *testing.T) {
	cfg := inOrderConfig(0)
	cfg.Tenants, cfg.Slots = nil, 10 // two queue places
	b, h := start(t, cfg, ready(1, 2))
	for id := range RequestID(2) {
		b.Request(0, Request{ID: id, Key: 9, TimeLeft: 2 * time.Second})
	}
	for id := RequestID(2); b.Counters().Queued < 2; id++ {
		b.Request(0, Request{ID: id, TimeLeft: 2 * time.Second})
	}
	n := len(h.sends)
	end(b, ms, h.sends[n-1].id, 0, Served)
	if len(h.sends) != n+1 || h.sends[n].id == 1 {
		t.Fatalf("sends %+v, want the one behind the key", h.sends[n:])
	}
}

// sentIDs returns the requests of the sends, in order.
func sentIDs(h *fakeHost) (ids []RequestID) {
	for _, s := range h.sends {
		ids = append(ids, s.id)
	}
	return ids
}
