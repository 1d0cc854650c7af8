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
	// heartbeatInterval is the time between heartbeats on a watch.
	heartbeatInterval = 400 * time.Millisecond
	// idleTimeout is how long a watch may be without a byte before the sidecar
	// looks for another member. It spans two heartbeats and guards against open
	// connections to members that no longer run.
	idleTimeout = 1100 * time.Millisecond
	// renewInterval is the time between lease renewals: three to a lease.
	renewInterval = 800 * time.Millisecond
	// lateRenewal is how long a renewal may be unanswered before the sidecar looks for
	// another member: this one may not hear it.
	lateRenewal = time.Second
	// callTimeout bounds one call between members, against peers that accept it and
	// do not answer.
	callTimeout = time.Second
	// slowLinkTimeout bounds a call of a sidecar, and how long its watch may be without
	// a byte, where no other member answers sooner: then it is the sidecar's own link
	// that is slow. It spans opening a connection and a call on a link on which a round
	// trip takes almost two seconds.
	slowLinkTimeout = 4 * time.Second
	// maxFrame bounds a frame of a watch in bytes, against a faulty member. It
	// leaves room for the largest configuration.
	maxFrame = 72 << 20
	// maxLeaseBody and maxWatchBody bound in bytes what a sidecar sends, and
	// maxGossipBody what a member does, against memory taken by invalid requests.
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

// Peer is a core machine as sidecars learn of it. The zone is empty while it is
// not known.
type Peer struct {
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
}

// PeersDigest is a hash of a list of core machines with their zones. Lists of the
// same machines have equal digests.
type PeersDigest uint64

// digestPeers returns the digest of a list of core machines in any order. It is
// never 0.
func digestPeers(peers []Peer) PeersDigest {
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b Peer) int { return cmp.Compare(a.Address, b.Address) })
	hash := xxhash.New()
	for _, p := range sorted {
		fmt.Fprintf(hash, "%q %q\n", p.Address, p.Zone)
	}
	return PeersDigest(max(1, hash.Sum64()))
}

// leaseRequest renews a lease.
type leaseRequest struct {
	registry.Lease
	// KnownPeers is the PeersDigest of the last list that the sidecar received, 0 if
	// it has none.
	KnownPeers PeersDigest `json:"knownPeers,omitempty"`
}

// LeaseResponse answers a renewal.
type LeaseResponse struct {
	// TTL is how long the lease lasts, in seconds.
	TTL float64 `json:"ttl"`
	// The counts may be too small while Syncing.
	registry.Counts
	Syncing bool `json:"young,omitempty"`
	// Leader is a hint where the leader is.
	Leader string `json:"sequencer,omitempty"`
	// Zone is the answering member's, and Peers are all core machines, with their
	// digest. There are none where the request names the same digest.
	Zone        string      `json:"zone,omitempty"`
	Peers       []Peer      `json:"peers"`
	PeersDigest PeersDigest `json:"peersDigest,omitempty"`
	// Contact is the answering member's. Without it the sidecar should go to
	// another member, and the counts and Peers may be outdated.
	Contact Contact `json:"contact"`
	// CaughtUp says that this member is in contact with a quorum and that the
	// sidecar has applied the newest configuration known here.
	CaughtUp bool `json:"caught"`
	// NewerIncarnation is that of a process of the same node which the member knows
	// and which is newer than the one that renews, by its own word: the lease was
	// ignored. It is 0 otherwise.
	NewerIncarnation registry.Incarnation `json:"newerLife,omitempty"`
	// Version is the newest configuration known to this member, if it is in contact
	// with a quorum. A sidecar that has applied it by the time of the response is
	// caught up, too. It is 0 from a member of an earlier release.
	Version int64 `json:"version,omitempty"`
}

// watchRequest opens a watch that continues from the sidecar's current state.
type watchRequest struct {
	Node          string               `json:"node"`
	Incarnation   registry.Incarnation `json:"life"`
	ConfigVersion int64                `json:"charter"`
	// FullConfig asks for the full configuration whatever ConfigVersion is.
	FullConfig bool `json:"whole,omitempty"`
	// Epoch and Number are the registry state that the sidecar has; an Epoch of
	// zero asks for the full registry.
	Epoch  registry.Epoch        `json:"epoch"`
	Number registry.ChangeNumber `json:"number"`
	// Services limits the registry to these services; none means all.
	Services []string `json:"services,omitempty"`
}

// frame is one line of a watch's stream. What is absent has not changed.
type frame struct {
	Config    json.RawMessage `json:"charter,omitempty"`
	Registry  *registryFrame  `json:"catalogue,omitempty"`
	Heartbeat *heartbeatFrame `json:"beat,omitempty"`
}

// registryFrame is the full registry of the requested services, or what changed
// since the last frame.
type registryFrame struct {
	Epoch  registry.Epoch        `json:"epoch"`
	Number registry.ChangeNumber `json:"number"`
	Full   bool                  `json:"full,omitempty"`
	// Syncing says that the member may not know all sidecars yet, so an upstream
	// that it does not list may well exist.
	Syncing  bool                `json:"young,omitempty"`
	Upserts  []registry.Upstream `json:"upserts,omitempty"`
	Removals []string            `json:"removals,omitempty"`
}

// heartbeatFrame says that the member is alive. Without contact it carries
// nothing else, and the sidecar goes to another member.
type heartbeatFrame struct {
	Contact Contact `json:"contact"`
	Version int64   `json:"version"`
	registry.Counts
	Syncing bool `json:"young,omitempty"`
}

// gossipRequest carries one member's changes to another. UnreachedPeers are the
// members that the sender does not reach: the receiver forwards the changes to
// them.
type gossipRequest struct {
	From           string                    `json:"from"`
	UnreachedPeers []string                  `json:"unreached,omitempty"`
	Leases         []registry.RemoteLease    `json:"leases,omitempty"`
	Renewals       []registry.Renewal        `json:"renewals,omitempty"`
	Reports        []registry.UpstreamReport `json:"beats,omitempty"`
	// Echo is the receiver's clock in its last response, and SinceEcho the time
	// from that response's arrival until this message was made. The two bound
	// the age of the message for the receiver.
	Echo      clockReading  `json:"echo"`
	SinceEcho time.Duration `json:"since"`
}

// clockReading is a member's monotonic clock, which means something only to
// that member in the incarnation that Epoch names.
type clockReading struct {
	Epoch registry.Epoch `json:"epoch"`
	At    time.Duration  `json:"at"`
}

// gossipResponse names the nodes whose full lease has to be sent.
type gossipResponse struct {
	Clock        clockReading `json:"clock"`
	Zone         string       `json:"zone,omitempty"`
	UnknownNodes []string     `json:"unknown,omitempty"`
}

// memberListResponse is all that a member knows of sidecars and upstreams.
type memberListResponse struct {
	Clock   clockReading              `json:"clock"`
	Zone    string                    `json:"zone,omitempty"`
	Leases  []registry.RemoteLease    `json:"leases,omitempty"`
	Reports []registry.UpstreamReport `json:"beats,omitempty"`
	Silent  []registry.SilentSidecar  `json:"silent,omitempty"`
}
