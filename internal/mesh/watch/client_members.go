package watch

import "slices"

// maxKnownMembers is the maximum number of core machines remembered; it bounds the memory that responses of a
// faulty core machine take.
const maxKnownMembers = 64

// recordMembers records the counts and the core machines that a response lists. closerMember is true if the
// sidecar should move to a core machine of its own zone: the response came from another zone, and the list
// names core machines of the sidecar's zone for the first time.
func (c *Client) recordMembers(response *LeaseResponse) (closerMember bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.Syncing || !response.Contact.OK {
		c.counts = c.counts.Max(response.Counts)
	} else {
		c.counts = response.Counts
	}
	if !response.Contact.OK {
		c.addMembers(response.Peers)
		return false
	}
	if len(response.Peers) == 0 {
		return false
	}
	inOwnZone := func(p Peer) bool { return c.sameZone(p.Zone) }
	knewOwnZone := slices.ContainsFunc(c.discovered, inOwnZone)
	c.replaceMembers(response.Peers)
	c.peersDigest = response.PeersDigest
	return !knewOwnZone && response.Zone != c.cfg.Zone && slices.ContainsFunc(c.discovered, inOwnZone)
}

// knownPeersDigest returns the digest of the list of core machines in use, 0 if the list was changed since it
// was received.
func (c *Client) knownPeersDigest() PeersDigest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peersDigest
}

// replaceMembers replaces the discovered core machines. The known zone of a core machine is kept if the new
// list states none. c.mu is held.
func (c *Client) replaceMembers(peers []Peer) {
	zones := map[string]string{}
	for _, p := range c.discovered {
		zones[p.Address] = p.Zone
	}
	c.discovered = slices.Clone(peers[:min(len(peers), maxKnownMembers)])
	for i, p := range c.discovered {
		if p.Zone == "" {
			c.discovered[i].Zone = zones[p.Address]
		}
	}
}

// addMembers adds the core machines that a response without contact lists. Its list may be outdated, so no
// core machine is removed. c.mu is held.
func (c *Client) addMembers(peers []Peer) {
	for _, p := range peers {
		known := slices.ContainsFunc(c.discovered, func(other Peer) bool { return other.Address == p.Address })
		if !known && len(c.discovered) < maxKnownMembers {
			c.discovered = append(c.discovered, p)
			c.peersDigest = 0
		}
	}
}
