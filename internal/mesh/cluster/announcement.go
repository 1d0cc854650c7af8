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
	// AnnounceInterval is how often a core machine announces itself to the others.
	AnnounceInterval = 500 * time.Millisecond
	// announcementTTL is how long a machine counts as live after its last announcement: four of
	// them may be lost.
	announcementTTL = 2500 * time.Millisecond
	// maxNameBytes bounds the names in an announcement.
	maxNameBytes = 512
)

// Announcement is what a core machine reports of itself to the others.
type Announcement struct {
	ID   replication.MemberID `json:"id"`
	Zone string               `json:"zone"`
	// Leaving says that the machine is shutting down and waits to be replaced.
	Leaving bool `json:"leaving,omitempty"`
	// Cluster is the cluster that the machine's disk belongs to; 0 where the disk is empty.
	Cluster replication.ClusterID `json:"cluster,omitempty"`
}

// AnnounceRequest is an announcement with what its sender knows of the others.
type AnnounceRequest struct {
	Announcement
	// KnownMachines is the digest of the machines that are live by the sender's own list, 0 from one that
	// doesn't say. One that receives it and knows the same machines leaves them out of its response.
	KnownMachines MachinesDigest `json:"knownMachines,omitempty"`
}

// MachinesDigest is a hash of a list of live machines. Equal lists have equal digests.
type MachinesDigest uint64

// DigestMachines returns the digest of machines that are sorted by id. It is never 0.
func DigestMachines(machines []Announcement) MachinesDigest {
	hash := xxhash.New()
	for _, m := range machines {
		fmt.Fprintf(hash, "%q %q %t %d\n", m.ID, m.Zone, m.Leaving, m.Cluster)
	}
	return MachinesDigest(max(1, hash.Sum64()))
}

// Validate returns an error of kind Invalid for an announcement without an address, or with names
// that are too long.
func (a *Announcement) Validate() error {
	if _, _, err := net.SplitHostPort(a.ID.Address()); err != nil {
		return errs.New(errs.Invalid, "cluster: the member %.64q has no address", a.ID)
	}
	if len(a.ID) > maxNameBytes || len(a.Zone) > maxNameBytes {
		return errs.New(errs.Invalid, "cluster: a name of over %d bytes", maxNameBytes)
	}
	return nil
}

// AnnounceResponse answers an announcement with the core machines that are known.
type AnnounceResponse struct {
	// Cluster is 0 while the answering machine itself belongs to none.
	Cluster    replication.ClusterID  `json:"cluster,omitempty"`
	Membership replication.Membership `json:"membership"`
	// Machines are those whose announcements are live, and the answering machine itself. There are none
	// where the request's KnownMachines are the same.
	Machines []Announcement       `json:"machines,omitempty"`
	Leader   replication.MemberID `json:"leader,omitempty"`
	Term     replication.Term     `json:"term,omitempty"`
	// SafeToLeave says, to a machine that is leaving, that it needn't wait for a replacement.
	SafeToLeave bool `json:"released,omitempty"`
}
