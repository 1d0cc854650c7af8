package sidecar

import (
	"cmp"
	"slices"

	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// balancerListing returns the balancer's server list: all upstreams behind a gate, ordered by id. The address of
// a server consists of its gate's address and its instance, see gateTransport.
func (e *endpoints) balancerListing() call.ServerList {
	e.mu.Lock()
	defer e.mu.Unlock()
	listing := call.ServerList{
		Full:      true,
		Addresses: make(map[policy.ServerID]string), Names: make(map[policy.ServerID]string),
	}
	e.forEach(func(u registry.Upstream) {
		if u.State == registry.Deregistered || u.Inbound == "" {
			return
		}
		id := call.ServerID(u.Instance)
		zone := e.zones[u.Zone]
		if u.Inbound == e.inboundAddress {
			zone = balancer.SameMachine
		}
		listing.Servers = append(listing.Servers, policy.Server{
			ID: id, Zone: zone, Cell: e.services.number(u.Service),
			State: policyState(u.State), Weight: float64(u.Slots),
		})
		listing.Addresses[id] = u.Inbound + " " + u.Instance
		listing.Names[id] = u.Instance
	})
	slices.SortFunc(listing.Servers, func(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) })
	return listing
}

// gateListing returns the gate's server list: the local upstream at the given address, once it is known.
func (e *endpoints) gateListing(address string) call.ServerList {
	e.mu.Lock()
	defer e.mu.Unlock()
	listing := call.ServerList{Full: true, Addresses: make(map[policy.ServerID]string)}
	if e.local != nil {
		id := call.ServerID(e.local.Instance)
		listing.Servers = []policy.Server{{
			ID: id, State: policyState(e.local.State), Weight: float64(max(1, e.local.Slots)),
		}}
		listing.Addresses[id] = address
	}
	return listing
}

// policyState converts an upstream's registry state to the state that decision modules use.
func policyState(s registry.State) policy.State {
	switch s {
	case registry.Ready:
		return policy.Ready
	case registry.Draining:
		return policy.Draining
	}
	return policy.Deregistered
}
