package raftlog

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Voter identifies a process that may vote by its sidecar's number and its own incarnation.
type Voter struct {
	Number      int
	Incarnation uint64
}

// ID returns the voter's raft id, a hash of number and incarnation. It is never 0, which raft reserves.
func (s Voter) ID() uint64 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(s.Incarnation>>(8*i)), byte(s.Number>>(8*i))
	}
	return xxhash.Sum64(b[:]) | 1
}

// IsVoter reports whether this process is a voter of the log and can vote.
func (n *Node) IsVoter() bool {
	_, votes := n.voters[n.id]
	return votes && n.raft != nil
}

// IsLeader reports whether this process believes that it leads the log. LastQuorumAck tells when a majority
// last confirmed it.
func (n *Node) IsLeader() bool {
	return n.raft != nil && n.raft.BasicStatus().RaftState == raft.StateLeader
}

// Voters returns the log's voters, ordered by number.
func (n *Node) Voters() []Voter {
	return slices.SortedFunc(maps.Values(n.voters), func(a, b Voter) int { return a.Number - b.Number })
}

const (
	// voterChangeInterval is the minimum time between two changes of the voters.
	voterChangeInterval = time.Second
	// maxVotersAdded bounds how many voters one change adds.
	maxVotersAdded = 2
	// contactHeartbeats is the number of heartbeat intervals after its last message for which a voter counts
	// as in contact.
	contactHeartbeats = 4
)

// InContact reports whether a voter is this process or has sent it a raft message within contactHeartbeats
// heartbeat intervals. All voters answer their leader once per HeartbeatInterval.
func (n *Node) InContact(now time.Duration, voter Voter) bool {
	if voter == n.Self {
		return true
	}
	heardAt, heard := n.heardAt[voter.ID()]
	return heard && now-heardAt <= contactHeartbeats*n.heartbeat
}

// UpdateVoters makes the leader replace permanently lost voters and add voters up to VoterCount; on other
// nodes it does nothing. lost reports whether a voter's process can't take part any more. candidates are the
// processes that can vote, in order of preference.
//
// The voters are not changed while a majority of the new voters is not in contact: if a change left the
// leader's side of a partition without a quorum, the change could not be undone there.
func (n *Node) UpdateVoters(now time.Duration, lost func(Voter) bool, candidates []Voter) {
	if !n.IsLeader() || now < n.nextVoterChange {
		return
	}
	var removed, kept []Voter
	for _, voter := range n.Voters() {
		if lost(voter) && voter != n.Self {
			removed = append(removed, voter)
		} else {
			kept = append(kept, voter)
		}
	}
	added := n.chooseNewVoters(kept, candidates)
	if len(removed)+len(added) == 0 || !n.hasQuorumInContact(now, kept, added) {
		return
	}
	n.proposeVoterChange(now, removed, added)
}

// chooseNewVoters returns the candidates to add to the voters that are kept, up to VoterCount and at most
// maxVotersAdded.
func (n *Node) chooseNewVoters(kept, candidates []Voter) (added []Voter) {
	for _, candidate := range candidates {
		if len(kept)+len(added) >= n.VoterCount || len(added) >= maxVotersAdded {
			break
		}
		_, votes := n.voters[candidate.ID()]
		sameNumber := func(voter Voter) bool { return voter.Number == candidate.Number }
		if !votes && !slices.ContainsFunc(kept, sameNumber) {
			added = append(added, candidate)
		}
	}
	return added
}

// hasQuorumInContact reports whether a majority of the voters after a change can take part. Added voters
// always count as in contact, because candidates are processes that can take part.
func (n *Node) hasQuorumInContact(now time.Duration, kept, added []Voter) bool {
	inContact := len(added)
	for _, voter := range kept {
		if n.InContact(now, voter) {
			inContact++
		}
	}
	return 2*inContact > len(kept)+len(added)
}

// proposeVoterChange proposes to remove and to add voters. Changes are at least voterChangeInterval apart:
// raft rejects a second change in progress by appending an empty entry, so a change that can't commit and was
// proposed at every event would grow the log by a thousand entries a second.
func (n *Node) proposeVoterChange(now time.Duration, removed, added []Voter) {
	change := &raftpb.ConfChangeV2{Context: encodeVoters(added...)}
	for _, voter := range removed {
		change.Changes = append(change.Changes, newVoterChange(raftpb.ConfChangeType_ConfChangeRemoveNode, voter))
	}
	for _, voter := range added {
		change.Changes = append(change.Changes, newVoterChange(raftpb.ConfChangeType_ConfChangeAddNode, voter))
	}
	n.nextVoterChange = now + voterChangeInterval
	_ = n.raft.ProposeConfChange(change)
	n.processReady(now)
}

// newVoterChange returns a raft configuration change that adds or removes a voter.
func newVoterChange(kind raftpb.ConfChangeType, s Voter) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &kind, NodeId: proto.Uint64(s.ID())}
}

// parseVoterChange decodes the change of voters in a raft entry, in either of raft's encodings. isChange
// reports whether the entry is a change of voters; c is nil if the change can't be decoded.
func parseVoterChange(e *raftpb.Entry) (c *raftpb.ConfChangeV2, isChange bool) {
	switch e.GetType() {
	case raftpb.EntryType_EntryConfChange:
		if old := new(raftpb.ConfChange); proto.Unmarshal(e.GetData(), old) == nil {
			c = old.AsV2()
		}
	case raftpb.EntryType_EntryConfChangeV2:
		if v := new(raftpb.ConfChangeV2); proto.Unmarshal(e.GetData(), v) == nil {
			c = v
		}
	default:
		return nil, false
	}
	return c, true
}

// applyVoterChange applies a committed change of the voters to the set of voters. A change that can't be
// decoded is ignored.
func (n *Node) applyVoterChange(raw []byte) {
	c := new(raftpb.ConfChangeV2)
	if proto.Unmarshal(raw, c) != nil {
		return
	}
	joined := decodeVoters(c.GetContext())
	for _, s := range c.GetChanges() {
		switch s.GetType() {
		case raftpb.ConfChangeType_ConfChangeAddNode:
			for _, j := range joined {
				if j.ID() == s.GetNodeId() {
					n.voters[j.ID()] = j
				}
			}
		case raftpb.ConfChangeType_ConfChangeRemoveNode:
			delete(n.voters, s.GetNodeId())
		}
	}
}

// encodeVoters encodes the voters that a change adds, as 4 bytes of number and 8 bytes of incarnation each.
// raft itself transmits only their ids.
func encodeVoters(all ...Voter) (raw []byte) {
	for _, s := range all {
		raw = binary.BigEndian.AppendUint32(raw, uint32(s.Number))
		raw = binary.BigEndian.AppendUint64(raw, s.Incarnation)
	}
	return raw
}

// decodeVoters is the inverse of encodeVoters.
func decodeVoters(raw []byte) (all []Voter) {
	for ; len(raw) >= 12; raw = raw[12:] {
		all = append(all, Voter{int(binary.BigEndian.Uint32(raw)), binary.BigEndian.Uint64(raw[4:])})
	}
	return all
}

// voterNumber returns the number of the sidecar with a raft id, from the voters or from received messages;
// false: unknown.
func (n *Node) voterNumber(id uint64) (int, bool) {
	if s, votes := n.voters[id]; votes {
		return s.Number, true
	}
	i, known := n.senders[id]
	return i, known
}
