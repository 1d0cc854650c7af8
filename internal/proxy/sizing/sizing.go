// Package sizing computes how many attempts each balancer of a fleet, and each tenant in it, may have in flight.
package sizing

import "math"

const (
	// Spread is how many standard deviations of a count a compartment is larger than its mean.
	Spread         = 2.0
	queueSlotShare = 0.15 // queue slots for each slot: just enough to keep the slots in use
)

// Compartment is how many attempts one tenant may have in flight at a balancer, and how many requests may wait.
type Compartment struct {
	Share             float64
	Slots, QueueSlots int
}

// Compartments divides by shares the mean attempts in flight of n balancers. Each balancer gets the largest of n random
// parts (ln n + 0.58 even ones), and Spread standard deviations. fixed slots replace that unless 0. queue is how many
// requests may wait; negative: derived from the slots. Where the shares add up to less than whole, the rest is unused.
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
