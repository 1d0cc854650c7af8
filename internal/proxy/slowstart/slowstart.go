// Package slowstart is rule 4's arithmetic: how much a server that has just started may be sent, and how each balancer keeps to its part of that. It is free of I/O.
package slowstart

import "time"

const (
	budgetFraction = 0.5  // this much of a cold server's budget is used, the rest left to chance
	minWarmth      = 0.05 // whatever the settings say, it can do something
	minRate        = 0.01 // sends a second: one whose part is less sends once in 100 s
)

// Warmth is the share of its capacity that a server has at least, left before it is warm. It begins with from and rises evenly over the whole.
func Warmth(left, whole time.Duration, from float64) float64 {
	return max(minWarmth, 1-float64(max(0, left))/float64(max(1, whole))*(1-from))
}

// Gap spaces sends to a cold server where a balancer's part of what it can do now is rate a second, so that all balancers together stay well
// within multiple times that: each keeps an even part, whatever traffic it has.
func Gap(rate, multiple float64) time.Duration {
	return time.Duration(float64(time.Second) / max(rate*budgetFraction*max(multiple, 1), minRate))
}
