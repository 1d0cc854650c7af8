// Package watch distributes the configuration and the registry of upstreams from the core machines
// to the sidecars. A member is a core machine.
//
// The Server of a core machine owns the registry table: it receives the leases of sidecars and the
// heartbeats of upstreams, gossips them with the other core machines, and pushes what changed to
// every sidecar that has a watch open. The Client of a sidecar keeps a lease and a watch at one
// core machine at a time, and goes to another member when that one fails or loses its contact with a
// majority.
//
// A Server hands out configuration and registry only while it is in contact with a majority (see
// Contact), so a sidecar never gets anything older than the contact bound from a member that is
// partitioned from the others; docs/design/control-contact.md gives the reasons and adds up the
// times.
//
// Run of either side owns all goroutines that it starts, and returns after they have ended. All
// other exported methods may be called from any goroutine.
package watch
