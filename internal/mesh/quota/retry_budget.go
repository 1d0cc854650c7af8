package quota

import (
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// budgetSlots is the number of slots in which a window is counted.
	budgetSlots = 20
	// ratioPart is the part of the rule's ratio that is spent. It guards against windows at different sidecars that
	// aren't the same span, and against runs that turn out to be repeats.
	ratioPart = 0.7
	// slackPart is the part of the rule's slack that all sidecars together spend. It guards against members miscounted
	// by up to their number again.
	slackPart = 0.5
	// maxServices is the most services that are counted. It guards against names that use up the memory.
	maxServices = 4096
)

// RetryBudgetRules are the settings of the budget of further tries.
type RetryBudgetRules struct {
	Window       time.Duration
	Ratio, Slack float64
}

// RetryBudget is one sidecar's part of the budget of further tries, for each service. Arrivals after the first of each
// request, in any window, are at most ratioPart*Ratio times its own requests in the window that ends with the last of
// these arrivals, + slackPart*Slack/members, apart from repeats that nobody could ask about (Repeat).
type RetryBudget struct {
	rules    RetryBudgetRules
	members  tally
	services map[string]*counts
}

// counts are the requests and the spent arrivals of one service, by slot of time.
type counts struct {
	slot            int64                  // the newest
	requests, spent [budgetSlots + 1]int64 // by slot modulo their number
}

// NewRetryBudget returns a budget that has counted nothing, of one member.
func NewRetryBudget(rules RetryBudgetRules) (*RetryBudget, error) {
	if rules.Window < budgetSlots || !amount(rules.Ratio) || !amount(rules.Slack) {
		return nil, errs.New(errs.Invalid, "budget rules: window %v, ratio %v, slack %v", rules.Window, rules.Ratio, rules.Slack)
	}
	b := &RetryBudget{rules: rules, services: map[string]*counts{}}
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
func (b *RetryBudget) of(now time.Duration, service string) *counts {
	slot := int64(max(0, now) / (b.rules.Window / budgetSlots))
	c := b.services[service]
	if c == nil {
		if len(b.services) >= maxServices {
			for name, old := range b.services {
				if slot-old.slot > budgetSlots {
					delete(b.services, name)
				}
			}
		}
		if len(b.services) >= maxServices {
			return nil
		}
		c = &counts{slot: slot}
		b.services[service] = c
	}
	for c.slot < slot {
		c.slot = max(c.slot+1, slot-budgetSlots)
		i := c.slot % (budgetSlots + 1)
		c.requests[i], c.spent[i] = 0, 0
	}
	return c
}

// RecordRequest counts a request for the service that a client sent here.
func (b *RetryBudget) RecordRequest(now time.Duration, service string) {
	if c := b.of(now, service); c != nil {
		c.requests[c.slot%(budgetSlots+1)]++
	}
}

// Allowed says whether one more arrival after a request's first fits in. Requests are counted over the window at most, and
// arrivals over the window at least. A service beyond maxServices has no further tries.
func (b *RetryBudget) Allowed(now time.Duration, service string) bool {
	c := b.of(now, service)
	if c == nil {
		return false
	}
	oldest := (c.slot + 1) % (budgetSlots + 1)
	requests, spent := -c.requests[oldest], int64(0)
	for i := range c.requests {
		requests += c.requests[i]
		spent += c.spent[i]
	}
	allowed := ratioPart*b.rules.Ratio*float64(requests) + slackPart*b.rules.Slack/float64(b.members.at(now))
	return float64(spent+1) <= allowed
}

// Charge counts an arrival after a request's first that May allowed.
func (b *RetryBudget) Charge(now time.Duration, service string) {
	if c := b.of(now, service); c != nil {
		c.spent[c.slot%(budgetSlots+1)]++
	}
}

// Repeat counts an arrival that is a repeat without having been asked for, such as a call made by a run that was itself
// a repeat. What is over the allowance is worked off before May allows another.
func (b *RetryBudget) Repeat(now time.Duration, service string) { b.Charge(now, service) }
