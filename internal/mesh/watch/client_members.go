package watch

import "slices"

// maxKnownMembers bounds the members remembered, against a faulty member.
const maxKnownMembers = 64

// recordMembers records what a response says of the members. It reports whether
// to go to a member of the own zone: the response is from another zone, and no
// member of the own zone was known before.
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
	knewOne := slices.ContainsFunc(c.discovered, inOwnZone)
	c.replaceMembers(response.Peers)
	c.peersDigest = response.PeersDigest
	return !knewOne && response.Zone != c.cfg.Zone && slices.ContainsFunc(c.discovered, inOwnZone)
}

// knownPeersDigest is the digest of the list of members that is in place.
func (c *Client) knownPeersDigest() PeersDigest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peersDigest
}

// replaceMembers replaces the members discovered. A zone known
// before is kept if the new list names none. c.mu is held.
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

// addMembers adds the members that one without contact knows of: its list may be
// outdated, so it removes none. c.mu is held.
func (c *Client) addMembers(peers []Peer) {
	for _, p := range peers {
		known := slices.ContainsFunc(c.discovered, func(other Peer) bool { return other.Address == p.Address })
		if !known && len(c.discovered) < maxKnownMembers {
			c.discovered = append(c.discovered, p)
			c.peersDigest = 0
		}
	}
}
