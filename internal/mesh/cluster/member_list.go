package cluster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"
)

// maxMachines bounds the machines that are remembered, against false announcements.
const maxMachines = 256

// knownMachine is a machine's newest announcement, and when its first and its newest arrived.
type knownMachine struct {
	Announcement
	firstSeen, lastSeen time.Duration
}

// MemberList is the core machines as they announce themselves. It is soft state: it is rebuilt from
// the announcements of those that are live.
type MemberList struct {
	// mu guards all fields below.
	mu       sync.Mutex
	local    Announcement
	machines map[string]*knownMachine // by address
	// membership is the newest one known.
	membership replication.Membership
	// seeds are addresses to announce to besides those of known machines.
	seeds []string
}

// NewMemberList returns a list that knows of the local machine alone.
func NewMemberList(local Announcement, seeds []string) *MemberList {
	return &MemberList{local: local, machines: map[string]*knownMachine{}, seeds: slices.Clone(seeds)}
}

// SetLocal changes the local machine's announcement.
func (l *MemberList) SetLocal(local Announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local = local
}

// Local returns the local machine's announcement.
func (l *MemberList) Local() Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.local
}

// SetSeeds sets the addresses, from the settings, to announce to besides those of known machines.
func (l *MemberList) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = slices.Clone(seeds)
}

// SetMembership records the newest membership that is known; one without voters is ignored.
func (l *MemberList) SetMembership(m replication.Membership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(m.Voters) > 0 {
		l.membership = m
	}
}

// Receive records an announcement that arrived at the time now. An error is of kind Invalid, or
// Busy when too many machines are known.
func (l *MemberList) Receive(now time.Duration, a Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	address := a.ID.Address()
	if address == l.local.ID.Address() {
		return nil
	}
	known := l.machines[address]
	if known == nil {
		l.removeExpired(now)
		if len(l.machines) >= maxMachines {
			return errs.New(errs.Busy, "cluster: %d machines are known", len(l.machines))
		}
		known = &knownMachine{firstSeen: now}
		l.machines[address] = known
	}
	if known.ID != a.ID || now-known.lastSeen > announcementTTL {
		known.firstSeen = now
	}
	known.Announcement, known.lastSeen = a, now
	return nil
}

// removeExpired drops machines whose announcements have expired. The caller holds mu.
func (l *MemberList) removeExpired(now time.Duration) {
	for address, m := range l.machines {
		if now-m.lastSeen > announcementTTL {
			delete(l.machines, address)
		}
	}
}

// Merge adopts what another machine knows. The machines that it names are announced to, but are
// live only once they have announced themselves.
func (l *MemberList) Merge(response *AnnounceResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.membership.Voters) == 0 && len(response.Membership.Voters) > 0 {
		l.membership = response.Membership
	}
	for _, m := range response.Machines {
		address := m.ID.Address()
		if m.Validate() == nil && !slices.Contains(l.seeds, address) && len(l.seeds) < maxMachines {
			l.seeds = append(l.seeds, address)
		}
	}
}

// LiveMembers returns the machines whose announcements haven't expired, and the local one, sorted
// by id.
func (l *MemberList) LiveMembers(now time.Duration) []Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	live := []Announcement{l.local}
	for _, m := range l.machines {
		if now-m.lastSeen <= announcementTTL {
			live = append(live, m.Announcement)
		}
	}
	slices.SortFunc(live, func(a, b Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// NewestJoin is when the machine that joined last was first seen.
func (l *MemberList) NewestJoin() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var newest time.Duration
	for _, m := range l.machines {
		newest = max(newest, m.firstSeen)
	}
	return newest
}

// Addresses returns where core machines receive requests, sorted: the voters' addresses and those
// of the live machines.
func (l *MemberList) Addresses(now time.Duration) []string {
	live := l.LiveMembers(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []string
	for _, id := range l.membership.Voters {
		all = append(all, id.Address())
	}
	for _, m := range live {
		all = append(all, m.ID.Address())
	}
	return slices.Compact(slices.Sorted(slices.Values(all)))
}

// AnnounceTargets returns every address at which a core machine may be found, sorted, without the
// local one.
func (l *MemberList) AnnounceTargets(now time.Duration) []string {
	all := l.Addresses(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	all = append(all, l.seeds...)
	all = slices.Compact(slices.Sorted(slices.Values(all)))
	return slices.DeleteFunc(all, func(address string) bool { return address == l.local.ID.Address() })
}
