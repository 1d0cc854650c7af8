package watch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"caperarch/internal/mesh/registry"
)

const (
	// heartbeatInterval is the time between two heartbeats that a core machine sends on a watch.
	heartbeatInterval = 400 * time.Millisecond
	// idleTimeout is how long a watch may receive no byte before the sidecar searches for another core
	// machine. It spans two heartbeats and detects open connections to machines that no longer run.
	idleTimeout = 1100 * time.Millisecond
	// renewInterval is the time between two renewals of a lease. A lease lasts for three of them.
	renewInterval = 800 * time.Millisecond
	// lateRenewalThreshold is how long a renewal may be without a response before the sidecar searches for
	// another core machine, since the current one may not receive the renewals.
	lateRenewalThreshold = time.Second
	// callTimeout bounds one gossip call between core machines, against peers that accept the connection and
	// do not respond.
	callTimeout = time.Second
	// slowLinkTimeout bounds a call of a sidecar to a core machine, and how long its watch may receive no
	// byte, if no other core machine responds sooner: the sidecar's own link is then the slow part. It spans
	// opening a connection and one call on a link with a round trip of almost two seconds.
	slowLinkTimeout = 4 * time.Second
	// maxFrame is the maximum size in bytes of a frame of a watch. It protects sidecars from a faulty core
	// machine and leaves room for the largest configuration.
	maxFrame = 72 << 20
	// maxLeaseBody and maxWatchBody are the maximum sizes in bytes of a sidecar's lease and watch requests,
	// maxGossipBody that of a gossip request of a core machine. They bound the memory that invalid requests
	// take.
	maxLeaseBody  = 64 << 10
	maxWatchBody  = 1 << 20
	maxGossipBody = 8 << 20
)

const (
	leasePath      = "/mesh/lease"
	watchPath      = "/mesh/watch"
	gossipPath     = "/mesh/gossip"
	memberListPath = "/mesh/roll"
)

// Peer describes a core machine in the list that sidecars receive. Zone is empty while it is unknown.
type Peer struct {
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
}

// PeersDigest is a hash of a list of core machines with their zones. It does not depend on the order of the
// list.
type PeersDigest uint64

// digestPeers returns the digest of a list of core machines in any order. It never returns 0, which stands
// for no list.
func digestPeers(peers []Peer) PeersDigest {
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b Peer) int { return cmp.Compare(a.Address, b.Address) })
	hash := xxhash.New()
	for _, p := range sorted {
		fmt.Fprintf(hash, "%q %q\n", p.Address, p.Zone)
	}
	return PeersDigest(max(1, hash.Sum64()))
}

// leaseRequest is a sidecar's request to renew its lease.
type leaseRequest struct {
	registry.Lease
	// KnownPeersDigest is the digest of the last list of core machines that the sidecar received, 0 if it has
	// none.
	KnownPeersDigest PeersDigest `json:"knownPeers,omitempty"`
	// NewInstance is an instance that the sidecar is about to accept as its upstream. It is empty in renewals.
	NewInstance string `json:"newInstance,omitempty"`
}

// LeaseResponse is a core machine's response to a lease renewal.
type LeaseResponse struct {
	// TTL is the time for which the lease is valid, in seconds.
	TTL float64 `json:"ttl"`
	// Counts may be too small while Syncing is true: the core machine may not know all sidecars yet.
	registry.Counts
	Syncing bool `json:"young,omitempty"`
	// Leader is the probable address of the leader.
	Leader string `json:"sequencer,omitempty"`
	// Zone is the zone of the responding core machine. Peers lists all core machines, PeersDigest is the
	// digest of that list. Peers is empty if the request named the same digest.
	Zone        string      `json:"zone,omitempty"`
	Peers       []Peer      `json:"peers"`
	PeersDigest PeersDigest `json:"peersDigest,omitempty"`
	// Contact is the contact of the responding core machine with a majority. Without contact, the sidecar
	// should move to another core machine, and the counts and Peers may be outdated.
	Contact Contact `json:"contact"`
	// CaughtUp is true if the responding core machine is in contact with a quorum and the sidecar has applied
	// the newest configuration version that this machine knows.
	CaughtUp bool `json:"caught"`
	// NewerIncarnation is the newest incarnation of the node that the core machine knows, if it is larger
	// than the incarnation in the request; the request was then ignored. Otherwise it is 0.
	NewerIncarnation registry.Incarnation `json:"newerLife,omitempty"`
	// Version is the newest configuration version that the responding core machine knows, if it is in contact
	// with a quorum. A sidecar that has applied this version when the response arrives is caught up as well.
	// Core machines of an earlier release send 0.
	Version int64 `json:"version,omitempty"`
	// Deregistered are the instances of the request, its lease's upstream and NewInstance, that were deregistered at a
	// core machine. Core machines of an earlier release send none.
	Deregistered []string `json:"deregistered,omitempty"`
}

// watchRequest is a sidecar's request to open a watch that continues from the state that the sidecar has.
type watchRequest struct {
	Node          string               `json:"node"`
	Incarnation   registry.Incarnation `json:"life"`
	ConfigVersion int64                `json:"charter"`
	// FullConfig requests the full configuration regardless of ConfigVersion.
	FullConfig bool `json:"whole,omitempty"`
	// Epoch and Number identify the registry state that the sidecar has. An Epoch of zero requests the full
	// registry.
	Epoch  registry.Epoch        `json:"epoch"`
	Number registry.ChangeNumber `json:"number"`
	// Services are the services whose upstreams the watch includes; an empty list includes all services.
	Services []string `json:"services,omitempty"`
}

// frame is one line of a watch's JSON stream. A part that is absent has not changed.
type frame struct {
	Config    json.RawMessage `json:"charter,omitempty"`
	Registry  *registryFrame  `json:"catalogue,omitempty"`
	Heartbeat *heartbeatFrame `json:"beat,omitempty"`
}

// registryFrame holds all upstreams of the requested services, or the changes since the previous frame.
type registryFrame struct {
	Epoch  registry.Epoch        `json:"epoch"`
	Number registry.ChangeNumber `json:"number"`
	Full   bool                  `json:"full,omitempty"`
	// Syncing is true if the core machine may not know all sidecars yet, so an upstream that the frame does
	// not list may still exist.
	Syncing  bool                `json:"young,omitempty"`
	Upserts  []registry.Upstream `json:"upserts,omitempty"`
	Removals []string            `json:"removals,omitempty"`
}

// heartbeatFrame shows that the core machine is alive. If it has no contact with a majority, the other fields
// are empty and the sidecar moves to another core machine.
type heartbeatFrame struct {
	Contact Contact `json:"contact"`
	Version int64   `json:"version"`
	registry.Counts
	Syncing bool `json:"young,omitempty"`
}

// gossipRequest carries changes from one core machine to another. UnreachedPeers are the core machines that
// the sender cannot reach; the receiver forwards the changes to them.
type gossipRequest struct {
	From           string                    `json:"from"`
	UnreachedPeers []string                  `json:"unreached,omitempty"`
	Leases         []registry.RemoteLease    `json:"leases,omitempty"`
	Renewals       []registry.Renewal        `json:"renewals,omitempty"`
	Reports        []registry.UpstreamReport `json:"beats,omitempty"`
	// Echo is the receiver's clock as its last response stated it, and SinceEcho the time from the arrival of
	// that response until this request was created. From the two the receiver computes an upper bound of the
	// request's age.
	Echo      clockReading  `json:"echo"`
	SinceEcho time.Duration `json:"since"`
}

// clockReading is a time on the monotonic clock of a core machine. It is comparable only with readings of the
// same process, which Epoch identifies.
type clockReading struct {
	Epoch registry.Epoch `json:"epoch"`
	At    time.Duration  `json:"at"`
}

// gossipResponse acknowledges a gossip request. UnknownNodes are the nodes whose full lease the sender has to
// send.
type gossipResponse struct {
	Clock        clockReading `json:"clock"`
	Zone         string       `json:"zone,omitempty"`
	UnknownNodes []string     `json:"unknown,omitempty"`
}

// memberListResponse is everything that a core machine knows about sidecars and upstreams.
type memberListResponse struct {
	Clock   clockReading              `json:"clock"`
	Zone    string                    `json:"zone,omitempty"`
	Leases  []registry.RemoteLease    `json:"leases,omitempty"`
	Reports []registry.UpstreamReport `json:"beats,omitempty"`
	Silent  []registry.SilentSidecar  `json:"silent,omitempty"`
}
