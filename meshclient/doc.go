// Package meshclient is the client library of the mesh. With a Client operators read and change the
// configuration and inspect the mesh; with Heartbeats an upstream announces itself and drains. The
// messages are those of package meshapi.
//
// A Client tries one control plane address after another until one gives a conclusive answer or the
// context ends, so a context should have a deadline. A call that may have been received is sent
// again unchanged: the mesh acknowledges a change that it has made before. Every error of a call is
// an *Error; errors.Is tells its Kind.
//
// A Client may be used from several goroutines at once. No goroutine of the package outlives a
// call, but for those of idle HTTP connections.
package meshclient
