package cluster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"
)

// maxMachines bounds the number of machines in a MemberList, so that false announcements can't exhaust
// the memory.
const maxMachines = 256

// knownMachine is the newest announcement of a machine. lastSeen is the time at which the announcement
// was received. firstSeen is the time at which the machine joined: it is reset when the member ID at the
// address changes, or when an announcement is received after the previous one has expired.
type knownMachine struct {
	Announcement
	firstSeen, lastSeen time.Duration
}

// MemberList is the list of core machines, according to their own announcements. It is soft state that
// is rebuilt from the announcements of live machines after a restart.
type MemberList struct {
	// mu guards all fields below.
	mu       sync.Mutex
	local    Announcement
	machines map[string]*knownMachine // by address
	// membership is the newest known membership of the log.
	membership replication.Membership
	// seeds are additional addresses to which the local machine announces itself.
	seeds []string
}

// NewMemberList returns a list that contains only the local machine.
func NewMemberList(local Announcement, seeds []string) *MemberList {
	return &MemberList{local: local, machines: map[string]*knownMachine{}, seeds: slices.Clone(seeds)}
}

// SetLocal replaces the local machine's announcement.
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

// SetSeeds replaces the seed addresses by those from the settings. The local machine announces itself to
// them as well as to the known machines.
func (l *MemberList) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = slices.Clone(seeds)
}

// SetMembership records the newest known membership. A membership without voters is ignored.
func (l *MemberList) SetMembership(m replication.Membership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(m.Voters) > 0 {
		l.membership = m
	}
}

// Receive records an announcement that was received at the time now. The error is of kind Invalid if the
// announcement is invalid, and Busy if too many machines are known.
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

// removeExpired removes the machines whose announcements have expired. The caller holds mu.
func (l *MemberList) removeExpired(now time.Duration) {
	for address, m := range l.machines {
		if now-m.lastSeen > announcementTTL {
			delete(l.machines, address)
		}
	}
}

// Merge adds the content of another machine's response to the list. The membership is adopted if none is
// known yet. The machines in the response become announcement targets, but count as live only once their
// own announcements have been received.
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

// LiveMembers returns the announcements of the local machine and of all machines whose announcements
// haven't expired, sorted by member ID.
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

// NewestJoin returns the time at which the machine that joined last was first seen.
func (l *MemberList) NewestJoin() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var newest time.Duration
	for _, m := range l.machines {
		newest = max(newest, m.firstSeen)
	}
	return newest
}

// Addresses returns the addresses at which core machines receive requests, sorted: the addresses of the
// voters and of the live machines.
func (l *MemberList) Addresses(now time.Duration) []string {
	live := l.LiveMembers(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	for _, id := range l.membership.Voters {
		addresses = append(addresses, id.Address())
	}
	for _, m := range live {
		addresses = append(addresses, m.ID.Address())
	}
	return slices.Compact(slices.Sorted(slices.Values(addresses)))
}

// AnnounceTargets returns all addresses at which a core machine may be found, sorted and without the
// local machine's address.
func (l *MemberList) AnnounceTargets(now time.Duration) []string {
	addresses := l.Addresses(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses = append(addresses, l.seeds...)
	addresses = slices.Compact(slices.Sorted(slices.Values(addresses)))
	return slices.DeleteFunc(addresses, func(address string) bool { return address == l.local.ID.Address() })
}
