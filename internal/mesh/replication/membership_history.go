package replication

// indexedMembership is a membership and the index of the entry that holds it.
type indexedMembership struct {
	index Index
	Membership
}

// membershipHistory is every membership that the log holds, the oldest first: the snapshot's, then
// one for each membership entry. The newest is in force, whether it is committed or not.
type membershipHistory []indexedMembership

func (h membershipHistory) current() indexedMembership { return h[len(h)-1] }

// appendFrom adds the memberships among entries that were appended to the log.
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

// truncate drops the memberships of the entries from index on.
func (h *membershipHistory) truncate(index Index) {
	for len(*h) > 1 && h.current().index >= index {
		*h = (*h)[:len(*h)-1]
	}
}

// at returns the membership in force at index.
func (h membershipHistory) at(index Index) Membership {
	found := h[0].Membership
	for _, m := range h {
		if m.index <= index {
			found = m.Membership
		}
	}
	return found
}

// compact drops the memberships before the one in force at index.
func (h *membershipHistory) compact(index Index) {
	for len(*h) > 1 && (*h)[1].index <= index {
		*h = (*h)[1:]
	}
}
