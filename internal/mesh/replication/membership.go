package replication

import (
	"encoding/json"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"caperarch/internal/mesh/errs"
)

// maxVoters bounds a membership, so that a malformed message can't make a replica keep thousands.
const maxVoters = 15

// Membership is the set of voters. While it is joint, Outgoing are the voters before the change,
// and every decision takes a majority of both sets.
type Membership struct {
	Voters   []MemberID `json:"v"`
	Outgoing []MemberID `json:"o,omitempty"`
}

// IsJoint reports whether a change is under way.
func (m Membership) IsJoint() bool { return len(m.Outgoing) > 0 }

// IsVoter reports whether a member votes, in either set.
func (m Membership) IsVoter(id MemberID) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.Outgoing, id)
}

// AllVoters returns the members of both sets, sorted, each once.
func (m Membership) AllVoters() []MemberID {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(m.Voters, m.Outgoing))))
}

// hasQuorum reports whether the members that agree are a majority of each set.
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

// validate returns an error of kind Invalid for a membership without voters, or in which a voter
// has no address or the address of another one.
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

func validateVoters(voters []MemberID) error {
	if len(voters) > maxVoters {
		return errs.New(errs.Invalid, "replication: %d voters, at most %d may be", len(voters), maxVoters)
	}
	seen := make(map[string]bool, len(voters))
	for _, id := range voters {
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
	if err != nil { // slices of strings can always be encoded
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

// Bootstrap returns the cluster's id and the membership of the very first start. Both depend on the
// seeds' addresses alone, so that all first voters start alike without exchanging messages.
func Bootstrap(seeds []string) (ClusterID, Membership) {
	seeds = slices.Compact(slices.Sorted(slices.Values(seeds)))
	var m Membership
	for _, address := range seeds {
		m.Voters = append(m.Voters, NewMemberID(address, ""))
	}
	return ClusterID(xxhash.Sum64String(strings.Join(seeds, "\n"))), m
}
