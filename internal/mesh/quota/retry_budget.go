package quota

import (
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// windowSlots is the number of time slots into which a window is divided for counting.
	windowSlots = 20
	// ratioFraction is the fraction of the configured ratio that may be spent. The remainder covers sidecars
	// whose windows span different times, and requests that were sent by the execution of a retry.
	ratioFraction = 0.7
	// slackFraction is the fraction of the configured slack that all sidecars together may spend. The remainder
	// covers a number of members that is too small by up to a factor of 2.
	slackFraction = 0.5
	// maxServices is the largest number of services that are counted. It bounds the memory for service names.
	maxServices = 4096
)

// RetryBudgetRules are the settings of the retry budget.
type RetryBudgetRules struct {
	Window time.Duration
	Ratio  float64 // retries per request
	Slack  float64 // additional retries in each window, of all sidecars together
}

// RetryBudget is one sidecar's share of the retry budget of each service. A charged attempt is an attempt after
// the first attempt of a request. The number of charged attempts in any window is at most ratioFraction*Ratio times
// the sidecar's own requests in the window that ends with the last of these attempts, plus
// slackFraction*Slack/members.
type RetryBudget struct {
	rules    RetryBudgetRules
	members  memberCount
	services map[string]*serviceCounts
}

// serviceCounts counts the requests and the charged attempts of one service in each time slot.
type serviceCounts struct {
	slot              int64                  // the newest slot
	requests, charged [windowSlots + 1]int64 // indexed by slot modulo windowSlots+1
}

// NewRetryBudget returns a retry budget with one member and without counts. It returns errs.Invalid for invalid
// rules.
func NewRetryBudget(rules RetryBudgetRules) (*RetryBudget, error) {
	if rules.Window < windowSlots || !validAmount(rules.Ratio) || !validAmount(rules.Slack) {
		return nil, errs.New(errs.Invalid,
			"retry budget rules: window %v must be at least 20ns, ratio %v and slack %v must be between 0 and 1e12",
			rules.Window, rules.Ratio, rules.Slack)
	}
	return &RetryBudget{
		rules: rules, members: memberCount{current: 1}, services: map[string]*serviceCounts{},
	}, nil
}

// Configure sets the number of sidecars; a decrease takes effect after memberCountHold. A number outside of 1 to
// maxMembers returns errs.Invalid and changes nothing.
func (b *RetryBudget) Configure(now time.Duration, members int) error {
	if err := validateMembers(members); err != nil {
		return err
	}
	b.members.set(now, members)
	return nil
}

// RecordRequest counts a request for the service that a client sent to this sidecar.
func (b *RetryBudget) RecordRequest(now time.Duration, service string) {
	if c := b.countsFor(now, service); c != nil {
		c.requests[c.index()]++
	}
}

// Allowed reports whether the budget has room for one more attempt after a request's first attempt. Requests are
// counted over at most the window, and charged attempts over at least the window, so rounding to slots never
// raises the budget. A service beyond maxServices has no retries.
func (b *RetryBudget) Allowed(now time.Duration, service string) bool {
	c := b.countsFor(now, service)
	if c == nil {
		return false
	}
	oldest := (c.slot + 1) % (windowSlots + 1)
	requests, charged := -c.requests[oldest], int64(0)
	for i := range c.requests {
		requests += c.requests[i]
		charged += c.charged[i]
	}
	members := float64(b.members.value(now))
	allowed := ratioFraction*b.rules.Ratio*float64(requests) + slackFraction*b.rules.Slack/members
	return float64(charged+1) <= allowed
}

// Charge counts an attempt after a request's first attempt. An attempt without permission by Allowed may exceed the
// budget; Allowed then permits no other attempt until the number of attempts is within the budget again.
func (b *RetryBudget) Charge(now time.Duration, service string) {
	if c := b.countsFor(now, service); c != nil {
		c.charged[c.index()]++
	}
}

// countsFor returns the counts of a service, with expired slots cleared, or nil if there are too many services.
func (b *RetryBudget) countsFor(now time.Duration, service string) *serviceCounts {
	slot := int64(max(0, now) / (b.rules.Window / windowSlots))
	c := b.services[service]
	if c == nil {
		if len(b.services) >= maxServices {
			b.removeIdle(slot)
		}
		if len(b.services) >= maxServices {
			return nil
		}
		c = &serviceCounts{slot: slot}
		b.services[service] = c
	}
	c.advance(slot)
	return c
}

// removeIdle removes the services without requests or attempts within the window.
func (b *RetryBudget) removeIdle(slot int64) {
	for name, c := range b.services {
		if slot-c.slot > windowSlots {
			delete(b.services, name)
		}
	}
}

// advance moves the newest slot to the given slot, and clears the slots that have left the window.
func (c *serviceCounts) advance(slot int64) {
	for c.slot < slot {
		c.slot = max(c.slot+1, slot-windowSlots)
		i := c.index()
		c.requests[i], c.charged[i] = 0, 0
	}
}

// index returns the index of the newest slot.
func (c *serviceCounts) index() int64 { return c.slot % (windowSlots + 1) }
