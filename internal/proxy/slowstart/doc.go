// Package slowstart limits the requests that balancers send to a server that has just started. Such a server has only a
// fraction of its full capacity, which grows during a warm-up time. The package computes that fraction, and the time
// between the requests that each balancer may send.
package slowstart
