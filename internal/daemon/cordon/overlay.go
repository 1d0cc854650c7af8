// Package cordon overlays discovery's list of upstreams with operators' bans and with machines under
// maintenance. It does no I/O and is not safe for concurrent use: package cordonstore owns each Overlay,
// serializes its calls and hands the lists that they return to the engine, in order.
package cordon

import (
	"fmt"
	"maps"
	"slices"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// Overlay is a list of upstreams with the bans on them. A banned upstream is reported as draining, whatever
// discovery says: the decision module sends it nothing new and lets it finish, and knows nothing of bans. Once
// the ban is lifted the upstream is what discovery says now, with its present start time: if it was restarted
// meanwhile it is in slow start.
type Overlay struct {
	banned           map[policy.ServerID]bool // by an operator, or by the fleet's policy
	underMaintenance map[policy.ServerID]bool // by the fleet's maintenance plans
	listed           map[policy.ServerID]listedServer
	history          listHistory
	version          int64 // of the last list from discovery
}

type listedServer struct {
	policy.Server
	address string
	name    string
}

// NewOverlay returns an Overlay with an empty list and no bans.
func NewOverlay() *Overlay {
	return &Overlay{banned: make(map[policy.ServerID]bool), listed: make(map[policy.ServerID]listedServer)}
}

// Update applies a list from discovery, full or a delta, and returns it as the engine is to see it.
func (o *Overlay) Update(l call.ServerList) call.ServerList {
	o.version = l.Version
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
			o.listed[s.ID] = listedServer{s, l.Addresses[s.ID], name}
		}
		servers = append(servers, o.effective(s))
	}
	l.Servers = servers
	return l
}

// effective is a server as the decision module is to see it.
func (o *Overlay) effective(s policy.Server) policy.Server {
	if s.State == policy.Ready && (o.banned[s.ID] || o.underMaintenance[s.ID]) {
		s.State = policy.Draining
	}
	return s
}

// SetBanned replaces the set of banned ids and returns the full list as the engine is to see it. An id that is not
// listed is kept: it may be listed later.
func (o *Overlay) SetBanned(ids []string) call.ServerList {
	clear(o.banned)
	for _, id := range ids {
		o.banned[call.ServerID(id)] = true
	}
	return o.effectiveList()
}

// SetUnderMaintenance replaces the set of servers that maintenance plans have taken out, and returns the full list as
// the engine is to see it.
func (o *Overlay) SetUnderMaintenance(ids []policy.ServerID) call.ServerList {
	o.underMaintenance = make(map[policy.ServerID]bool, len(ids))
	for _, id := range ids {
		o.underMaintenance[id] = true
	}
	return o.effectiveList()
}

// effectiveList is the full list as the engine is to see it.
func (o *Overlay) effectiveList() call.ServerList {
	l := o.Listed()
	for i, s := range l.Servers {
		l.Servers[i] = o.effective(s)
	}
	return l
}

// Entry is a listed upstream; a banned one is draining. Maintenance plans are left out of account.
type Entry struct {
	policy.Server
	Name string // for people; the id in hexadecimal if discovery gives none
}

// Entries returns the listed upstreams, sorted by id.
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

// Counts returns how many upstreams are listed, and how many of them get no new requests.
func (o *Overlay) Counts() (known, out int) {
	for _, e := range o.listed {
		if o.effective(e.Server).State != policy.Ready {
			out++
		}
	}
	return len(o.listed), out
}

// Listed returns the full list as discovery has it, without the bans.
func (o *Overlay) Listed() call.ServerList {
	l := call.ServerList{
		Version: o.version, Full: true,
		Addresses: make(map[policy.ServerID]string, len(o.listed)),
		Names:     make(map[policy.ServerID]string, len(o.listed)),
	}
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
