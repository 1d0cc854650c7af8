package engine

import (
	"caperarch/internal/call"
	"caperarch/policy"
)

// news is what discovery has told and the engine has not taken yet: one list, however often it
// changed in the meantime. So those who tell never wait for an engine that is behind.
type news struct {
	list   call.Listing
	some   bool
	failed bool
}

// List takes news from discovery. It never waits.
func (e *Engine) List(l call.Listing) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.news.fold(l)
	e.tell()
}

// ListFailed takes that a call to discovery failed. It never waits.
func (e *Engine) ListFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.news.failed = true
	e.tell()
}

func (e *Engine) tell() {
	select {
	case e.told <- struct{}{}:
	default:
	}
}

// fold adds a list to what is not taken yet: a whole one replaces it, a change replaces its servers' entries.
func (n *news) fold(l call.Listing) {
	if l.Whole || !n.some {
		n.list, n.some = l, true
		return
	}
	whole, place := n.list.Whole, make(map[policy.ServerID]int)
	merged := call.Listing{Version: l.Version, Whole: whole, Address: make(map[policy.ServerID]string)}
	for _, from := range []call.Listing{n.list, l} {
		for _, s := range from.Servers {
			i, known := place[s.ID]
			if !known {
				i = len(merged.Servers)
				place[s.ID] = i
				merged.Servers = append(merged.Servers, s)
			}
			merged.Servers[i] = s
			if address, ok := from.Address[s.ID]; ok {
				merged.Address[s.ID] = address
			}
		}
	}
	n.list = merged
}

// hear takes the news, in the order of the kinds: after a failure the list that came before still holds.
func (e *Engine) hear() {
	e.mu.Lock()
	n := e.news
	e.news = news{}
	e.mu.Unlock()
	if n.some {
		kind := policy.ListDelta
		if n.list.Whole {
			kind = policy.ListFull
		}
		e.take(n.list, kind)
	}
	if n.failed {
		e.b.List(e.now, policy.ListFailed, nil)
	}
}
