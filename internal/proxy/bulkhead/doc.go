// Package bulkhead limits the attempts that a balancer has in flight at servers that it shares with other balancers.
//
// A fixed limit for each balancer is not enough: the limits of all balancers add up to more attempts than the servers
// can handle. Each balancer therefore lowers its limit as the latency of answers rises.
package bulkhead
