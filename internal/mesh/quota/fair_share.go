package quota

import "time"

// claimTTL is how long a node's last demand counts when tokens are divided. It guards against a node
// that asks often taking what another that asked just before it needs.
const claimTTL = 350 * time.Millisecond

// claim is what a node wanted last, and what is kept for its next request.
type claim struct {
	want, reserved float64 // tokens
	at             time.Duration
}

func (c *claim) lack() float64 { return c.want - c.reserved }

// grant gives the node what it wants if that leaves enough for the others that asked lately. Otherwise
// the balance is reserved for all of them max-min fairly, and the node gets what has been reserved for
// it.
func (t *tenantAccount) grant(now time.Duration, node string, want float64) float64 {
	own := t.claims[node]
	if own == nil {
		own = &claim{}
		t.claims[node] = own
	}
	own.want, own.at = want, now
	granted := want
	if t.releaseUnwanted(now) <= t.balance {
		t.balance -= own.lack()
	} else {
		t.reserveFairly()
		granted = own.reserved
	}
	own.reserved = 0
	return granted
}

// releaseUnwanted returns to the balance what is reserved for old claims or beyond a claim, and returns
// how much all claims lack.
func (t *tenantAccount) releaseUnwanted(now time.Duration) float64 {
	lacking := 0.0
	for node, c := range t.claims {
		if now-c.at > claimTTL {
			t.balance += c.reserved
			delete(t.claims, node)
			continue
		}
		if excess := c.reserved - c.want; excess > 0 {
			t.balance += excess
			c.reserved = c.want
		}
		lacking += c.lack()
	}
	return lacking
}

// reserveFairly divides the balance among the claims: each gets an equal share, or all that it lacks
// where that is less.
func (t *tenantAccount) reserveFairly() {
	for t.balance > 0 {
		unmet, minLack := t.unmetClaims()
		if unmet == 0 {
			return
		}
		share := t.balance / float64(unmet)
		last := share <= minLack
		for _, c := range t.claims {
			switch lack := c.lack(); {
			case lack <= 0:
			case last:
				c.reserved += share
			case lack <= minLack:
				c.reserved = c.want
			default:
				c.reserved += minLack
			}
		}
		if last {
			t.balance = 0
			return
		}
		t.balance -= minLack * float64(unmet)
	}
}

// unmetClaims counts the claims that lack something, and returns the least that one of them lacks.
func (t *tenantAccount) unmetClaims() (unmet int, minLack float64) {
	for _, c := range t.claims {
		lack := c.lack()
		if lack <= 0 {
			continue
		}
		if unmet == 0 || lack < minLack {
			minLack = lack
		}
		unmet++
	}
	return unmet, minLack
}
