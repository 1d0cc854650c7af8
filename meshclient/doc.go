// Package meshclient is the client library of the mesh: operators read and change the configuration with a Client and
// look at what is there; an upstream tells the mesh of itself with Heartbeats.
//
// A Client calls one control plane address after the other until one gives a clear answer or the context ends, so a
// context should have a deadline. A call that may have been taken is sent again unchanged, and the mesh answers a
// change that it has taken before with success.
package meshclient
