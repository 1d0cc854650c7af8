// Package loadquery decides whether a balancer probes servers for their load before it sends requests to them, and how
// often each server of its subset (the arc, see package subset) gets a turn. A balancer that does not probe learns the
// state of a server only from the answers to its own requests, which may be few.
//
// Probes are worth their price up to the part of its value that a request loses, on average, by a turn without a probe:
// one answer in fifty was late that a probe would have saved. At a price of 0.08, probes cost a fleet of eighty
// balancers a tenth of its value.
//
// Probes also need load reports that change as fast as balancers use them. Otherwise all balancers would send to the
// server that was idle before. A Prober therefore compares reports before it probes all servers.
package loadquery
