// Package slowstart computes how much a server that has just started may be sent, and each balancer's part of that.
package slowstart

import "time"

const (
	budgetFraction = 0.5  // of a starting server's capacity that is used; the rest is a margin for chance
	minWarmth      = 0.05 // the least capacity assumed, whatever the settings say
	minRate        = 0.01 // sends a second at least: one in 100 s
)

// Warmth is the least fraction of its capacity that a server has: it rises evenly from a fraction to 1 over whole, of
// which left remains.
func Warmth(left, whole time.Duration, from float64) float64 {
	return max(minWarmth, 1-float64(max(0, left))/float64(max(1, whole))*(1-from))
}

// Gap is the time between one balancer's sends to a starting server, where rate a second is its even part of the
// server's capacity now, so that all balancers together stay well within multiple times the capacity.
func Gap(rate, multiple float64) time.Duration {
	return time.Duration(float64(time.Second) / max(rate*budgetFraction*max(multiple, 1), minRate))
}
