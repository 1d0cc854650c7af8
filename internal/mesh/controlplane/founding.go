package controlplane

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"
	"caperarch/internal/mesh/rpc"

	"go.uber.org/zap"
)

// Who holds the log is settled once, at the first start of the whole system, when all machines are up and all are told the same seeds: the lowest of the seeds, the founder, hears of the
// core machines that there are and picks as many as can lose what has to be borne, 2f + 1, over the zones in turn. Its choice is on its disk before it tells anybody. All other core
// machines are readers: they hold no log, follow the configuration as sidecars do, and serve sidecars as members do. A founder that ends before it has chosen leaves a system that was
// never founded: its operators start it anew, with empty disks.

const (
	foundingPath = "/mesh/founding"
	// foundingRest is how long the founder hears of no other machine before it chooses, where it could choose more; foundingTime is the longest that it waits for more than the seeds.
	foundingRest = 600 * time.Millisecond
	foundingTime = 4 * time.Second
	// foundingPause is between two questions of who has been chosen, and announceEvery between two words of a reader.
	foundingPause = 100 * time.Millisecond
	announceEvery = 700 * time.Millisecond
	// readerTime is how long a reader counts as there after its last word.
	readerTime = 3 * time.Second
	// mostReaders bounds the readers that are remembered.
	mostReaders = 256
	// foundingLimit bounds a call.
	foundingLimit = 64 << 10
)

// machine is a core machine that tells of itself.
type machine struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Reader  bool   `json:"reader,omitempty"` // it holds no log
}

// founded is who the core machines are. Without members nobody has been chosen yet.
type founded struct {
	Members   []string `json:"members,omitempty"`
	Readers   []string `json:"readers,omitempty"`
	Sequencer string   `json:"sequencer,omitempty"`
	View      uint64   `json:"view,omitempty"`
}

// roster is which core machines there are.
type roster struct {
	mu      sync.Mutex
	start   time.Time
	heard   []machine // before the choice
	last    time.Duration
	members []string
	readers map[string]time.Duration // until when
	said    founded                  // a reader: what a member said last
}

func newRoster() *roster { return &roster{start: time.Now(), readers: make(map[string]time.Duration)} }

func (r *roster) now() time.Duration { return time.Since(r.start) }

// tell takes a machine's word on itself.
func (r *roster) tell(m machine) error {
	if _, _, err := net.SplitHostPort(m.Address); err != nil || len(m.Zone) > 512 {
		return errs.New(errs.Invalid, "address: %.64q is none", m.Address)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	switch {
	case m.Reader && (len(r.readers) < mostReaders || r.readers[m.Address] > 0):
		r.readers[m.Address] = now + readerTime
	case r.members == nil && !slices.ContainsFunc(r.heard, func(h machine) bool { return h.Address == m.Address }):
		r.heard, r.last = append(r.heard, m), now
	}
	return nil
}

// known is who they are.
func (r *roster) known() founded {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := founded{Members: r.members, Sequencer: r.said.Sequencer, View: r.said.View}
	for address, until := range r.readers {
		if r.now() < until {
			f.Readers = append(f.Readers, address)
		}
	}
	for _, address := range r.said.Readers {
		if !slices.Contains(f.Readers, address) {
			f.Readers = append(f.Readers, address)
		}
	}
	return f
}

// all is the addresses of all core machines.
func (r *roster) all() []string {
	f := r.known()
	return append(slices.Clone(f.Members), f.Readers...)
}

func (r *roster) settle(members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = members
}

// take takes a member's word.
func (r *roster) take(f *founded) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.said, r.members = *f, f.Members
}

// choose picks n of the machines that were heard of, or as many as there are, an odd number: the seeds first, then zones in turn, by address.
func choose(n int, seeds []string, all []machine) []string {
	left := slices.Clone(all)
	slices.SortFunc(left, func(a, b machine) int { return cmp.Compare(a.Address, b.Address) })
	of := make(map[string]int) // by zone
	var chosen []string
	for len(chosen) < n && len(left) > 0 {
		best := 0
		for i, m := range left {
			b := left[best]
			seeded, was := slices.Contains(seeds, m.Address), slices.Contains(seeds, b.Address)
			if seeded != was {
				if seeded {
					best = i
				}
				continue
			}
			if of[m.Zone] < of[b.Zone] {
				best = i
			}
		}
		of[left[best].Zone]++
		chosen = append(chosen, left[best].Address)
		left = slices.Delete(left, best, best+1)
	}
	if len(chosen)%2 == 0 && len(chosen) > 0 {
		chosen = chosen[:len(chosen)-1]
	}
	slices.Sort(chosen)
	return chosen
}

// chosen is the founder's choice, or nil while it waits.
func (r *roster) chosen(n int, seeds []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, here := r.now(), 0
	for _, m := range r.heard {
		if slices.Contains(seeds, m.Address) {
			here++
		}
	}
	enough := now >= foundingTime || len(r.heard) >= n && (n <= len(seeds) || now-r.last >= foundingRest)
	if here < len(seeds) || !enough { // a log that fewer hold than the seeds could not bear what it has to
		return nil
	}
	return choose(n, seeds, r.heard)
}

// serveFounding answers who the core machines are.
func (s *Server) serveFounding(mux *http.ServeMux) {
	rpc.Handle(mux, foundingPath, foundingLimit, func(_ *http.Request, m *machine) (*founded, error) {
		if err := s.roster.tell(*m); err != nil {
			return nil, err
		}
		f := s.roster.known()
		if s.node.Load() != nil {
			f.Sequencer, f.View = s.sequencer()
		}
		return &f, nil
	})
}

// self is this machine's word on itself.
func (s *Server) self(reader bool) *machine {
	return &machine{Address: s.set.Internal(), Zone: s.set.Self.Zone, Reader: reader}
}

// found opens the log on this machine's disk; no store: it is a reader.
func (s *Server) found(ctx context.Context) (*replication.Store, replication.State, error) {
	first := s.set.Self.FirstStart
	if replication.Kept(s.set.Self.DataDirectory) {
		store, state, err := s.open(ctx, nil, false)
		if err == nil {
			s.roster.settle(state.Members)
			return store, state, nil
		}
		if !replication.Damaged(err) {
			return nil, replication.State{}, err
		}
		first = false
	}
	members, err := s.members(ctx, first)
	if err != nil || !slices.Contains(members, s.set.Internal()) {
		return nil, replication.State{}, err
	}
	store, state, err := s.open(ctx, members, first)
	if err == nil {
		s.roster.settle(members)
	}
	return store, state, err
}

// members is who holds the log: this machine's own choice where it is the founder, else what others say.
func (s *Server) members(ctx context.Context, first bool) ([]string, error) {
	seeds := slices.Compact(slices.Sorted(slices.Values(s.set.Seeds())))
	founder := first && len(seeds) > 0 && seeds[0] == s.set.Internal()
	if err := s.roster.tell(*s.self(false)); err != nil {
		return nil, err
	}
	for ; ; time.Sleep(foundingPause) {
		if ctx.Err() != nil {
			return nil, errs.New(errs.NoQuorum, "nobody said who holds the log")
		}
		if founder {
			if chosen := s.roster.chosen(2*s.set.Guarantees.FaultTolerance.Machines+1, seeds); chosen != nil {
				return chosen, nil
			}
			continue
		}
		ask := seeds
		if first {
			ask = seeds[:min(1, len(seeds))] // the founder
		}
		if f := s.askFounded(ctx, ask, false); f != nil {
			s.roster.take(f)
			return f.Members, nil
		}
	}
}

// askFounded tells others of this machine and asks who the core machines are; nil: nobody knows.
func (s *Server) askFounded(ctx context.Context, of []string, reader bool) *founded {
	var known *founded
	for _, address := range of {
		if address == s.set.Internal() {
			continue
		}
		within, cancel := context.WithTimeout(ctx, dialTimeout)
		f, err := rpc.Call[machine, founded](within, s.client, "http://"+address+foundingPath, s.self(reader))
		cancel()
		if err != nil {
			s.log.Debug("no word on who the core machines are", zap.String("of", address), zap.Error(err))
			continue
		}
		if len(f.Members) > 0 && (known == nil || f.View > known.View) {
			known = f
		}
	}
	return known
}

// announce has the members know of this reader, and this reader of them, until ctx ends.
func (s *Server) announce(ctx context.Context) {
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		if f := s.askFounded(ctx, s.roster.known().Members, true); f != nil {
			s.roster.take(f)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
