package quota

import (
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// budgetSlots is the number of slots in which a window is counted.
	windowSlots = 20
	// ratioFraction is the part of the rule's ratio that is spent. It guards against windows at different sidecars that
	// aren't the same span, and against runs that turn out to be repeats.
	ratioFraction = 0.7
	// slackFraction is the part of the rule's slack that all sidecars together spend. It guards against members miscounted
	// by up to their number again.
	slackFraction = 0.5
	// maxServices is the most services that are counted. It guards against names that use up the memory.
	maxServices = 4096
)

// RetryBudgetRules are the settings of the budget of further tries.
type RetryBudgetRules struct {
	Window       time.Duration
	Ratio, Slack float64
}

// RetryBudget is one sidecar's part of the budget of further tries, for each service. Arrivals after the first of each
// request, in any window, are at most ratioFraction*Ratio times its own requests in the window that ends with the last of
// these arrivals, + slackFraction*Slack/members, apart from repeats that nobody could ask about (Repeat).
type RetryBudget struct {
	rules    RetryBudgetRules
	members  memberCount
	services map[string]*serviceCounts
}

// counts are the requests and the spent arrivals of one service, by slot of time.
type serviceCounts struct {
	slot              int64                  // the newest
	requests, charged [windowSlots + 1]int64 // by slot modulo their number
}

// NewRetryBudget returns a budget that has counted nothing, of one member.
func NewRetryBudget(rules RetryBudgetRules) (*RetryBudget, error) {
	if rules.Window < windowSlots || !validAmount(rules.Ratio) || !validAmount(rules.Slack) {
		return nil, errs.New(errs.Invalid, "budget rules: window %v, ratio %v, slack %v", rules.Window, rules.Ratio, rules.Slack)
	}
	b := &RetryBudget{rules: rules, services: map[string]*serviceCounts{}}
	b.members.set(0, 1)
	return b, nil
}

// Configure sets the number of sidecars; the larger one of those seen lately holds.
func (b *RetryBudget) Configure(now time.Duration, members int) error {
	if members < 1 {
		return errs.New(errs.Invalid, "%d members: at least one is there", members)
	}
	b.members.set(now, members)
	return nil
}

// of returns the counts of a service with old slots cleared, or nil if there are too many services.
func (b *RetryBudget) countsOf(now time.Duration, service string) *serviceCounts {
	slot := int64(max(0, now) / (b.rules.Window / windowSlots))
	c := b.services[service]
	if c == nil {
		if len(b.services) >= maxServices {
			for name, old := range b.services {
				if slot-old.slot > windowSlots {
					delete(b.services, name)
				}
			}
		}
		if len(b.services) >= maxServices {
			return nil
		}
		c = &serviceCounts{slot: slot}
		b.services[service] = c
	}
	for c.slot < slot {
		c.slot = max(c.slot+1, slot-windowSlots)
		i := c.slot % (windowSlots + 1)
		c.requests[i], c.charged[i] = 0, 0
	}
	return c
}

// RecordRequest counts a request for the service that a client sent here.
func (b *RetryBudget) RecordRequest(now time.Duration, service string) {
	if c := b.countsOf(now, service); c != nil {
		c.requests[c.slot%(windowSlots+1)]++
	}
}

// Allowed says whether one more arrival after a request's first fits in. Requests are counted over the window at most, and
// arrivals over the window at least. A service beyond maxServices has no further tries.
func (b *RetryBudget) Allowed(now time.Duration, service string) bool {
	c := b.countsOf(now, service)
	if c == nil {
		return false
	}
	oldest := (c.slot + 1) % (windowSlots + 1)
	requests, charged := -c.requests[oldest], int64(0)
	for i := range c.requests {
		requests += c.requests[i]
		charged += c.charged[i]
	}
	allowed := ratioFraction*b.rules.Ratio*float64(requests) + slackFraction*b.rules.Slack/float64(b.members.at(now))
	return float64(charged+1) <= allowed
}

// Charge counts an arrival after a request's first that May allowed.
func (b *RetryBudget) Charge(now time.Duration, service string) {
	if c := b.countsOf(now, service); c != nil {
		c.charged[c.slot%(windowSlots+1)]++
	}
}

// Repeat counts an arrival that is a repeat without having been asked for, such as a call made by a run that was itself
// a repeat. What is over the allowance is worked off before May allows another.
func (b *RetryBudget) Repeat(now time.Duration, service string) { b.Charge(now, service) }
