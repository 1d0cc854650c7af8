package watch

import (
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minBackoff and maxBackoff bound the time between attempts at core machines that fail one after the
	// other, to limit the load of many sidecars that retry at the same time.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// maxBackoffDoublings bounds the shift of minBackoff, which would overflow otherwise.
	maxBackoffDoublings = 10
	// stableAfter is how long a core machine must have served before its failure counts as a first one, which
	// is retried without backoff. It prevents rapid switching between core machines that all fail. Run adds
	// idleTimeout, after which a silent core machine is detected.
	stableAfter = time.Second
)

// backoff returns the jittered time before the next core machine is tried: none after the first failure,
// minBackoff within a round of all core machines, and longer between rounds. A single core machine that runs
// is thus found soon.
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

// nextMember returns the core machine to try: the current one, or else the first in order that was not tried
// in this round. It returns an empty address if no core machine is known.
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

// candidate is a core machine with the properties that determine its rank.
type candidate struct {
	address  string
	sameZone bool
	hash     uint64
}

// ranksBefore reports whether candidate a is tried before candidate b.
func (a candidate) ranksBefore(b candidate) bool {
	if a.sameZone != b.sameZone {
		return a.sameZone
	}
	return a.hash < b.hash
}

// memberOrder lists the addresses of the known core machines in the order in which they are tried: those of
// the sidecar's own zone first, and within each group by a hash of the address and the node's name, which
// spreads the sidecars over the core machines. c.mu is held.
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
		if a.ranksBefore(b) {
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

// sameZone reports whether zone is known and equal to the sidecar's own zone.
func (c *Client) sameZone(zone string) bool { return zone != "" && zone == c.cfg.Zone }
