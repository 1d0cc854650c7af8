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

func list(full bool, servers ...policy.Server) call.ServerList {
	l := call.ServerList{Version: 1, Full: full, Servers: servers, Addresses: make(map[policy.ServerID]string)}
	for _, s := range servers {
		l.Addresses[s.ID] = "127.0.0.1:1"
	}
	return l
}

// stateOf returns the state of a server in a list, or policy.Deregistered if the list does not contain the server.
func stateOf(l call.ServerList, id string) policy.State {
	for _, s := range l.Servers {
		if s.ID == call.ServerID(id) {
			return s.State
		}
	}
	return policy.Deregistered
}

// A ban stays in force across full lists, deltas, delisting and a restart of the upstream. After the ban is lifted, the
// upstream has the state and the start time that discovery listed last.
func TestBanPersistsAcrossDelistingAndRestart(t *testing.T) {
	o := NewOverlay()
	o.Update(list(true, server("a", policy.Ready, 0), server("b", policy.Ready, 0)))
	if l := o.SetBanned([]string{"a"}); stateOf(l, "a") != policy.Draining || stateOf(l, "b") != policy.Ready ||
		l.Addresses[call.ServerID("a")] == "" {
		t.Fatalf("list after the ban on a is %+v, want a draining with its address, and b ready", l)
	}
	for name, l := range map[string]call.ServerList{
		"full":  list(true, server("a", policy.Ready, 0), server("b", policy.Ready, 0)),
		"delta": list(false, server("a", policy.Ready, 7)),
	} {
		if got := stateOf(o.Update(l), "a"); got != policy.Draining {
			t.Errorf("%s list: banned upstream has state %v, want draining", name, got)
		}
	}
	o.Update(list(false, server("a", policy.Deregistered, 0)))
	if listed, excluded := o.Counts(); listed != 1 || excluded != 0 || !o.WasListed("a") || o.WasListed("c") {
		t.Errorf("a delisted: %d listed and %d excluded, want 1 and 0; WasListed(a), (c) are %v, %v, want true, false",
			listed, excluded, o.WasListed("a"), o.WasListed("c"))
	}
	if got := stateOf(o.Update(list(false, server("a", policy.Ready, time.Hour))), "a"); got != policy.Draining {
		t.Errorf("a listed again: state %v, want draining", got)
	}
	l := o.SetBanned(nil)
	i := slices.IndexFunc(l.Servers, func(s policy.Server) bool { return s.ID == call.ServerID("a") })
	if i < 0 || l.Servers[i].State != policy.Ready || l.Servers[i].Started != time.Hour {
		t.Errorf("list after the ban was lifted is %+v, want a ready with start time 1 h", l)
	}
}

// After any sequence of lists from discovery and changes of the bans, the returned lists add up to the list from
// discovery with the bans applied.
func TestReturnedListsApplyBans(t *testing.T) {
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
				full := rapid.Bool().Draw(t, "whole")
				if full {
					clear(want)
				}
				for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[string]).Draw(t, "ids") {
					want[id] = policy.State(rapid.IntRange(int(policy.Deregistered), int(policy.Ready)).Draw(t, "state"))
					servers = append(servers, server(id, want[id], 0))
				}
				l = o.Update(list(full, servers...))
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
					t.Fatalf("upstream %s has state %v, want %v (bans %v)", id, seen[call.ServerID(id)], state, bans)
				}
			}
		}
	})
}

// The history drops the oldest delisted upstreams, so that an unlimited number of ids does not exhaust the memory. A
// listed upstream stays in the history.
func TestHistoryIsBounded(t *testing.T) {
	o := NewOverlay()
	o.Update(list(true, server("stays", policy.Ready, 0)))
	for i := range 2 * maxHistory {
		o.remember(policy.ServerID(i))
	}
	if len(o.history.ids) > maxHistory+1 || len(o.history.oldestFirst) > maxHistory+1 || !o.WasListed("stays") {
		t.Errorf("history has %d ids, want at most maxHistory+1; WasListed of the listed upstream is %v, want true",
			len(o.history.ids), o.WasListed("stays"))
	}
}
