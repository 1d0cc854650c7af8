// Package sizing computes the limits on the attempts in flight of each balancer of a fleet, and of each of its tenants.
package sizing

import "math"

const (
	// Spread is the margin of a compartment above its mean number of attempts, in standard deviations of that number.
	Spread         = 2.0
	queueSlotShare = 0.15 // queue slots for each slot: enough that a slot which becomes free is used at once
)

// Compartment limits the attempts of one tenant in flight at a balancer (Slots), and its waiting requests (QueueSlots).
type Compartment struct {
	Share             float64
	Slots, QueueSlots int
}

// Compartments divides the mean attempts in flight of n balancers by shares. Each balancer gets the largest of n random
// parts (ln n + 0.58 even parts) and Spread standard deviations; fixed slots, unless 0, replace both. queue is how many
// requests may wait; if negative, the slots determine that. If shares add up to less than whole, the rest is unused.
func Compartments(mean float64, n, fixed, queue int, whole float64, shares []float64) (all []Compartment, slots int) {
	total, spread := mean*min(1, (math.Log(float64(n))+0.58)/float64(n)), Spread
	if fixed > 0 {
		total, spread = float64(fixed), 0
	}
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	sum = max(sum, whole)
	for _, s := range shares {
		part := total * s / sum
		c := Compartment{Share: s / sum, Slots: max(1, int(math.Ceil(part+spread*math.Sqrt(part))))}
		c.QueueSlots = int(math.Ceil(float64(c.Slots) * queueSlotShare))
		if queue >= 0 {
			c.QueueSlots = min(c.QueueSlots, int(float64(queue)*c.Share))
		}
		slots += c.Slots
		all = append(all, c)
	}
	return all, slots
}
