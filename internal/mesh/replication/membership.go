package replication

import (
	"encoding/json"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"caperarch/internal/mesh/errs"
)

// maxVoters bounds the number of voters in a membership, so that a malformed message cannot make a
// replica store thousands of voters.
const maxVoters = 15

// Membership is the set of voters. During a membership change it is a joint membership: Outgoing
// holds the voters before the change, and every decision needs a majority of both sets.
type Membership struct {
	Voters   []MemberID `json:"v"`
	Outgoing []MemberID `json:"o,omitempty"`
}

// IsJoint reports whether a membership change is in progress.
func (m Membership) IsJoint() bool { return len(m.Outgoing) > 0 }

// IsVoter reports whether a member is a voter in either set.
func (m Membership) IsVoter(id MemberID) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.Outgoing, id)
}

// AllVoters returns the members of both sets, sorted and without duplicates.
func (m Membership) AllVoters() []MemberID {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(m.Voters, m.Outgoing))))
}

// hasQuorum reports whether the members for which agrees returns true form a majority of each set.
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

// quorumValue returns the largest value that a majority of each set has reached or exceeded.
func quorumValue[T ~int64 | ~uint64](m Membership, valueOf func(MemberID) T) T {
	value := majorityValue(m.Voters, valueOf)
	if m.IsJoint() {
		value = min(value, majorityValue(m.Outgoing, valueOf))
	}
	return value
}

func majorityValue[T ~int64 | ~uint64](voters []MemberID, valueOf func(MemberID) T) T {
	if len(voters) == 0 {
		return 0
	}
	values := make([]T, 0, len(voters))
	for _, id := range voters {
		values = append(values, valueOf(id))
	}
	slices.Sort(values)
	return values[(len(voters)-1)/2]
}

// validate returns an error of kind Invalid if the membership has no voters or too many voters, if a
// voter's id has no valid address, or if two voters of a set have the same address.
func (m Membership) validate() error {
	if len(m.Voters) == 0 {
		return errs.New(errs.Invalid, "replication: membership has no voters")
	}
	for _, set := range [][]MemberID{m.Voters, m.Outgoing} {
		if err := validateVoters(set); err != nil {
			return err
		}
	}
	return nil
}

func validateVoters(voters []MemberID) error {
	if len(voters) > maxVoters {
		return errs.New(errs.Invalid, "replication: membership has %d voters, the maximum is %d", len(voters), maxVoters)
	}
	seen := make(map[string]bool, len(voters))
	for _, id := range voters {
		if _, _, err := net.SplitHostPort(id.Address()); err != nil {
			return errs.New(errs.Invalid, "replication: voter id %.64q has no valid host:port address", id)
		}
		if seen[id.Address()] {
			return errs.New(errs.Invalid, "replication: membership has two voters with the address %s", id.Address())
		}
		seen[id.Address()] = true
	}
	return nil
}

func (m Membership) encode() []byte {
	data, err := json.Marshal(m)
	if err != nil { // unreachable: slices of strings can always be encoded
		panic(err)
	}
	return data
}

func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := json.Unmarshal(data, &m); err != nil {
		return Membership{}, errs.Wrap(err, errs.Invalid, "replication: membership cannot be decoded")
	}
	return m, m.validate()
}

// Bootstrap returns the id and the initial membership of a new cluster. Both depend only on the
// addresses of the seeds, so that all initial voters start with the same values without exchanging
// messages.
func Bootstrap(seeds []string) (ClusterID, Membership) {
	seeds = slices.Compact(slices.Sorted(slices.Values(seeds)))
	var m Membership
	for _, address := range seeds {
		m.Voters = append(m.Voters, NewMemberID(address, ""))
	}
	return ClusterID(xxhash.Sum64String(strings.Join(seeds, "\n"))), m
}
