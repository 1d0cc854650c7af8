package policy

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestUnknownAndRepeatedEventsAreIgnored(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1, 2))
	b.Request(0, Request{ID: 1, Class: 99, TimeLeft: time.Second})
	b.Request(0, Request{ID: 2, Class: -1, TimeLeft: time.Second})
	b.Request(0, Request{ID: 3, Tenant: 7, TimeLeft: time.Second})
	b.Request(0, Request{ID: 4, TimeLeft: 0})
	b.Request(0, Request{ID: 5, TimeLeft: -time.Second})
	if len(h.refused) != 5 || len(h.sends) != 0 {
		t.Fatalf("%d invalid requests refused, %d sent; want 5 and 0", len(h.refused), len(h.sends))
	}
	submit(b, 0, 6, idempotentClass)
	submit(b, 0, 6, idempotentClass) // the ID is open already
	end(b, 0, 6, 3, Served)
	end(b, 0, 6, -1, Served)
	end(b, 0, 77, 0, Served)
	b.ClientGone(0, 77)
	b.StreamStarted(77)
	if len(h.sends) != 1 || b.freeSlots(0) != 5 {
		t.Fatalf("%d sends, %d free slots of tenant 0; want 1 and 5", len(h.sends), b.freeSlots(0))
	}
	end(b, ms, 6, 0, Served)
	end(b, ms, 6, 0, Served) // a repeated outcome
	if b.freeSlots(0) != 6 {
		t.Fatalf("%d free slots of tenant 0 after a repeated outcome, want 6", b.freeSlots(0))
	}
}

func TestClientGoneRemovesItsRequestAndFreesTheSlot(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1))
	submit(b, 0, 1, idempotentClass)
	b.ClientGone(ms, 1)
	if len(h.cancelled) != 1 || b.freeSlots(0) != 5 {
		t.Fatal("attempt of a disconnected client was not cancelled, or its slot was freed before the attempt ended")
	}
	end(b, 2*ms, 1, 0, Cancelled)
	if len(h.refused)+len(h.failed) != 0 || len(b.requests) != 0 || b.freeSlots(0) != 6 {
		t.Fatalf("%d answers, %d requests left; want none, and all slots free",
			len(h.refused)+len(h.failed), len(b.requests))
	}
}

func TestStreamedAnswerIsNotCancelled(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1, 2))
	submit(b, 0, 1, idempotentClass)
	b.StreamStarted(1)
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if len(h.refused)+len(h.failed)+len(h.cancelled) != 0 || len(h.sends) != 1 {
		t.Fatal("request that streams its answer was answered, cancelled or sent again")
	}
	b.Outcome(11*time.Second, Outcome{ID: 1, Ending: ConnectionLost, Finished: true})
	if len(b.requests) != 0 {
		t.Fatal("request is still open after its stream has ended")
	}
}

func TestMemoryStaysBounded(t *testing.T) {
	b, _ := start(t, testConfig(), readyList(1, 2))
	for id := range RequestID(20000) {
		now := time.Duration(id) * 5 * ms
		submit(b, now, id, idempotentClass)
		switch id % 3 {
		case 0:
			end(b, now+ms, id, 0, Served)
		case 1:
			b.ClientGone(now+ms, id)
			end(b, now+2*ms, id, 0, Cancelled)
		case 2:
			end(b, now+ms, id, 0, ConnectionLost)
			end(b, now+2*ms, id, 1, Served)
		}
		if id%100 == 0 {
			b.List(now, ListDelta, []Server{{ID: ServerID(1000 + id), State: Ready, Weight: 1}})
			b.List(now, ListDelta, []Server{{ID: ServerID(1000 + id), State: Deregistered}})
		}
		b.Wake(now + 3*ms)
	}
	b.Wake(time.Hour)
	// Some requests had a second attempt under another number, which this test did not end.
	if len(b.requests) > 20 || len(b.openRequests) > 3 || len(b.servers) != 2 || cap(b.openRequests) > 100 {
		t.Fatalf("left: %d requests, %d open requests (capacity %d), %d servers; want at most 20, 3 (100) and 2",
			len(b.requests), len(b.openRequests), cap(b.openRequests), len(b.servers))
	}
}

func TestNewNamesTheUnusableField(t *testing.T) {
	for field, makeUnusable := range map[string]func(*Config){
		"Balancers":     func(c *Config) { c.Balancers = 0 },
		"Classes":       func(c *Config) { c.Classes = nil },
		"MaxAttempts":   func(c *Config) { c.MaxAttempts = 0 },
		"Slots":         func(c *Config) { c.Slots = -1 },
		"ColdFrom":      func(c *Config) { c.SlowStartShare = 1.5 },
		"ColdMultiple":  func(c *Config) { c.SlowStartOverload = math.Inf(1) },
		"ColdTime":      func(c *Config) { c.SlowStartTime = -1 },
		"Tick":          func(c *Config) { c.Tick = -1 },
		"Aim":           func(c *Config) { c.Classes[2].LatencyTarget = 0 },
		"Deadline":      func(c *Config) { c.Classes[0].Deadline = -1 },
		"LateShare":     func(c *Config) { c.Classes[0].LateValue = math.NaN() },
		"Share":         func(c *Config) { c.Tenants[1].Share = -0.1 },
		"Quota":         func(c *Config) { c.Tenants[1].Quota = math.NaN() },
		"adds up to 0":  func(c *Config) { c.Tenants = []Tenant{{Quota: 5}} },
		"MaxRetryAfter": func(c *Config) { c.MaxRetryAfter = -1 },
	} {
		cfg := testConfig()
		makeUnusable(&cfg)
		if _, err := New(cfg, 1, newFakeHost()); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("New with unusable %s: error %v, want one that names the field", field, err)
		}
	}
}
