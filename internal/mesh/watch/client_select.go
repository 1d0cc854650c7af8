package watch

import (
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minBackoff and maxBackoff bound the backoff between members that fail one
	// after the other, against many sidecars that all retry without a break.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// maxBackoffDoublings keeps the shift of minBackoff from overflowing.
	maxBackoffDoublings = 10
	// stableAfter is how long a member must have served for its failure to
	// count as a first one, against rapid changes between members that all fail.
	stableAfter = time.Second
)

// backoff is the jittered time before the next member is tried: none after the
// first failure, short within a round of the members, and growing between
// rounds, so that a single member that runs is found soon.
func (c *Client) backoff(failures int) time.Duration {
	if failures == 1 {
		return 0
	}
	c.mu.Lock()
	members := max(len(c.memberOrder()), 1)
	c.mu.Unlock()
	wait := minBackoff
	if failures%members == 0 {
		wait = min(minBackoff<<min(failures/members, maxBackoffDoublings), maxBackoff)
	}
	return wait/2 + rand.N(wait/2+1)
}

// nextMember is the member to try: the current one, or else the first in order
// that was not tried in this round. It is empty if no member is known.
func (c *Client) nextMember() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != "" {
		return c.current
	}
	order := c.memberOrder()
	if len(order) == 0 {
		return ""
	}
	for _, address := range order {
		if !c.attempted[address] {
			c.attempted[address] = true
			return address
		}
	}
	c.attempted = map[string]bool{order[0]: true}
	return order[0]
}

// candidate is a member and what its position in the order depends on.
type candidate struct {
	address  string
	sameZone bool
	hash     uint64
}

// before reports whether the candidate is tried before another.
func (a candidate) before(b candidate) bool {
	if a.sameZone != b.sameZone {
		return a.sameZone
	}
	return a.hash < b.hash
}

// memberOrder lists the members known: those of the own zone first, and within a
// zone by a hash with the node's name, which spreads the sidecars. c.mu is held.
func (c *Client) memberOrder() []string {
	zones := map[string]string{}
	for _, address := range c.seeds {
		zones[address] = ""
	}
	for _, p := range c.discovered {
		zones[p.Address] = p.Zone
	}
	candidates := make([]candidate, 0, len(zones))
	for address, zone := range zones {
		sum := fnv.New64a()
		_, _ = io.WriteString(sum, address+"|"+c.cfg.Node)
		candidates = append(candidates, candidate{address, c.sameZone(zone), sum.Sum64()})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	order := make([]string, len(candidates))
	for i := range candidates {
		order[i] = candidates[i].address
	}
	return order
}

// sameZone reports whether a member of that zone is in the sidecar's own.
func (c *Client) sameZone(zone string) bool { return zone != "" && zone == c.cfg.Zone }
