// Package cordon lays bans by hand over discovery's list of upstreams. It is free of I/O: what it is told and asked is handed to it, what it
// returns is to be handed on to the engine, in order.
package cordon

import (
	"fmt"
	"maps"
	"slices"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// Overlay is a list of upstreams with the bans that lie over it. A banned one is handed on as draining, whatever the
// list says: the module sends it nothing new and lets it finish, and knows nothing of bans. Lifted, it is what the
// list says now, with its present start time, so it is cold if it was restarted meanwhile. It is not safe for concurrent use.
type Overlay struct {
	banned map[policy.ServerID]bool // by hand, or by the fleet's policy
	away   map[policy.ServerID]bool // by the fleet's plans of work
	listed map[policy.ServerID]listed
	ever   ever
	last   int64 // version heard
}

type listed struct {
	policy.Server
	address string
	name    string
}

// NewOverlay makes one with no list and no bans.
func NewOverlay() *Overlay {
	return &Overlay{banned: make(map[policy.ServerID]bool), listed: make(map[policy.ServerID]listed)}
}

// Update takes a list, whole or changes, and returns what is to be handed on in its place.
func (o *Overlay) Update(l call.ServerList) call.ServerList {
	o.last = l.Version
	if l.Full {
		clear(o.listed)
	}
	servers := make([]policy.Server, 0, len(l.Servers))
	for _, s := range l.Servers {
		o.remember(s.ID)
		if s.State == policy.Deregistered {
			delete(o.listed, s.ID)
		} else {
			name := l.Names[s.ID]
			if name == "" {
				name = o.listed[s.ID].name
			}
			o.listed[s.ID] = listed{s, l.Addresses[s.ID], name}
		}
		servers = append(servers, o.seen(s))
	}
	l.Servers = servers
	return l
}

// seen is a server as the module is to see it.
func (o *Overlay) seen(s policy.Server) policy.Server {
	if s.State == policy.Ready && (o.banned[s.ID] || o.away[s.ID]) {
		s.State = policy.Draining
	}
	return s
}

// SetBanned takes which ids are banned from now on, and returns the whole list as it is to be handed on. An id that is not listed, or never was, is kept: it may be
// on the way.
func (o *Overlay) SetBanned(ids []string) call.ServerList {
	clear(o.banned)
	for _, id := range ids {
		o.banned[call.ServerID(id)] = true
	}
	return o.now()
}

// SetUnderMaintenance takes which servers are out by plans of work from now on, and returns the whole list as it is to be handed on.
func (o *Overlay) SetUnderMaintenance(ids []policy.ServerID) call.ServerList {
	o.away = make(map[policy.ServerID]bool, len(ids))
	for _, id := range ids {
		o.away[id] = true
	}
	return o.now()
}

// now is the whole list as it is to be handed on.
func (o *Overlay) now() call.ServerList {
	l := o.Listed()
	for i, s := range l.Servers {
		l.Servers[i] = o.seen(s)
	}
	return l
}

// Entry is an upstream as it is listed, plans of work left aside: one that is out by hand drains.
type Entry struct {
	policy.Server
	Name string // as people call it
}

// Entries are those that are listed.
func (o *Overlay) Entries() (all []Entry) {
	for _, id := range slices.Sorted(maps.Keys(o.listed)) {
		e := Entry{o.listed[id].Server, o.listed[id].name}
		if e.State == policy.Ready && o.banned[id] {
			e.State = policy.Draining
		}
		if e.Name == "" {
			e.Name = fmt.Sprintf("%016x", uint64(id))
		}
		all = append(all, e)
	}
	return all
}

// Counts are how many upstreams are listed, and how many of them are not ready or banned.
func (o *Overlay) Counts() (known, out int) {
	for _, e := range o.listed {
		if o.seen(e.Server).State != policy.Ready {
			out++
		}
	}
	return len(o.listed), out
}

// Listed is the list as the list has it, bans left aside.
func (o *Overlay) Listed() call.ServerList {
	l := call.ServerList{Version: o.last, Full: true, Addresses: make(map[policy.ServerID]string, len(o.listed)), Names: make(map[policy.ServerID]string, len(o.listed))}
	for _, id := range slices.Sorted(maps.Keys(o.listed)) {
		e := o.listed[id]
		l.Servers = append(l.Servers, e.Server)
		l.Addresses[id] = e.address
		if e.name != "" {
			l.Names[id] = e.name
		}
	}
	return l
}
