// Package sizing tells how much each balancer of a fleet, and each tenant in it, may have out. It is free of I/O.
package sizing

import "math"

const (
	// Spread is how generous a compartment is.
	Spread         = 2.0  // so many standard deviations of a count more
	queueSlotShare = 0.15 // queue places for each slot: short, just enough to keep slots fed
)

// Compartment is what one tenant may have out at a balancer, and how many of its requests may wait.
type Compartment struct {
	Share             float64
	Slots, QueueSlots int
}

// Compartments divides by shares what the slots of n balancers hold on average together. Each balancer gets what the largest of n random
// parts of the traffic comes to, ln n + 0.58 even ones, and two standard deviations of such a count, so as not to refuse on chance. fixed is
// how many slots this balancer has by the settings; 0: by the rest. queue is how many may wait in all of them; negative: as slots have it. Where shares add up to less than
// whole, the rest of it is nobody's.
func Compartments(mean float64, n, fixed, queue int, whole float64, shares []float64) (all []Compartment, slots int) {
	total, room := mean*min(1, (math.Log(float64(n))+0.58)/float64(n)), Spread
	if fixed > 0 {
		total, room = float64(fixed), 0
	}
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	sum = max(sum, whole)
	for _, s := range shares {
		part := total * s / sum
		c := Compartment{Share: s / sum, Slots: max(1, int(math.Ceil(part+room*math.Sqrt(part))))}
		c.QueueSlots = int(math.Ceil(float64(c.Slots) * queueSlotShare))
		if queue >= 0 {
			c.QueueSlots = min(c.QueueSlots, int(float64(queue)*c.Share))
		}
		slots += c.Slots
		all = append(all, c)
	}
	return all, slots
}
