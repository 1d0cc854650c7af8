package quota

import "time"

// claimTTL is how long the last demand of a node counts when tokens are divided. It prevents a node that sends
// requests often from taking the tokens that a node with an earlier request needs.
const claimTTL = 350 * time.Millisecond

// claim is the last demand of a node, and the tokens reserved for the node's next request.
type claim struct {
	requested, reserved float64 // tokens
	requestedAt         time.Duration
}

// shortfall returns the requested tokens that aren't reserved.
func (c *claim) shortfall() float64 { return c.requested - c.reserved }

// grant returns the tokens granted to the node: all requested tokens if the balance covers all recent claims.
// Otherwise the balance is divided among all claims with max-min fairness, and the node is granted the tokens
// reserved for it.
func (t *tenantAccount) grant(now time.Duration, node string, requested float64) float64 {
	own := t.claims[node]
	if own == nil {
		own = &claim{}
		t.claims[node] = own
	}
	own.requested, own.requestedAt = requested, now
	granted := requested
	if t.releaseExcess(now) <= t.balance {
		t.balance -= own.shortfall()
	} else {
		t.reserveFairly()
		granted = own.reserved
	}
	own.reserved = 0
	return granted
}

// releaseExcess returns to the balance the tokens that are reserved for expired claims or in excess of a claim.
// The result is the sum of all shortfalls.
func (t *tenantAccount) releaseExcess(now time.Duration) float64 {
	total := 0.0
	for node, c := range t.claims {
		if now-c.requestedAt > claimTTL {
			t.balance += c.reserved
			delete(t.claims, node)
			continue
		}
		if excess := c.reserved - c.requested; excess > 0 {
			t.balance += excess
			c.reserved = c.requested
		}
		total += c.shortfall()
	}
	return total
}

// reserveFairly divides the balance among the claims: each claim is reserved an equal share, or its shortfall
// if that is smaller.
func (t *tenantAccount) reserveFairly() {
	for t.balance > 0 {
		unmet, minShortfall := t.unmetClaims()
		if unmet == 0 {
			return
		}
		share := t.balance / float64(unmet)
		finalRound := share <= minShortfall
		for _, c := range t.claims {
			switch shortfall := c.shortfall(); {
			case shortfall <= 0:
			case finalRound:
				c.reserved += share
			case shortfall <= minShortfall:
				c.reserved = c.requested
			default:
				c.reserved += minShortfall
			}
		}
		if finalRound {
			t.balance = 0
			return
		}
		t.balance -= minShortfall * float64(unmet)
	}
}

// unmetClaims returns the number of claims with a shortfall, and the smallest shortfall of these claims.
func (t *tenantAccount) unmetClaims() (unmet int, minShortfall float64) {
	for _, c := range t.claims {
		shortfall := c.shortfall()
		if shortfall <= 0 {
			continue
		}
		if unmet == 0 || shortfall < minShortfall {
			minShortfall = shortfall
		}
		unmet++
	}
	return unmet, minShortfall
}
