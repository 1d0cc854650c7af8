package cordon

import (
	"slices"
	"testing"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"

	"pgregory.net/rapid"
)

func server(id string, state policy.State, started time.Duration) policy.Server {
	return policy.Server{ID: call.ServerID(id), State: state, Weight: 1, Started: started}
}

func list(whole bool, servers ...policy.Server) call.ServerList {
	l := call.ServerList{Version: 1, Full: whole, Servers: servers, Addresses: make(map[policy.ServerID]string)}
	for _, s := range servers {
		l.Addresses[s.ID] = "127.0.0.1:1"
	}
	return l
}

func stateOf(l call.ServerList, id string) policy.State {
	for _, s := range l.Servers {
		if s.ID == call.ServerID(id) {
			return s.State
		}
	}
	return policy.Deregistered
}

// A ban lasts through whole lists, a departure and a restart; lifted, the upstream is what the list says by
// then, its start included.
func TestBanOutlastsDelistingAndRestart(t *testing.T) {
	o := NewOverlay()
	o.Update(list(true, server("a", policy.Ready, 0), server("b", policy.Ready, 0)))
	if l := o.SetBanned([]string{"a"}); stateOf(l, "a") != policy.Draining || stateOf(l, "b") != policy.Ready ||
		l.Addresses[call.ServerID("a")] == "" {
		t.Fatalf("banned: %+v", l)
	}
	for name, l := range map[string]call.ServerList{
		"whole":  list(true, server("a", policy.Ready, 0), server("b", policy.Ready, 0)),
		"change": list(false, server("a", policy.Ready, 7)),
	} {
		if got := stateOf(o.Update(l), "a"); got != policy.Draining {
			t.Errorf("%s: state %v", name, got)
		}
	}
	o.Update(list(false, server("a", policy.Deregistered, 0)))
	if known, out := o.Counts(); known != 1 || out != 0 || !o.WasListed("a") || o.WasListed("c") {
		t.Errorf("gone: known %d, out %d, ever %v %v", known, out, o.WasListed("a"), o.WasListed("c"))
	}
	if got := stateOf(o.Update(list(false, server("a", policy.Ready, time.Hour))), "a"); got != policy.Draining {
		t.Errorf("back from being gone: state %v", got)
	}
	l := o.SetBanned(nil)
	i := slices.IndexFunc(l.Servers, func(s policy.Server) bool { return s.ID == call.ServerID("a") })
	if i < 0 || l.Servers[i].State != policy.Ready || l.Servers[i].Started != time.Hour {
		t.Errorf("lifted: %+v", l)
	}
}

// Whatever is heard and banned, in whatever order: what was handed on last is the list with the bans over it.
func TestOverlayIsTheListWithBans(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		o, want, bans := NewOverlay(), map[string]policy.State{}, []string(nil)
		seen := map[policy.ServerID]policy.State{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			var l call.ServerList
			if rapid.Bool().Draw(t, "bans change") {
				bans = rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[string]).Draw(t, "bans")
				l = o.SetBanned(bans)
			} else {
				var servers []policy.Server
				whole := rapid.Bool().Draw(t, "whole")
				if whole {
					clear(want)
				}
				for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[string]).Draw(t, "ids") {
					want[id] = policy.State(rapid.IntRange(int(policy.Deregistered), int(policy.Ready)).Draw(t, "state"))
					servers = append(servers, server(id, want[id], 0))
				}
				l = o.Update(list(whole, servers...))
			}
			if l.Full {
				clear(seen)
			}
			for _, s := range l.Servers {
				seen[s.ID] = s.State
			}
			for _, id := range ids {
				state := want[id]
				if state == policy.Ready && slices.Contains(bans, id) {
					state = policy.Draining
				}
				if seen[call.ServerID(id)] != state {
					t.Fatalf("%s is seen as %v, want %v (banned %v)", id, seen[call.ServerID(id)], state, bans)
				}
			}
		}
	})
}

// What left long ago is forgotten, so that ids that come and go without end don't fill the memory; what is
// listed or banned is not.
func TestHistoryIsBounded(t *testing.T) {
	o := NewOverlay()
	o.Update(list(true, server("stays", policy.Ready, 0)))
	for i := range 2 * maxHistory {
		o.remember(policy.ServerID(i))
	}
	if len(o.history.ids) > maxHistory+1 || len(o.history.oldestFirst) > maxHistory+1 || !o.WasListed("stays") {
		t.Errorf("%d remembered, stays %v", len(o.history.ids), o.WasListed("stays"))
	}
}
