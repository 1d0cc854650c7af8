package quota

import "time"

// memberCountHold is how long a larger number of members stays in effect after a decrease. It prevents floors
// from growing while sidecars that have just left, or that wrongly count as gone, still spend their floors.
const memberCountHold = 10 * time.Second

// memberCount is a number of members whose decreases take effect after memberCountHold. A further decrease within
// this time restarts it.
type memberCount struct {
	current, peak int           // the number that was set last, and the larger number before the decrease
	peakUntil     time.Duration // peak is in effect until then
}

// set sets the number of members at now. The value of a memberCount that was never set is UnknownMembers.
func (c *memberCount) set(now time.Duration, members int) {
	if peak := c.value(now); members < peak {
		if members < c.current {
			c.peakUntil = now + memberCountHold
		}
		c.peak = peak
	}
	c.current = members
}

// value returns the number of members in effect at now.
func (c *memberCount) value(now time.Duration) int {
	if now < c.peakUntil {
		return max(c.current, c.peak)
	}
	return c.current
}
