// Package cordon applies operators' bans and maintenance plans to the list of upstreams from discovery. The package
// does no I/O. An Overlay is not safe for concurrent use: package cordonstore owns each Overlay, serializes the calls
// and passes the returned lists to the engine in order.
package cordon

import (
	"fmt"
	"maps"
	"slices"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// Overlay is a list of upstreams with bans. While an upstream is banned, the engine sees the state draining where
// discovery reports ready: the decision module sends no new requests to a draining upstream and lets requests in flight
// finish, so it needs no knowledge of bans. After a ban is lifted, the engine sees the upstream with the state and the
// start time that discovery reports now. An upstream that was restarted during the ban therefore begins with a slow
// start.
type Overlay struct {
	banned           map[policy.ServerID]bool // banned by an operator or by the fleet's policy
	underMaintenance map[policy.ServerID]bool // taken out of service by the fleet's maintenance plans
	listed           map[policy.ServerID]listedServer
	history          listHistory
	version          int64 // version of the latest list from discovery
}

// listedServer is an upstream as listed by discovery.
type listedServer struct {
	policy.Server
	address string
	name    string
}

// NewOverlay returns an Overlay with an empty list and no bans.
func NewOverlay() *Overlay {
	return &Overlay{banned: make(map[policy.ServerID]bool), listed: make(map[policy.ServerID]listedServer)}
}

// Update applies a list from discovery, which is either full or a delta, and returns the same list with bans and
// maintenance applied.
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

// effective returns a server with bans and maintenance applied to its state.
func (o *Overlay) effective(s policy.Server) policy.Server {
	if s.State == policy.Ready && (o.banned[s.ID] || o.underMaintenance[s.ID]) {
		s.State = policy.Draining
	}
	return s
}

// SetBanned replaces the set of banned ids and returns the full list with bans and maintenance applied. A ban on an id
// that is not listed takes effect when discovery lists the id.
func (o *Overlay) SetBanned(ids []string) call.ServerList {
	clear(o.banned)
	for _, id := range ids {
		o.banned[call.ServerID(id)] = true
	}
	return o.effectiveList()
}

// SetUnderMaintenance replaces the set of servers that maintenance plans have taken out of service, and returns the
// full list with bans and maintenance applied.
func (o *Overlay) SetUnderMaintenance(ids []policy.ServerID) call.ServerList {
	o.underMaintenance = make(map[policy.ServerID]bool, len(ids))
	for _, id := range ids {
		o.underMaintenance[id] = true
	}
	return o.effectiveList()
}

// effectiveList returns the full list with bans and maintenance applied.
func (o *Overlay) effectiveList() call.ServerList {
	l := o.Listed()
	for i, s := range l.Servers {
		l.Servers[i] = o.effective(s)
	}
	return l
}

// Entry is a listed upstream with bans, but not maintenance, applied to its state.
type Entry struct {
	policy.Server
	Name string // display name; the id in hexadecimal if discovery provides no name
}

// Entries returns the listed upstreams with bans applied, sorted by id. Maintenance plans have no effect on the
// entries.
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

// Counts returns the number of listed upstreams, and the number of listed upstreams that receive no new requests
// because they are draining, banned or under maintenance.
func (o *Overlay) Counts() (total, excluded int) {
	for _, e := range o.listed {
		if o.effective(e.Server).State != policy.Ready {
			excluded++
		}
	}
	return len(o.listed), excluded
}

// Listed returns the full list from discovery, without bans and maintenance applied.
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
