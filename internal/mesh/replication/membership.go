package replication

import (
	"encoding/json"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"caperarch/internal/mesh/errs"
)

// maxVoters bounds a membership, so that a message that lies can't make a replica keep thousands.
const maxVoters = 15

// Membership is who votes. While it is joint, Outgoing are the voters before the change, and every
// decision takes a majority of both sets.
type Membership struct {
	Voters   []MemberID `json:"v"`
	Outgoing []MemberID `json:"o,omitempty"`
}

// IsJoint says that a change is under way.
func (m Membership) IsJoint() bool { return len(m.Outgoing) > 0 }

// IsVoter says whether a member votes, in either set.
func (m Membership) IsVoter(id MemberID) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.Outgoing, id)
}

// AllVoters is every member of both sets, in order, each once.
func (m Membership) AllVoters() []MemberID {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(m.Voters, m.Outgoing))))
}

// hasQuorum says whether those for whom has is true are a majority of each set.
func (m Membership) hasQuorum(agrees func(MemberID) bool) bool {
	return hasMajority(m.Voters, agrees) && (!m.IsJoint() || hasMajority(m.Outgoing, agrees))
}

func hasMajority(voters []MemberID, agrees func(MemberID) bool) bool {
	n := 0
	for _, id := range voters {
		if agrees(id) {
			n++
		}
	}
	return n > len(voters)/2
}

// quorumValue is the largest value that a majority of each set has reached.
func quorumValue[T ~int64 | ~uint64](m Membership, of func(MemberID) T) T {
	value := majorityValue(m.Voters, of)
	if m.IsJoint() {
		value = min(value, majorityValue(m.Outgoing, of))
	}
	return value
}

func majorityValue[T ~int64 | ~uint64](voters []MemberID, of func(MemberID) T) T {
	if len(voters) == 0 {
		return 0
	}
	values := make([]T, 0, len(voters))
	for _, id := range voters {
		values = append(values, of(id))
	}
	slices.Sort(values)
	return values[(len(voters)-1)/2]
}

// validate refuses a membership that names nobody, somebody twice, or no address.
func (m Membership) validate() error {
	if len(m.Voters) == 0 {
		return errs.New(errs.Invalid, "replication: a membership without voters")
	}
	for _, set := range [][]MemberID{m.Voters, m.Outgoing} {
		if err := validateVoters(set); err != nil {
			return err
		}
	}
	return nil
}

func validateVoters(set []MemberID) error {
	if len(set) > maxVoters {
		return errs.New(errs.Invalid, "replication: %d voters, at most %d may be", len(set), maxVoters)
	}
	seen := make(map[string]bool, len(set))
	for _, id := range set {
		if _, _, err := net.SplitHostPort(id.Address()); err != nil {
			return errs.New(errs.Invalid, "replication: the voter %.64q has no address", id)
		}
		if seen[id.Address()] {
			return errs.New(errs.Invalid, "replication: two voters at %s", id.Address())
		}
		seen[id.Address()] = true
	}
	return nil
}

func (m Membership) encode() []byte {
	data, err := json.Marshal(m)
	if err != nil { // strings in slices can always be written
		panic(err)
	}
	return data
}

func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := json.Unmarshal(data, &m); err != nil {
		return Membership{}, errs.Wrap(err, errs.Invalid, "replication: a membership that can't be read")
	}
	return m, m.validate()
}

// Bootstrap is the membership of the very first start and the cluster's id: both follow from the
// seeds alone, so that all first voters start with the same without a word between them.
func Bootstrap(seeds []string) (ClusterID, Membership) {
	seeds = slices.Compact(slices.Sorted(slices.Values(seeds)))
	var m Membership
	for _, address := range seeds {
		m.Voters = append(m.Voters, NewMemberID(address, ""))
	}
	return ClusterID(xxhash.Sum64String(strings.Join(seeds, "\n"))), m
}

// indexedMembership is a membership and the entry that brought it.
type indexedMembership struct {
	index Index
	Membership
}

// membershipHistory is every membership that the log holds, the oldest first: the snapshot's, then one
// for each entry. The newest is in force, committed or not.
type membershipHistory []indexedMembership

func (h membershipHistory) current() indexedMembership { return h[len(h)-1] }

// appendFrom notes the memberships among entries that were appended.
func (h *membershipHistory) appendFrom(entries []Entry) {
	for i := range entries {
		if entries[i].Kind != EntryMembership {
			continue
		}
		if m, err := decodeMembership(entries[i].Command); err == nil {
			*h = append(*h, indexedMembership{entries[i].Index, m})
		}
	}
}

// truncate drops what entries from index on brought.
func (h *membershipHistory) truncate(index Index) {
	for len(*h) > 1 && h.current().index >= index {
		*h = (*h)[:len(*h)-1]
	}
}

// at is the membership in force at index.
func (h membershipHistory) at(index Index) Membership {
	found := h[0].Membership
	for _, m := range h {
		if m.index <= index {
			found = m.Membership
		}
	}
	return found
}

// compact drops what was in force before the one at index.
func (h *membershipHistory) compact(index Index) {
	for len(*h) > 1 && (*h)[1].index <= index {
		*h = (*h)[1:]
	}
}
