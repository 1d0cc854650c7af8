// Package cordonstore owns operators' bans of upstreams: it applies them to every list of this process, stores
// them in a file that outlives the process, and picks up what another process of the same sidecar wrote there.
// Package cordon says what a ban does. All methods may be called from any goroutine; only Cordon and Uncordon
// wait.
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
	pollInterval = 50 * time.Millisecond  // of the file: another process of this sidecar may have changed it
	applyTimeout = 800 * time.Millisecond // of a call, the file's write included: its answer is due within 1 s
	maxBans      = 4096
	maxIDBytes   = 256
)

// Why a call is rejected.
var (
	ErrNeverListed = errors.New("no upstream of this id was ever listed") // else a typing error would go unnoticed
	errTimeout     = errors.New("not taken up within 0.8 s, call again")
	errTooMany     = fmt.Errorf("%d upstreams are out by hand already", maxBans)
	errInvalidID   = fmt.Errorf("an id has 1 to %d bytes, no white space and no control bytes", maxIDBytes)
)

// Engine receives lists. Neither method waits.
type Engine interface {
	// UpdateServers applies a list from discovery, full or a delta.
	UpdateServers(l call.ServerList)
	// ReplaceServers applies a full list, and calls applied once decisions follow it; applied may be nil.
	ReplaceServers(l call.ServerList, applied func())
}

// Store holds the bans of this process and applies them to all of its lists.
type Store struct {
	log  *slog.Logger
	file file

	mu        sync.Mutex
	banned    []string // sorted
	lists     map[*List]struct{}
	lastStamp stamp // of the file when it was last read or written
}

// New returns a store that keeps its bans in the folder dir, or in memory alone if dir is "". Bans that the file
// already holds apply from the start.
func New(dir string, log *slog.Logger) *Store {
	s := &Store{log: log, file: file{dir}, lists: make(map[*List]struct{})}
	s.reload()
	return s
}

// List is one engine's list with the bans applied.
type List struct {
	store        *Store
	engine       Engine
	overlay      *cordon.Overlay // guarded by store.mu
	policyBanned []string        // sorted; guarded by store.mu
}

// SetPolicyBanned replaces the ids that the fleet's policy bans. They are no bans of an operator, and Uncordon
// does not lift them. It does not wait.
func (l *List) SetPolicyBanned(ids []string) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	if !slices.Equal(l.policyBanned, ids) {
		l.policyBanned = ids
		l.engine.ReplaceServers(l.overlay.SetBanned(l.excluded()), nil)
	}
}

// SetUnderMaintenance replaces the servers that the fleet's maintenance plans have taken out. It does not wait.
func (l *List) SetUnderMaintenance(ids []policy.ServerID) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.engine.ReplaceServers(l.overlay.SetUnderMaintenance(ids), nil)
}

// Entries returns the listed upstreams. Maintenance plans are left out of account.
func (l *List) Entries() []cordon.Entry {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	return l.overlay.Entries()
}

// excluded returns all banned ids, by operators and by policy. The caller holds store.mu.
func (l *List) excluded() []string { return slices.Concat(l.store.banned, l.policyBanned) }

// NewList starts a list for an engine. The list is followed until its Close.
func (s *Store) NewList(e Engine) *List {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &List{store: s, engine: e, overlay: cordon.NewOverlay()}
	l.overlay.SetBanned(s.banned)
	s.lists[l] = struct{}{}
	return l
}

// SetInitial sets the list that is known at the start and the upstreams that were listed before, and returns the list
// as the engine is to begin with it.
func (l *List) SetInitial(known call.ServerList, ever []policy.ServerID) call.ServerList {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.overlay.Remember(ever)
	known.Full = true
	return l.overlay.Update(known)
}

// Update applies a list from discovery and passes it to the engine, with the bans applied.
func (l *List) Update(fromDiscovery call.ServerList) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.engine.UpdateServers(l.overlay.Update(fromDiscovery))
}

// Listed returns the full list as discovery has it, without the bans, and the upstreams that were listed before.
func (l *List) Listed() (listed call.ServerList, delisted []policy.ServerID) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	return l.overlay.Listed(), l.overlay.Delisted()
}

// Counts returns how many upstreams are listed, and how many of them get no new requests.
func (l *List) Counts() (known, excluded int) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	return l.overlay.Counts()
}

// Close ends the list: bans are no longer applied to it.
func (l *List) Close() {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	delete(l.store.lists, l)
}

// Cordon bans an upstream, and returns once every engine sends it nothing new. It is idempotent.
func (s *Store) Cordon(id string) error { return s.change(id, true) }

// Uncordon lifts the ban on an upstream, however often it was banned, and returns once every engine may use it again.
func (s *Store) Uncordon(id string) error { return s.change(id, false) }

// change bans an upstream or lifts its ban, and waits until every engine has applied that.
func (s *Store) change(id string, ban bool) error {
	if !validID(id) {
		return errInvalidID
	}
	// The time-out starts here, not once the file is written: a disk that took 0.4 s had the caller wait for 1.2 s.
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
	case <-applied: // a slow disk has used up the time, and the engines were ready nonetheless
		return nil
	default:
		return errTimeout
	}
}

// store edits the file and applies the result; the channel is closed once every engine has applied it.
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
	if err != nil { // the ban applies here; a process that replaces this one would not know of it
		s.log.Error("bans could not be kept, they hold in this process alone", "error", err)
	}
	s.lastStamp = s.file.stamp()
	applied = s.apply(banned)
	if full {
		return nil, errTooMany
	}
	return applied, nil
}

// neverListed says whether no list ever had an id. A banned id was listed to whoever banned it. The caller holds mu.
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

// apply sets the bans on all lists; the channel is closed once all engines have applied them. The caller holds mu.
func (s *Store) apply(banned []string) <-chan struct{} {
	s.banned = banned
	var all sync.WaitGroup
	for l := range s.lists {
		// Also without a change: the one of an earlier call may still wait to be applied.
		all.Add(1)
		l.engine.ReplaceServers(l.overlay.SetBanned(l.excluded()), all.Done)
	}
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	return done
}

// reload applies the bans of the file if it has changed since it was last read or written.
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

// Run reloads the file whenever it changes, until ctx ends.
func (s *Store) Run(ctx context.Context) {
	if s.file.dir == "" {
		return
	}
	clock.Every(ctx, pollInterval, s.reload)
}

// validID says whether text may be an id: all that discovery may list, but for what would break a line of the log.
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
