package engine

import (
	"maps"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// pendingUpdates are the updates of the server list that the engine has not applied yet, merged into one
// list. So those who hand them over never wait for an engine that is behind.
type pendingUpdates struct {
	list            call.ServerList
	hasList         bool
	fromDiscovery   bool // at least a part of the list
	discoveryFailed bool
	onApplied       []func() // called when the updates are applied
}

// UpdateServers hands over a list, or a change to it, that came from discovery. It never blocks.
func (e *Engine) UpdateServers(l call.ServerList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending.merge(l)
	e.pending.fromDiscovery = true
	e.signalPending()
}

// ReplaceServers hands over the complete list as it applies from now on, for a reason other than an update
// from discovery; a list without servers is ignored. applied is called once the module has the list, and must
// not block; nil: nobody waits for that. ReplaceServers never blocks.
func (e *Engine) ReplaceServers(l call.ServerList, applied func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(l.Servers) > 0 {
		l.Full = true
		e.pending.merge(l)
	}
	if applied != nil {
		e.pending.onApplied = append(e.pending.onApplied, applied)
	}
	e.signalPending()
}

// DiscoveryFailed tells that a call to discovery failed. It never blocks.
func (e *Engine) DiscoveryFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending.discoveryFailed = true
	e.signalPending()
}

// signalPending has Run apply the pending updates. The caller holds mu.
func (e *Engine) signalPending() {
	select {
	case e.pendingReady <- struct{}{}:
	default:
	}
}

// merge adds a list to the pending one: a full list replaces it, a change replaces its servers' entries.
func (n *pendingUpdates) merge(l call.ServerList) {
	if l.Full || !n.hasList {
		n.list, n.hasList = l, true
		return
	}
	merged := call.ServerList{
		Version: l.Version, Full: n.list.Full, Addresses: make(map[policy.ServerID]string),
	}
	position := make(map[policy.ServerID]int) // in merged.Servers
	for _, from := range []call.ServerList{n.list, l} {
		for _, s := range from.Servers {
			i, known := position[s.ID]
			if !known {
				i = len(merged.Servers)
				position[s.ID] = i
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

// catchUp applies the pending updates, if there are any.
func (e *Engine) catchUp() {
	select {
	case <-e.pendingReady:
		e.applyPending()
	default:
	}
}

// applyPending applies the pending updates: first the list, then a failure, after which the list still applies.
func (e *Engine) applyPending() {
	e.mu.Lock()
	updates := e.pending
	e.pending = pendingUpdates{}
	e.mu.Unlock()
	if updates.hasList {
		kind := policy.ListDelta
		switch {
		case !updates.fromDiscovery:
			kind = policy.ListCached // the module must not take it for an answer from discovery
		case updates.list.Full:
			kind = policy.ListFull
		}
		e.applyList(updates.list, kind)
	}
	if updates.discoveryFailed {
		e.module.List(e.now, policy.ListFailed, nil)
	}
	for _, applied := range updates.onApplied {
		applied()
	}
}

// applyList replaces or changes the servers by a list and hands it to the module. A server with a new address
// is another call.Server, so that no connection is reused for it.
func (e *Engine) applyList(list call.ServerList, kind policy.ListKind) {
	before := maps.Clone(e.servers)
	if list.Full {
		clear(e.servers)
	}
	for _, s := range list.Servers {
		known, address := before[s.ID], list.Addresses[s.ID]
		switch {
		case s.State == policy.Deregistered:
			delete(e.servers, s.ID)
		case known != nil && known.address == address:
			e.servers[s.ID] = known
		default:
			e.servers[s.ID] = &server{e.Transport.Server(address), address}
		}
	}
	for id, s := range before {
		if e.servers[id] != s {
			s.Deregister()
		}
	}
	e.module.List(e.now, kind, list.Servers)
}
