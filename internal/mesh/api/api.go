// Package api serves the address of the control plane, which is the same on every machine: the
// heartbeats of upstreams and the change requests of operators. It parses and bounds the requests;
// what becomes of them is up to an UpstreamHandler and an OperatorHandler. On machines without a
// core machine, Forwarder is the OperatorHandler: it forwards requests to core machines.
//
// The package keeps no state between requests. Its functions may be called from any goroutine.
package api
