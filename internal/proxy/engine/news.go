package engine

import (
	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// news is what discovery has told and the engine has not taken yet: one list, however often it
// changed in the meantime. So those who tell never wait for an engine that is behind.
type news struct {
	list   call.Listing
	some   bool
	heard  bool // discovery told some of it
	failed bool
	taken  []func() // who wait for that
}

// List takes news from discovery. It never waits.
func (e *Engine) List(l call.Listing) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.news.fold(l)
	e.news.heard = true
	e.tell()
}

// Relist takes the whole list as it is to be seen from now on, of which discovery has told nothing new; without servers it is passed over. taken is called
// once the module has been handed it, and must not wait; nor does this.
func (e *Engine) Relist(l call.Listing, taken func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(l.Servers) > 0 {
		l.Whole = true
		e.news.fold(l)
	}
	if taken != nil {
		e.news.taken = append(e.news.taken, taken)
	}
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
		switch {
		case !n.heard:
			kind = policy.ListCached // the module must not take it for an answer of discovery
		case n.list.Whole:
			kind = policy.ListFull
		}
		e.take(n.list, kind)
	}
	if n.failed {
		e.b.List(e.now, policy.ListFailed, nil)
	}
	for _, taken := range n.taken {
		taken()
	}
}
