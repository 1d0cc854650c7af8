package policy

import (
	"slices"
	"testing"
	"time"
)

// keyOrderConfig returns a Config with one class whose requests of the same key run in order.
func keyOrderConfig(blockTime time.Duration) Config {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:1]
	cfg.Classes[0].InOrder, cfg.KeyBlockTime, cfg.Slots = true, blockTime, 20
	return cfg
}

// Rule 5: requests of one key run one at a time, in order of arrival; requests of other keys and without a key proceed.
func TestRequestsOfOneKeyRunInOrder(t *testing.T) {
	b, h := start(t, keyOrderConfig(100*ms), readyList(1, 2, 3))
	for id := range RequestID(3) {
		b.Request(0, Request{ID: id, Key: 9, TimeLeft: 2 * time.Second})
	}
	b.Request(0, Request{ID: 3, Key: 8, TimeLeft: 2 * time.Second})
	b.Request(0, Request{ID: 4, TimeLeft: 2 * time.Second})
	if got := sentIDs(h); !slices.Equal(got, []RequestID{0, 3, 4}) {
		t.Fatalf("requests sent: %v, want the first of each key and the one without a key: [0 3 4]", got)
	}
	end(b, 10*ms, 0, 0, NotProcessed) // request 0 is retried at once, before request 1
	end(b, 20*ms, 0, 1, Served)
	if got := sentIDs(h); !slices.Equal(got, []RequestID{0, 3, 4, 0, 1}) {
		t.Fatalf("requests sent: %v, want also 0 again and then 1", got)
	}
	b.ClientGone(30*ms, 1)
	b.Wake(40 * ms)
	if got := sentIDs(h); len(got) != 5 {
		t.Fatalf("requests sent: %v, want no other while the attempt of request 1 is in flight", got)
	}
	end(b, 50*ms, 1, 0, Cancelled)
	b.Wake(140 * ms)
	if got := sentIDs(h); len(got) != 5 {
		t.Fatalf("requests sent: %v, want no other while the cancelled attempt may still run", got)
	}
	b.Wake(160 * ms)
	if got := sentIDs(h); !slices.Equal(got, []RequestID{0, 3, 4, 0, 1, 2}) {
		t.Fatalf("requests sent: %v, want also 2 after the key's block time", got)
	}
}

// Guards against requests that wait for their key and block the requests behind them in the queue.
func TestOneKeyDoesNotBlockOthers(t *testing.T) {
	cfg := keyOrderConfig(0)
	cfg.Tenants, cfg.Slots = nil, 10 // two queue slots
	b, h := start(t, cfg, readyList(1, 2))
	for id := range RequestID(2) {
		b.Request(0, Request{ID: id, Key: 9, TimeLeft: 2 * time.Second})
	}
	for id := RequestID(2); b.Counters().Queued < 2; id++ {
		b.Request(0, Request{ID: id, TimeLeft: 2 * time.Second})
	}
	n := len(h.sends)
	end(b, ms, h.sends[n-1].id, 0, Served)
	if len(h.sends) != n+1 || h.sends[n].id == 1 {
		t.Fatalf("sends %+v after a free slot, want the request behind the one that waits for its key", h.sends[n:])
	}
}

// sentIDs returns the requests of all sends, in order.
func sentIDs(h *fakeHost) (ids []RequestID) {
	for _, s := range h.sends {
		ids = append(ids, s.id)
	}
	return ids
}
