// Package admission implements client-side admission control: it decides which requests a balancer may send when the
// servers have too little capacity for all of them. It performs no I/O: its callers pass in the time and report when
// attempts start and end.
//
// A Gate is an admission-control algorithm. Balancers use Recovering unless they are configured with another Gate.
// Ratio is a simpler algorithm, which counts its own rejections as failures: after a shortage had ended it went on
// rejecting a fifth of the requests for 10 s. A RetryBudget limits the retries of a balancer.
package admission
