// Package meshclient is the client library of the mesh. Operators use a Client to read and change the configuration
// and to inspect the mesh. An upstream uses Heartbeats to register with the mesh, to drain and to deregister. The
// messages are defined in package meshapi.
//
// A Client tries the control plane addresses in turn until it receives a conclusive response or the context ends.
// Callers should therefore pass a context with a deadline. Retries send the same request again, even if an earlier
// attempt may have been received: the mesh acknowledges a change that is already in force. Every error that a call
// returns is an *Error. Use errors.Is to compare its Kind.
//
// A Client is safe for concurrent use. Apart from the goroutines of idle HTTP connections, no goroutine of the
// package continues after the call that started it has returned.
package meshclient
