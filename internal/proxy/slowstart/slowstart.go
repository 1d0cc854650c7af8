package slowstart

import "time"

const (
	budgetFraction = 0.5  // fraction of a starting server's capacity that is used: arrivals vary at random
	minWarmth      = 0.05 // lower bound of the fraction of its capacity that a starting server has, for any settings
	minRate        = 0.01 // lower bound of the send rate, per second: one send in 100 s
)

// Warmth returns the least fraction of its full capacity that a starting server has. It rises linearly from initial
// to 1 over the warm-up time, of which remaining is left.
func Warmth(remaining, warmup time.Duration, initial float64) float64 {
	return max(minWarmth, 1-float64(max(0, remaining))/float64(max(1, warmup))*(1-initial))
}

// Gap returns the time between one balancer's sends to a starting server. rate, per second, is the balancer's even part
// of the server's present capacity. All balancers together stay well below multiple times that capacity.
func Gap(rate, multiple float64) time.Duration {
	return time.Duration(float64(time.Second) / max(rate*budgetFraction*max(multiple, 1), minRate))
}
