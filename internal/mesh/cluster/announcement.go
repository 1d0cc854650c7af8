package cluster

import (
	"fmt"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"
)

const (
	// AnnounceInterval is the time between two announcements of a core machine.
	AnnounceInterval = 500 * time.Millisecond
	// announcementTTL is how long a machine counts as live after its last announcement. At
	// AnnounceInterval, four announcements in a row may be lost.
	announcementTTL = 2500 * time.Millisecond
	// maxNameBytes bounds the size of the member ID and of the zone in an announcement.
	maxNameBytes = 512
)

// Announcement is the state that a core machine reports about itself to the other core machines.
type Announcement struct {
	ID   replication.MemberID `json:"id"`
	Zone string               `json:"zone"`
	// Leaving is set while the machine is shutting down and waits for its replacement.
	Leaving bool `json:"leaving,omitempty"`
	// Cluster is the ID of the cluster to which the machine's disk belongs, or 0 if the disk is empty.
	Cluster replication.ClusterID `json:"cluster,omitempty"`
}

// AnnounceRequest is an announcement, with a digest of the machines that its sender knows.
type AnnounceRequest struct {
	Announcement
	// KnownMachines is the digest of the machines that are live according to the sender's member list,
	// or 0 if the sender reports no digest. If the receiver knows the same machines, it omits them from
	// its response.
	KnownMachines MachinesDigest `json:"knownMachines,omitempty"`
}

// MachinesDigest is a hash of a list of live machines. Equal lists have equal digests.
type MachinesDigest uint64

// DigestMachines returns the digest of a list of machines sorted by ID. The digest is never 0.
func DigestMachines(machines []Announcement) MachinesDigest {
	hash := xxhash.New()
	for _, m := range machines {
		fmt.Fprintf(hash, "%q %q %t %d\n", m.ID, m.Zone, m.Leaving, m.Cluster)
	}
	return MachinesDigest(max(1, hash.Sum64()))
}

// Validate returns an error of kind Invalid if the member ID contains no address, or if the ID or the
// zone is too long.
func (a *Announcement) Validate() error {
	if _, _, err := net.SplitHostPort(a.ID.Address()); err != nil {
		return errs.New(errs.Invalid, "cluster: the member %.64q has no address", a.ID)
	}
	if len(a.ID) > maxNameBytes || len(a.Zone) > maxNameBytes {
		return errs.New(errs.Invalid, "cluster: a name of over %d bytes", maxNameBytes)
	}
	return nil
}

// AnnounceResponse is the response to an announcement. It contains what the responding machine knows
// about the cluster and its core machines.
type AnnounceResponse struct {
	// Cluster is the ID of the responding machine's cluster, or 0 if the machine belongs to no cluster
	// yet.
	Cluster    replication.ClusterID  `json:"cluster,omitempty"`
	Membership replication.Membership `json:"membership"`
	// Machines are the responding machine and the machines whose announcements it has received within
	// announcementTTL. The list is empty if it has the digest in the request's KnownMachines.
	Machines []Announcement       `json:"machines,omitempty"`
	Leader   replication.MemberID `json:"leader,omitempty"`
	Term     replication.Term     `json:"term,omitempty"`
	// SafeToLeave tells a leaving machine that it needn't wait for a replacement. Only the leader sets
	// it.
	SafeToLeave bool `json:"released,omitempty"`
}
