package engine

import (
	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// pendingUpdates is what discovery has told and the engine has not taken yet: one list, however often it
// changed in the meantime. So those who tell never wait for an engine that is behind.
type pendingUpdates struct {
	list            call.ServerList
	hasList         bool
	fromDiscovery   bool // discovery told some of it
	discoveryFailed bool
	onApplied       []func() // who wait for that
}

// UpdateServers takes news from discovery. It never waits.
func (e *Engine) UpdateServers(l call.ServerList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending.fold(l)
	e.pending.fromDiscovery = true
	e.signalPending()
}

// ReplaceServers takes the whole list as it is to be seen from now on, of which discovery has told nothing new; without servers it is passed over. taken is called
// once the module has been handed it, and must not wait; nor does this.
func (e *Engine) ReplaceServers(l call.ServerList, taken func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(l.Servers) > 0 {
		l.Full = true
		e.pending.fold(l)
	}
	if taken != nil {
		e.pending.onApplied = append(e.pending.onApplied, taken)
	}
	e.signalPending()
}

// DiscoveryFailed takes that a call to discovery failed. It never waits.
func (e *Engine) DiscoveryFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending.discoveryFailed = true
	e.signalPending()
}

func (e *Engine) signalPending() {
	select {
	case e.pendingReady <- struct{}{}:
	default:
	}
}

// fold adds a list to what is not taken yet: a whole one replaces it, a change replaces its servers' entries.
func (n *pendingUpdates) fold(l call.ServerList) {
	if l.Full || !n.hasList {
		n.list, n.hasList = l, true
		return
	}
	whole, place := n.list.Full, make(map[policy.ServerID]int)
	merged := call.ServerList{Version: l.Version, Full: whole, Addresses: make(map[policy.ServerID]string)}
	for _, from := range []call.ServerList{n.list, l} {
		for _, s := range from.Servers {
			i, known := place[s.ID]
			if !known {
				i = len(merged.Servers)
				place[s.ID] = i
				merged.Servers = append(merged.Servers, s)
			}
			merged.Servers[i] = s
			if address, ok := from.Addresses[s.ID]; ok {
				merged.Addresses[s.ID] = address
			}
		}
	}
	n.list = merged
}

// applyPending takes the news, in the order of the kinds: after a failure the list that came before still holds.
func (e *Engine) applyPending() {
	e.mu.Lock()
	n := e.pending
	e.pending = pendingUpdates{}
	e.mu.Unlock()
	if n.hasList {
		kind := policy.ListDelta
		switch {
		case !n.fromDiscovery:
			kind = policy.ListCached // the module must not take it for an answer of discovery
		case n.list.Full:
			kind = policy.ListFull
		}
		e.applyList(n.list, kind)
	}
	if n.discoveryFailed {
		e.module.List(e.now, policy.ListFailed, nil)
	}
	for _, taken := range n.onApplied {
		taken()
	}
}
