// Package cluster decides who the core machines are: which of them vote in the replicated log, which
// follow it as learners, and when one takes another's place. It does no I/O and knows no clock; what
// it decides is carried out by a change of membership in the log, and by nothing else.
package cluster

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"
)

const (
	// AnnounceInterval is how often a core machine tells the others of itself.
	AnnounceInterval = 500 * time.Millisecond
	// announcementTTL is how long a machine counts as there after its last announcement: four of them may be
	// lost.
	announcementTTL = 2500 * time.Millisecond
	// maxMachines bounds the machines that are remembered, against announcements that lie.
	maxMachines = 256
	// maxNameBytes bounds the names in an announcement.
	maxNameBytes = 512
)

// Announcement is a core machine's word on itself.
type Announcement struct {
	ID   replication.MemberID `json:"id"`
	Zone string               `json:"zone"`
	// Leaving says that the machine was told to end and waits to be replaced.
	Leaving bool `json:"leaving,omitempty"`
	// Cluster is the cluster that its disk belongs to; 0 where it is empty.
	Cluster replication.ClusterID `json:"cluster,omitempty"`
}

// Validate refuses an announcement that can't be one.
func (a *Announcement) Validate() error {
	if _, _, err := net.SplitHostPort(a.ID.Address()); err != nil {
		return errs.New(errs.Invalid, "cluster: the member %.64q has no address", a.ID)
	}
	if len(a.ID) > maxNameBytes || len(a.Zone) > maxNameBytes {
		return errs.New(errs.Invalid, "cluster: a name of over %d bytes", maxNameBytes)
	}
	return nil
}

// AnnounceResponse is the answer to an announcement: who the core machines are.
type AnnounceResponse struct {
	// Cluster is 0 while the machine that answers belongs to none itself.
	Cluster    replication.ClusterID  `json:"cluster,omitempty"`
	Membership replication.Membership `json:"membership"`
	// Machines are those that the answering machine has heard of lately, and itself.
	Machines []Announcement       `json:"machines,omitempty"`
	Leader   replication.MemberID `json:"leader,omitempty"`
	Term     replication.Term     `json:"term,omitempty"`
	// SafeToLeave says, to a machine that is leaving, that nothing waits for it any more.
	SafeToLeave bool `json:"released,omitempty"`
}

// knownMachine is an announcement and when it came.
type knownMachine struct {
	Announcement
	firstSeen, lastSeen time.Duration
}

// MemberList is which core machines there are, as far as announcements tell. It is soft state: it is
// rebuilt from those that go on announcing themselves.
type MemberList struct {
	mu       sync.Mutex
	local    Announcement
	machines map[string]*knownMachine // by address
	// membership is the newest one known, and hints are addresses to ask beside all that is known.
	membership replication.Membership
	seeds      []string
}

// NewMemberList knows only of the machine itself.
func NewMemberList(own Announcement, seeds []string) *MemberList {
	return &MemberList{local: own, machines: map[string]*knownMachine{}, seeds: slices.Clone(seeds)}
}

// SetLocal changes the machine's word on itself.
func (r *MemberList) SetLocal(own Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.local = own
}

// Local is the machine's word on itself.
func (r *MemberList) Local() Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.local
}

// SetSeeds names addresses that are asked beside all that is known: the settings' seeds.
func (r *MemberList) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = slices.Clone(seeds)
}

// SetMembership notes the newest membership that is known here.
func (r *MemberList) SetMembership(m replication.Membership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(m.Voters) > 0 {
		r.membership = m
	}
}

// Receive takes a machine's word on itself.
func (r *MemberList) Receive(now time.Duration, a Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	address := a.ID.Address()
	if address == r.local.ID.Address() {
		return nil
	}
	known := r.machines[address]
	if known == nil {
		r.removeExpired(now)
		if len(r.machines) >= maxMachines {
			return errs.New(errs.Busy, "cluster: %d machines are known", len(r.machines))
		}
		known = &knownMachine{firstSeen: now}
		r.machines[address] = known
	}
	if known.ID != a.ID || now-known.lastSeen > announcementTTL {
		known.firstSeen = now
	}
	known.Announcement, known.lastSeen = a, now
	return nil
}

// removeExpired drops machines that have been silent for long.
func (r *MemberList) removeExpired(now time.Duration) {
	for address, m := range r.machines {
		if now-m.lastSeen > announcementTTL {
			delete(r.machines, address)
		}
	}
}

// Merge takes over what another machine has heard. A machine that is known only so is asked, but
// counts as there only once it has announced itself.
func (r *MemberList) Merge(p *AnnounceResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.membership.Voters) == 0 && len(p.Membership.Voters) > 0 {
		r.membership = p.Membership
	}
	for _, m := range p.Machines {
		address := m.ID.Address()
		if m.Validate() == nil && !slices.Contains(r.seeds, address) && len(r.seeds) < maxMachines {
			r.seeds = append(r.seeds, address)
		}
	}
}

// LiveMembers is the machines that announced themselves lately, and this one, by address.
func (r *MemberList) LiveMembers(now time.Duration) []Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := []Announcement{r.local}
	for _, m := range r.machines {
		if now-m.lastSeen <= announcementTTL {
			live = append(live, m.Announcement)
		}
	}
	slices.SortFunc(live, func(a, b Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// NewestJoin is when the machine that was heard of last announced itself for the first time.
func (r *MemberList) NewestJoin() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newest time.Duration
	for _, m := range r.machines {
		newest = max(newest, m.firstSeen)
	}
	return newest
}

// Addresses is where core machines take calls: the voters, and those that are there beside them.
func (r *MemberList) Addresses(now time.Duration) []string {
	live := r.LiveMembers(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []string
	for _, id := range r.membership.Voters {
		all = append(all, id.Address())
	}
	for _, m := range live {
		all = append(all, m.ID.Address())
	}
	return slices.Compact(slices.Sorted(slices.Values(all)))
}

// AnnounceTargets is every address at which a core machine may be found, this one's own left out.
func (r *MemberList) AnnounceTargets(now time.Duration) []string {
	all := r.Addresses(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	all = append(all, r.seeds...)
	all = slices.Compact(slices.Sorted(slices.Values(all)))
	return slices.DeleteFunc(all, func(address string) bool { return address == r.local.ID.Address() })
}
