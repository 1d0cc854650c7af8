// Package cordonstore carries bans by hand from operators to the lists of this process, and to and from the file that outlives it: see cordon for what a ban does.
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
	lookEvery = 50 * time.Millisecond  // at the file: another process of this sidecar may have been told
	takeUp    = 800 * time.Millisecond // a call may take so long, the file's writing and the engines' part; its answer is owed within 1 s
	most      = 4096                   // bans at once; each list is told apart by them
	idMost    = 256                    // bytes of an id
)

// What a call is told no for.
var (
	ErrNeverListed = errors.New("no upstream of this id was ever listed") // a slip of the pen, that nobody would notice
	errBusy        = errors.New("not taken up within 0.8 s, call again")
	errMany        = fmt.Errorf("%d upstreams are out by hand already", most)
	errID          = fmt.Errorf("an id has 1 to %d bytes, no white space and no control bytes", idMost)
)

// Engine takes lists up; neither waits.
type Engine interface {
	// UpdateServers takes what discovery has told.
	UpdateServers(l call.ServerList)
	// ReplaceServers takes the whole list as it is to be seen from now on, and calls taken once that is so.
	ReplaceServers(l call.ServerList, taken func())
}

// Store has the bans of this process, over all of its lists.
type Store struct {
	log  *slog.Logger
	file file

	mu    sync.Mutex
	bans  []string // sorted
	lists map[*List]struct{}
	seen  stamp // of the file, when it was read last
}

// New makes a keeper whose bans are kept in a folder; "": in this process alone. What stands there holds from the start.
func New(dir string, log *slog.Logger) *Store {
	k := &Store{log: log, file: file{dir}, lists: make(map[*List]struct{})}
	k.look()
	return k
}

// List is one engine's list, with the bans laid over it.
type List struct {
	k       *Store
	engine  Engine
	overlay *cordon.Overlay // under the keeper's lock
	also    []string        // out by the fleet's policy, in order; under the keeper's lock
}

// SetPolicyBanned takes what else is out, by the fleet's policy: it is no ban by hand, and no call ends it. It does not wait.
func (l *List) SetPolicyBanned(ids []string) {
	l.k.mu.Lock()
	defer l.k.mu.Unlock()
	if !slices.Equal(l.also, ids) {
		l.also = ids
		l.engine.ReplaceServers(l.overlay.SetBanned(l.out()), nil)
	}
}

// SetUnderMaintenance takes which upstreams are out by the fleet's plans of work, whatever is said by hand. It does not wait.
func (l *List) SetUnderMaintenance(ids []policy.ServerID) {
	l.k.mu.Lock()
	defer l.k.mu.Unlock()
	l.engine.ReplaceServers(l.overlay.SetUnderMaintenance(ids), nil)
}

// Entries are the upstreams that are listed, plans of work left aside.
func (l *List) Entries() []cordon.Entry {
	l.k.mu.Lock()
	defer l.k.mu.Unlock()
	return l.overlay.Entries()
}

// out is all that is out, by hand and by policy.
func (l *List) out() []string { return slices.Concat(l.k.bans, l.also) }

// NewList lays the bans over one more list; what is heard of it goes to Heard.
func (k *Store) NewList(e Engine) *List {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := &List{k: k, engine: e, overlay: cordon.NewOverlay()}
	l.overlay.SetBanned(k.bans)
	k.lists[l] = struct{}{}
	return l
}

// SetInitial takes the list that is known at the start and what was listed before, and returns the list as the engine is to have it.
func (l *List) SetInitial(known call.ServerList, ever []policy.ServerID) call.ServerList {
	l.k.mu.Lock()
	defer l.k.mu.Unlock()
	l.overlay.Remember(ever)
	known.Full = true
	return l.overlay.Update(known)
}

// Update takes a list and hands it on.
func (l *List) Update(heard call.ServerList) {
	l.k.mu.Lock()
	defer l.k.mu.Unlock()
	l.engine.UpdateServers(l.overlay.Update(heard))
}

// Listed is the list as it was heard last, bans left aside, and what was listed before.
func (l *List) Listed() (listed call.ServerList, left []policy.ServerID) {
	l.k.mu.Lock()
	defer l.k.mu.Unlock()
	return l.overlay.Listed(), l.overlay.Delisted()
}

// Counts are how many upstreams are listed, and how many of them are not ready or out by hand.
func (l *List) Counts() (known, out int) {
	l.k.mu.Lock()
	defer l.k.mu.Unlock()
	return l.overlay.Counts()
}

// Close takes that the list is no longer followed.
func (l *List) Close() {
	l.k.mu.Lock()
	defer l.k.mu.Unlock()
	delete(l.k.lists, l)
}

// Cordon takes an upstream out, and returns once every engine sends it nothing new. A repeat is harmless.
func (k *Store) Cordon(id string) error { return k.change(id, true) }

// Uncordon has an upstream used again. One call ends the ban, however often it was laid.
func (k *Store) Uncordon(id string) error { return k.change(id, false) }

func (k *Store) change(id string, ban bool) error {
	if !usable(id) {
		return errID
	}
	// From here on, not from when the file is written: a disk that took 0.4 s for it had the caller wait for 1.2 s.
	end := time.NewTimer(takeUp)
	defer end.Stop()
	k.mu.Lock()
	if k.never(id) {
		k.mu.Unlock()
		return ErrNeverListed
	}
	full := false
	bans, err := k.file.change(k.bans, func(bans []string) []string {
		at, found := slices.BinarySearch(bans, id)
		switch {
		case found && !ban:
			bans = slices.Delete(bans, at, at+1)
		case !found && ban && len(bans) >= most:
			full = true
		case !found && ban:
			bans = slices.Insert(bans, at, id)
		}
		return bans
	})
	if err != nil { // it holds here; whoever replaces this process would not know
		k.log.Error("bans could not be kept, they hold in this process alone", "error", err)
	}
	k.seen = k.file.stamp()
	taken := k.apply(bans)
	k.mu.Unlock()
	if full {
		return errMany
	}
	k.log.Info("by hand", "upstream", id, "out", ban)
	select {
	case <-taken:
		return nil
	case <-end.C:
	}
	select {
	case <-taken: // a slow disk has used the time up, and they were ready nonetheless
		return nil
	default:
		return errBusy
	}
}

// never says that no list has had an id. An id that is banned was listed to whoever banned it. The caller holds the lock.
func (k *Store) never(id string) bool {
	if _, banned := slices.BinarySearch(k.bans, id); banned {
		return false
	}
	for l := range k.lists {
		if l.overlay.WasListed(id) {
			return false
		}
	}
	return true
}

// apply lays other bans over all lists; the channel is closed once all engines have taken that up. The caller holds the lock.
func (k *Store) apply(bans []string) <-chan struct{} {
	k.bans = bans
	var all sync.WaitGroup
	for l := range k.lists {
		// Handed on without a change too: what an earlier call began may still wait to be taken up.
		all.Add(1)
		l.engine.ReplaceServers(l.overlay.SetBanned(l.out()), all.Done)
	}
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	return done
}

// look reads the file where it has changed since it was last read.
func (k *Store) look() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.file.stamp()
	if now == k.seen || now == (stamp{}) {
		return
	}
	k.seen = now
	bans, err := k.file.read()
	if err != nil {
		k.log.Error("the file of bans can't be used, those known hold", "error", err)
		return
	}
	slices.Sort(bans)
	if bans = slices.Compact(bans); !slices.Equal(bans, k.bans) {
		k.log.Info("bans read", "out", bans)
		k.apply(bans)
	}
}

// Run looks at the file until ctx ends.
func (k *Store) Run(ctx context.Context) {
	if k.file.dir == "" {
		return
	}
	clock.Every(ctx, lookEvery, k.look)
}

// usable says whether text may be an id: whatever stands in the list may, but for what would break a line of the log.
func usable(id string) bool {
	if id == "" || len(id) > idMost || !utf8.ValidString(id) {
		return false
	}
	for _, c := range id {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
