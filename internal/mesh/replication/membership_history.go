package replication

// indexedMembership is a membership with the index of its entry.
type indexedMembership struct {
	index Index
	Membership
}

// membershipHistory holds the memberships of the log, oldest first: the membership of the snapshot,
// followed by the membership of each EntryMembership entry. The newest membership is in force, even
// if its entry is not committed.
type membershipHistory []indexedMembership

func (h membershipHistory) current() indexedMembership { return h[len(h)-1] }

// appendFrom adds the memberships in entries that have been appended to the log.
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

// truncate deletes the memberships of the entries from index on. The oldest membership always remains.
func (h *membershipHistory) truncate(index Index) {
	for len(*h) > 1 && h.current().index >= index {
		*h = (*h)[:len(*h)-1]
	}
}

// at returns the newest membership whose entry is at index or before it.
func (h membershipHistory) at(index Index) Membership {
	found := h[0].Membership
	for _, m := range h {
		if m.index <= index {
			found = m.Membership
		}
	}
	return found
}

// compact deletes the memberships that are older than the membership in force at index.
func (h *membershipHistory) compact(index Index) {
	for len(*h) > 1 && (*h)[1].index <= index {
		*h = (*h)[1:]
	}
}
