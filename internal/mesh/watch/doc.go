// Package watch distributes the configuration and the registry of upstreams from the core machines to the
// sidecars. Log entries and comments call a core machine a member.
//
// Each core machine runs a Server, which owns the registry table: it receives the leases of sidecars and the
// heartbeats of upstreams, gossips them with the other core machines, and pushes changes to every sidecar
// that has a watch (a streaming response) open. Each sidecar runs a Client, which keeps a lease and a watch
// at one core machine at a time, and moves to another one when that machine fails or loses contact with a
// majority of the core machines.
//
// A Server sends configuration and registry only while it is in contact with a majority (see Contact). A core
// machine that is partitioned from the others therefore never sends a sidecar anything older than
// maxContactAge; docs/design/control-contact.md gives the reasons and derives the bounds.
//
// Run of a Server or a Client owns all goroutines that it starts, and returns after they have ended. All
// other exported methods may be called from any goroutine.
package watch
