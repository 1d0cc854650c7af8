// Package api serves the control-plane address, which is the same on every machine. It receives the
// heartbeats of upstreams and the requests of operators. The package parses requests and bounds their
// size; an UpstreamHandler and an OperatorHandler process them. On machines without a core machine,
// Forwarder is the OperatorHandler: it forwards requests to core machines.
//
// The package keeps no state between requests, and its functions are safe for concurrent use.
package api
