package policyrollout

import "time"

// Mode is by what a sidecar goes.
type Mode int

// The modes.
const (
	CutOff Mode = iota // the operator's own limits for who may have missed something
	One                // one version alone
	Both               // the stricter of what holds and what is under way
)

func (m Mode) String() string { return [...]string{"cut off", "one", "both"}[m] }

// Now is by what a sidecar goes at a moment.
type Now struct {
	Mode     Mode
	Old, New Ref // Both; One: New
}

// Report is what a sidecar tells the leader of itself.
type Report struct {
	Life   uint64        // of its process
	Seat   uint64        // by which it votes, or might: its own life, or one that it has kept
	Turn   uint32        // grows with each report of it
	Stamp  time.Duration // when it was sent, by its own clock: the grant that answers it counts from here
	Now    Now           // by what it goes, or would with a grant
	Have   uint64        // entries of the log
	Ready  uint32        // the version on offer whose text is here and can be applied; 0: none
	Cannot string        // why it can't apply what is under way; "": it can
}

// Holder is one sidecar's part: what it knows of the log, and what it was granted. It decides nothing for others. A process that has just begun has no grant and goes by CutOff.
// It is not safe for concurrent use.
type Holder struct {
	Lease time.Duration

	state  State
	have   uint64
	apply  func(Ref) string // why a version can't be applied here; "" once its text is here and resolved
	grants []grant          // the newest last
	told   Ref              // that it was reported to go by both of
	turn   uint32           // of the last report
	blind  bool             // an entry could not be read: this program can't know what holds
}

// grant is the leader's word that it counts this sidecar in.
type grant struct {
	sent  time.Duration // when what it answers was sent
	index uint64        // of the log, that has to be here first
}

// NewHolder makes one. apply says why a version can't be applied here, "" where it can, and waiting where its text is not here yet.
func NewHolder(lease time.Duration, apply func(Ref) string) *Holder {
	return &Holder{Lease: lease, apply: apply}
}

// Waiting is what apply says of a text that is not here yet: it may come.
const Waiting = "its text is not here yet"

// Entry takes the next entry of the log.
func (h *Holder) Entry(index uint64, raw []byte) (refused string, err error) {
	h.have = index
	e, err := DecodeStep(raw)
	if err != nil {
		h.blind = true
		return "", err
	}
	return h.state.Apply(index, e), nil
}

// Blind takes that an entry of another kind could not be read: what it says may matter.
func (h *Holder) Blind() { h.blind = true }

// Upto takes that the log is here up to an index, whatever its last entries say.
func (h *Holder) Upto(index uint64) { h.have = max(h.have, index) }

// Forget takes that the log is another one: nothing of the last counts.
func (h *Holder) Forget() { h.state, h.have, h.grants, h.told, h.blind = State{}, 0, nil, Ref{}, false }

// State is what the log makes of the policy, as far as it is here.
func (h *Holder) State() *State { return &h.state }

// Grant takes the leader's answer to a report that was sent at a moment: it counts once the log is here up to an index.
func (h *Holder) Grant(now, sent time.Duration, index uint64) {
	if sent > now || now-sent >= h.Lease {
		return
	}
	for _, g := range h.grants {
		if g.sent >= sent && g.index <= index {
			return // it adds nothing
		}
	}
	h.grants = append(h.grants, grant{sent, index})
	if len(h.grants) > grantsMost {
		h.grants = h.grants[1:]
	}
}

// grantsMost is how many are kept, as the newest may wait for its entries.
const grantsMost = 8

// Granted says whether a grant counts now.
func (h *Holder) Granted(now time.Duration) bool {
	for _, g := range h.grants {
		if g.index <= h.have && now-g.sent < h.Lease && now >= g.sent {
			return true
		}
	}
	return false
}

// Until is when this one goes by CutOff if nothing more is heard; it is in the past where it does so now.
func (h *Holder) Until() (until time.Duration) {
	for _, g := range h.grants {
		if g.index <= h.have {
			until = max(until, g.sent+h.Lease)
		}
	}
	return until
}

// would is by what this one goes where it has a grant.
func (h *Holder) would() Now {
	s := &h.state
	if s.Pending.Version != 0 && h.apply(s.Pending) == "" && h.apply(s.Holds) == "" {
		return Now{Both, s.Holds, s.Pending}
	}
	if s.Pending.Version != 0 && h.told == s.Pending {
		// It was told that this one goes by both, and others may go by the new one alone by now: what it can't apply any more must not bring it back to the old one (seed 5829).
		return Now{Mode: CutOff}
	}
	return Now{Mode: One, New: s.Holds}
}

// Now is by what this sidecar goes. It is to be asked wherever something depends on it, at that moment: a process that stood still finds its grant over at its first question.
func (h *Holder) Now(now time.Duration) Now {
	if h.blind || !h.Granted(now) || h.apply(h.state.Holds) != "" {
		return Now{Mode: CutOff}
	}
	return h.would()
}

// Report is what the leader is to be told.
func (h *Holder) Report(now time.Duration) Report {
	h.turn++
	r := Report{Stamp: now, Turn: h.turn, Now: h.would(), Have: h.have}
	if r.Now.Mode == Both {
		h.told = r.Now.New
	}
	switch why := h.apply(h.state.Holds); {
	case h.blind:
		r.Cannot = errEntry.Error()
	case why != "":
		r.Now.Mode = CutOff // it could not go by what holds, granted or not
	}
	if o := h.state.Offer; o.Version != 0 && r.Cannot == "" {
		switch why := h.apply(o); why {
		case "":
			r.Ready = o.Version
		case Waiting:
		default:
			r.Cannot = why
		}
	}
	if p := h.state.Pending; p.Version != 0 && r.Cannot == "" {
		if why := h.apply(p); why != "" && why != Waiting {
			r.Cannot = why
		}
	}
	return r
}
