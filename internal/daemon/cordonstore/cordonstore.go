// Package cordonstore holds operators' bans of upstreams. A Store applies the bans to every server list of this
// process, stores the bans in a file that outlives the process, and applies changes that another process of the same
// sidecar makes to the file. Package cordon defines the effect of a ban. All methods are safe for concurrent use; only
// Cordon and Uncordon block until the engines have applied a change.
package cordonstore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"caperarch/internal/daemon/cordon"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/policy"
)

const (
	pollInterval = 50 * time.Millisecond  // interval of checks whether another process has changed the file
	applyTimeout = 800 * time.Millisecond // limit on a call, including the file write: callers expect a response in 1 s
	maxBans      = 4096
	maxIDBytes   = 256
)

// Errors of Cordon and Uncordon.
var (
	ErrNeverListed = errors.New("no upstream of this id was ever listed") // detects typing errors in the id
	errTimeout     = errors.New("not taken up within 0.8 s, call again")
	errTooMany     = fmt.Errorf("%d upstreams are out by hand already", maxBans)
	errInvalidID   = fmt.Errorf("an id has 1 to %d bytes, no white space and no control bytes", maxIDBytes)
)

// Engine receives server lists. Its methods do not block.
type Engine interface {
	// UpdateServers applies a list from discovery, which is either full or a delta.
	UpdateServers(l call.ServerList)
	// ReplaceServers applies a full list, and calls applied after decisions use the new list. applied may be nil.
	ReplaceServers(l call.ServerList, applied func())
}

// Store holds the bans of a sidecar and applies them to all server lists of this process.
type Store struct {
	log  *slog.Logger
	file file

	mu        sync.Mutex
	banned    []string // sorted
	lists     map[*List]struct{}
	lastStamp stamp // stamp of the file when this process last read or wrote it
}

// New returns a store that keeps the bans in a file in the directory dir, or only in memory if dir is "". Bans that the
// file already contains apply from the start.
func New(dir string, log *slog.Logger) *Store {
	s := &Store{log: log, file: file{dir}, lists: make(map[*List]struct{})}
	s.reload()
	return s
}

// List is the server list of one engine with the bans applied.
type List struct {
	store        *Store
	engine       Engine
	overlay      *cordon.Overlay // guarded by store.mu
	policyBanned []string        // sorted; guarded by store.mu
}

// SetPolicyBanned replaces the ids that the fleet's policy bans. Uncordon does not lift the bans of the policy.
// SetPolicyBanned does not wait for the engine.
func (l *List) SetPolicyBanned(ids []string) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	if !slices.Equal(l.policyBanned, ids) {
		l.policyBanned = ids
		l.engine.ReplaceServers(l.overlay.SetBanned(l.allBanned()), nil)
	}
}

// SetUnderMaintenance replaces the servers that the fleet's maintenance plans have taken out of service. It does not
// wait for the engine.
func (l *List) SetUnderMaintenance(ids []policy.ServerID) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.engine.ReplaceServers(l.overlay.SetUnderMaintenance(ids), nil)
}

// Entries returns the listed upstreams with bans applied. Maintenance plans have no effect on the entries.
func (l *List) Entries() []cordon.Entry {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	return l.overlay.Entries()
}

// allBanned returns the ids that operators or the fleet's policy have banned. The caller holds store.mu.
func (l *List) allBanned() []string { return slices.Concat(l.store.banned, l.policyBanned) }

// NewList returns a list for an engine. The store applies bans to the list until the list is closed.
func (s *Store) NewList(e Engine) *List {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &List{store: s, engine: e, overlay: cordon.NewOverlay()}
	l.overlay.SetBanned(s.banned)
	s.lists[l] = struct{}{}
	return l
}

// SetInitial sets the initial server list and the upstreams that were listed earlier and are no longer, and returns the
// initial list with bans applied.
func (l *List) SetInitial(known call.ServerList, delisted []policy.ServerID) call.ServerList {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.overlay.Remember(delisted)
	known.Full = true
	return l.overlay.Update(known)
}

// Update applies a list from discovery and passes the list, with the bans applied, to the engine.
func (l *List) Update(fromDiscovery call.ServerList) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.engine.UpdateServers(l.overlay.Update(fromDiscovery))
}

// Listed returns the full list from discovery, without the bans, and the upstreams that were listed earlier and are no
// longer.
func (l *List) Listed() (listed call.ServerList, delisted []policy.ServerID) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	return l.overlay.Listed(), l.overlay.Delisted()
}

// Counts returns the number of listed upstreams, and the number of listed upstreams that receive no new requests.
func (l *List) Counts() (listed, excluded int) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	return l.overlay.Counts()
}

// Close removes the list from the store, which no longer applies bans to the list.
func (l *List) Close() {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	delete(l.store.lists, l)
}

// Cordon bans an upstream, and returns after every engine has stopped sending new requests to the upstream. Cordon is
// idempotent.
func (s *Store) Cordon(id string) error { return s.change(id, true) }

// Uncordon lifts the ban on an upstream, however often it was banned, and returns after every engine may send requests
// to the upstream again.
func (s *Store) Uncordon(id string) error { return s.change(id, false) }

// change bans an upstream or lifts its ban, and waits until every engine has applied the change.
func (s *Store) change(id string, ban bool) error {
	if !validID(id) {
		return errInvalidID
	}
	// The timeout includes the file write. With a timeout that started after the write, a disk that took 0.4 s made the
	// caller wait 1.2 s.
	timeout := time.NewTimer(applyTimeout)
	defer timeout.Stop()
	applied, err := s.store(id, ban)
	if err != nil {
		return err
	}
	s.log.Info("by hand", "upstream", id, "out", ban)
	select {
	case <-applied:
		return nil
	case <-timeout.C:
	}
	select {
	case <-applied: // a slow disk has used up the timeout, but the engines have applied the change
		return nil
	default:
		return errTimeout
	}
}

// store edits the bans in the file and applies the result. The returned channel is closed after every engine has
// applied the bans.
func (s *Store) store(id string, ban bool) (applied <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.neverListed(id) {
		return nil, ErrNeverListed
	}
	full := false
	banned, err := s.file.change(s.banned, func(banned []string) []string {
		at, found := slices.BinarySearch(banned, id)
		switch {
		case found && !ban:
			banned = slices.Delete(banned, at, at+1)
		case !found && ban && len(banned) >= maxBans:
			full = true
		case !found && ban:
			banned = slices.Insert(banned, at, id)
		}
		return banned
	})
	if err != nil { // the change takes effect in this process; a process that replaces this one does not apply it
		s.log.Error("bans not saved, they apply in this process only", "error", err)
	}
	s.lastStamp = s.file.stamp()
	applied = s.apply(banned)
	if full {
		return nil, errTooMany
	}
	return applied, nil
}

// neverListed reports whether no server list has ever contained an id. A banned id counts as listed, because the
// process that banned the id had it in a list. The caller holds mu.
func (s *Store) neverListed(id string) bool {
	if _, banned := slices.BinarySearch(s.banned, id); banned {
		return false
	}
	for l := range s.lists {
		if l.overlay.WasListed(id) {
			return false
		}
	}
	return true
}

// apply sets the bans on all lists. The returned channel is closed after all engines have applied the bans. The caller
// holds mu.
func (s *Store) apply(banned []string) <-chan struct{} {
	s.banned = banned
	var pending sync.WaitGroup
	for l := range s.lists {
		// The list is also passed to the engine if the bans are unchanged: the engine may not have applied the change
		// of an earlier call yet, and this call has to wait for it.
		pending.Add(1)
		l.engine.ReplaceServers(l.overlay.SetBanned(l.allBanned()), pending.Done)
	}
	done := make(chan struct{})
	go func() {
		pending.Wait()
		close(done)
	}()
	return done
}

// reload reads the file and applies its bans if the file has changed since this process last read or wrote it.
func (s *Store) reload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.file.stamp()
	if now == s.lastStamp || now == (stamp{}) {
		return
	}
	s.lastStamp = now
	banned, err := s.file.read()
	if err != nil {
		s.log.Error("bans file not usable, the known bans stay", "error", err)
		return
	}
	slices.Sort(banned)
	if banned = slices.Compact(banned); !slices.Equal(banned, s.banned) {
		s.log.Info("bans read", "out", banned)
		s.apply(banned)
	}
}

// Run reloads the file whenever the file changes, until ctx is done.
func (s *Store) Run(ctx context.Context) {
	if s.file.dir == "" {
		return
	}
	clock.Every(ctx, pollInterval, s.reload)
}

// validID reports whether text is a valid id. All ids that discovery may list are valid, except ids with characters
// that would break a line of the log.
func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes || !utf8.ValidString(id) {
		return false
	}
	for _, c := range id {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
