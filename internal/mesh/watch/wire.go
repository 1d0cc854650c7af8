// Package watch is how news reaches the sidecars: the Server of a core
// member, which holds the leases and pushes what changed, and the Client
// of a sidecar, which keeps to one core member at a time.
package watch

import (
	"encoding/json"
	"time"

	"caperarch/internal/mesh/registry"
)

const (
	// beatEvery is the time between beats on a watch.
	heartbeatInterval = 400 * time.Millisecond
	// silence is how long a watch may be without a byte before the sidecar goes
	// to another member. It spans two beats and guards against held
	// connections to members that are gone.
	idleTimeout = 1100 * time.Millisecond
	// renewEvery is the time between lease renewals: three to a lease.
	renewInterval = 800 * time.Millisecond
	// callTimeout bounds one call, against peers that take it and say nothing.
	callTimeout = time.Second
	// maxFrame bounds a frame of a watch, against a member gone wrong. It
	// leaves room for the largest configuration.
	maxFrame = 72 << 20
	// maxLeaseBody and maxWatchBody bound what a sidecar sends, and
	// maxGossipBody what a member does, against junk taking memory.
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

// Peer is a core member as sidecars are told of it. The zone is empty while
// it is not known.
type Peer struct {
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
}

// LeaseResponse answers a renewal.
type LeaseResponse struct {
	// TTL is how long the lease lasts, in seconds.
	TTL float64 `json:"ttl"`
	// Members counts the live leases, PeakMembers is the largest count lately.
	// While Syncing both may be too small.
	Members     int  `json:"members"`
	PeakMembers int  `json:"largest"`
	Syncing     bool `json:"young,omitempty"`
	// Leader is a hint where the leader is.
	Leader string `json:"sequencer,omitempty"`
	// Zone is the answering member's, and Peers are all core members.
	Zone  string `json:"zone,omitempty"`
	Peers []Peer `json:"peers"`
	// Contact is the answering member's. Without it the sidecar should go
	// elsewhere, and the counts and Peers may be old.
	Contact Contact `json:"contact"`
	// CaughtUp says that this member is in contact with a quorum and the sidecar
	// has applied the newest configuration known here.
	CaughtUp bool `json:"caught"`
}

// watchRequest opens a watch from what the sidecar holds.
type watchRequest struct {
	Node          string `json:"node"`
	Incarnation   uint64 `json:"life"`
	ConfigVersion int64  `json:"charter"`
	// Whole asks for the whole configuration whatever is held.
	FullConfig bool     `json:"whole,omitempty"`
	Epoch      uint64   `json:"epoch"`
	Number     uint64   `json:"number"`
	Services   []string `json:"services,omitempty"`
}

type frame struct {
	Config    json.RawMessage `json:"charter,omitempty"`
	Registry  *registryFrame  `json:"catalogue,omitempty"`
	Heartbeat *heartbeatFrame `json:"beat,omitempty"`
}

type registryFrame struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
	Full   bool   `json:"full,omitempty"`
	// Syncing says that the member may not have heard from everybody yet, so that
	// what it does not list may well be there.
	Syncing  bool                `json:"young,omitempty"`
	Upserts  []registry.Upstream `json:"upserts,omitempty"`
	Removals []string            `json:"removals,omitempty"`
}

// beatFrame is the member's sign of life. Without contact it carries nothing
// else, and tells the sidecar to go elsewhere.
type heartbeatFrame struct {
	Contact     Contact `json:"contact"`
	Version     int64   `json:"version"`
	Members     int     `json:"members"`
	PeakMembers int     `json:"largest"`
	Syncing     bool    `json:"young,omitempty"`
}

// gossip is what one member tells another. Unreached are the members the
// sender does not reach: the receiver passes the news on to them.
type gossipRequest struct {
	From           string                    `json:"from"`
	UnreachedPeers []string                  `json:"unreached,omitempty"`
	Leases         []registry.RemoteLease    `json:"leases,omitempty"`
	Renewals       []registry.Renewal        `json:"renewals,omitempty"`
	Reports        []registry.UpstreamReport `json:"beats,omitempty"`
	// Echo is the receiver's clock as it answered last, and Since the time from
	// that answer's arrival to the making of this message. So the receiver
	// knows how old the message may be.
	Echo      clockReading  `json:"echo"`
	SinceEcho time.Duration `json:"since"`
}

// clockReading is a member's steady clock, which means something only to that
// member in that process life.
type clockReading struct {
	Epoch uint64        `json:"epoch"`
	At    time.Duration `json:"at"`
}

// gossipAnswer names the nodes whose lease has to be sent whole.
type gossipResponse struct {
	Clock        clockReading `json:"clock"`
	Zone         string       `json:"zone,omitempty"`
	UnknownNodes []string     `json:"unknown,omitempty"`
}

// rollAnswer is all that a member knows of the sidecars and upstreams.
type memberListResponse struct {
	Clock   clockReading              `json:"clock"`
	Zone    string                    `json:"zone,omitempty"`
	Leases  []registry.RemoteLease    `json:"leases,omitempty"`
	Reports []registry.UpstreamReport `json:"beats,omitempty"`
}
