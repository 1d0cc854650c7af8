package config

import (
	"bytes"
	"cmp"
	"slices"

	"caperarch/internal/mesh/errs"
)

const (
	// maxApplied is the number of applied orders whose digests are remembered, the newest ones: more
	// than a day of 3,500 changes. It bounds the record in memory and in each snapshot, where an
	// order takes some 24 bytes, 100 KB in all.
	maxApplied = 4096
	// maxRejectedAhead is the number of refused orders that are remembered because the version they
	// build on may still come. It guards the record against operators that name versions at random.
	maxRejectedAhead = 512
)

// requestID identifies an order: the version it was told apart by, and the digest of its content.
type requestID struct {
	version int64
	digest  digest
}

func compareRequests(a, b requestID) int {
	return cmp.Or(cmp.Compare(a.version, b.version), bytes.Compare(a.digest[:], b.digest[:]))
}

// requestLog is what a snapshot remembers of the orders that the log has settled, so that an order
// that is sent again gets the verdict it had. It is immutable.
type requestLog struct {
	// applied are the newest orders that were applied, by their configVersion, which ascends.
	applied []requestID
	// forgotten is the newest version that was applied and is in the record no more, 0 for none.
	forgottenUpTo int64
	// rejectedAhead are orders that were refused because they built on a version that had not come
	// yet, by their baseVersion. Should it come, they stay refused.
	rejectedAhead []requestID
}

// hasApplied says whether this very order was applied, as far as the record reaches.
func (r *requestLog) hasApplied(change *Change) bool {
	_, found := slices.BinarySearchFunc(r.applied, requestID{change.version, change.digest}, compareRequests)
	return found
}

// mayHaveApplied says whether the record no longer tells if this order was applied.
func (r *requestLog) mayHaveApplied(change *Change) bool {
	return change.version > 0 && change.version <= r.forgottenUpTo
}

// hasRejected says whether this very order was refused ahead of its base.
func (r *requestLog) hasRejected(change *Change) bool {
	_, found := slices.BinarySearchFunc(r.rejectedAhead, requestID{change.base, change.digest}, compareRequests)
	return found
}

// withApplied gives the record after an order was applied. Refused orders that build on an older
// version are dropped: they are refused for their base from now on.
func (r *requestLog) withApplied(change *Change) requestLog {
	next := requestLog{forgottenUpTo: r.forgottenUpTo}
	drop := max(0, len(r.applied)+1-maxApplied)
	if drop > 0 {
		next.forgottenUpTo = r.applied[drop-1].version
	}
	next.applied = make([]requestID, 0, len(r.applied)+1-drop)
	next.applied = append(next.applied, r.applied[drop:]...)
	next.applied = append(next.applied, requestID{change.version, change.digest})
	for _, refused := range r.rejectedAhead {
		if refused.version >= change.version {
			next.rejectedAhead = append(next.rejectedAhead, refused)
		}
	}
	return next
}

// withRejected gives the record after an order was refused ahead of its base, or false where the
// record is full.
func (r *requestLog) withRejected(change *Change) (requestLog, bool) {
	id := requestID{change.base, change.digest}
	at, found := slices.BinarySearchFunc(r.rejectedAhead, id, compareRequests)
	if found {
		return *r, true
	}
	if len(r.rejectedAhead) >= maxRejectedAhead {
		return *r, false
	}
	next := *r
	next.rejectedAhead = slices.Insert(slices.Clone(r.rejectedAhead), at, id)
	return next, true
}

// encodedRequestLog is a record as JSON. Digests are laid end to end, in the order of the versions.
type encodedRequestLog struct {
	Forgotten     int64   `json:"forgotten"`
	Applied       []int64 `json:"applied"`
	Digests       []byte  `json:"digests"`
	RejectedBases []int64 `json:"refusedBases,omitempty"`
	Rejected      []byte  `json:"refused,omitempty"`
}

func (r *requestLog) encode() *encodedRequestLog {
	e := &encodedRequestLog{Forgotten: r.forgottenUpTo}
	e.Applied, e.Digests = splitRequests(r.applied)
	e.RejectedBases, e.Rejected = splitRequests(r.rejectedAhead)
	return e
}

func splitRequests(orders []requestID) (versions []int64, digests []byte) {
	for _, order := range orders {
		versions = append(versions, order.version)
		digests = append(digests, order.digest[:]...)
	}
	return versions, digests
}

// decodeRequestLog reads the record of a snapshot of some version. Without one it is not known which
// orders led there, so all up to that version count as forgotten.
func decodeRequestLog(e *encodedRequestLog, version int64) (requestLog, error) {
	if e == nil {
		return requestLog{forgottenUpTo: version}, nil
	}
	r := requestLog{forgottenUpTo: e.Forgotten}
	var err error
	if r.applied, err = joinRequests(e.Applied, e.Digests, maxApplied); err != nil {
		return requestLog{}, err
	}
	if r.rejectedAhead, err = joinRequests(e.RejectedBases, e.Rejected, maxRejectedAhead); err != nil {
		return requestLog{}, err
	}
	newest := r.forgottenUpTo
	for _, order := range r.applied {
		if order.version <= newest {
			return requestLog{}, errs.New(errs.Invalid, "applied orders: %d stands behind %d", order.version, newest)
		}
		newest = order.version
	}
	if newest != version || r.forgottenUpTo < 0 {
		return requestLog{}, errs.New(errs.Invalid, "applied orders: they lead to %d, not to %d", newest, version)
	}
	return r, nil
}

// joinRequests undoes splitRequests. Orders must ascend.
func joinRequests(versions []int64, digests []byte, most int) ([]requestID, error) {
	if len(versions) > most || len(digests) != len(versions)*digestSize {
		return nil, errs.New(errs.Invalid, "record of orders: %d versions with %d bytes of digests, %d orders at most",
			len(versions), len(digests), most)
	}
	var orders []requestID
	for i, version := range versions {
		order := requestID{version, digest(digests[i*digestSize:])}
		if i > 0 && compareRequests(orders[i-1], order) >= 0 {
			return nil, errs.New(errs.Invalid, "record of orders: %d is out of order", version)
		}
		orders = append(orders, order)
	}
	return orders, nil
}
