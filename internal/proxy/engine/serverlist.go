package engine

import (
	"maps"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// pendingUpdates holds the updates of the server list that the engine has not applied yet, merged into one list. The
// methods that hand updates over therefore never wait for a slow engine.
type pendingUpdates struct {
	list            call.ServerList
	hasList         bool
	fromDiscovery   bool // at least a part of the list came from discovery
	discoveryFailed bool
	onApplied       []func() // called when the updates are applied
}

// UpdateServers hands over a server list from discovery, or a change to the list. It does not block.
func (e *Engine) UpdateServers(l call.ServerList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending.merge(l)
	e.pending.fromDiscovery = true
	e.signalPending()
}

// ReplaceServers hands over a complete server list that does not come from discovery. A list without servers is
// ignored. applied, if not nil, is called after the module has received the list, and must not block. ReplaceServers
// does not block.
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

// DiscoveryFailed reports that a call to discovery failed. It does not block.
func (e *Engine) DiscoveryFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending.discoveryFailed = true
	e.signalPending()
}

// signalPending notifies Run that there are pending updates. The caller holds mu.
func (e *Engine) signalPending() {
	select {
	case e.pendingReady <- struct{}{}:
	default:
	}
}

// merge merges a list into the pending list: a full list replaces the pending list, a change replaces the entries of
// the servers that it contains.
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

// applyPendingIfAny applies the pending updates, if there are any. Run applies them otherwise at its next event.
func (e *Engine) applyPendingIfAny() {
	select {
	case <-e.pendingReady:
		e.applyPending()
	default:
	}
}

// applyPending applies the pending updates. It reports a failure of discovery after the list, which stays in use.
func (e *Engine) applyPending() {
	e.mu.Lock()
	updates := e.pending
	e.pending = pendingUpdates{}
	e.mu.Unlock()
	if updates.hasList {
		kind := policy.ListDelta
		switch {
		case !updates.fromDiscovery:
			kind = policy.ListCached // so that the module does not take the list for an answer of discovery
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

// applyList updates the listed servers from a list, and passes the list to the module. A server whose address has
// changed gets a new call.Server, so that no connection to the old address is used for it.
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
