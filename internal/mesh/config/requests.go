package config

import (
	"bytes"
	"cmp"
	"slices"

	"caperarch/internal/mesh/errs"
)

const (
	// maxApplied is the number of applied requests whose digests are remembered, the newest ones:
	// more than a day of 3,500 changes. It bounds the log in memory and in each snapshot, where a
	// request takes some 24 bytes, 100 KB in all.
	maxApplied = 4096
	// maxRejectedAhead is the number of rejected requests that are remembered because the version
	// they build on may still be applied. It guards the log against clients that name versions at random.
	maxRejectedAhead = 512
)

// requestID identifies a change request: by a version that it names, and the digest of its content.
type requestID struct {
	version int64
	digest  digest
}

func compareRequests(a, b requestID) int {
	return cmp.Or(cmp.Compare(a.version, b.version), bytes.Compare(a.digest[:], b.digest[:]))
}

// requestLog makes change requests idempotent: it is what a snapshot remembers of those that were
// decided, so that one that is sent again gets the same answer. It is immutable.
type requestLog struct {
	// applied are the newest requests that were applied, by their configVersion, which ascends.
	applied []requestID
	// forgottenUpTo is the newest version that was applied and is no longer in the log, 0 for none.
	forgottenUpTo int64
	// rejectedAhead are requests that were rejected because the version they build on was not there
	// yet, by their baseVersion. If it appears later, they stay rejected.
	rejectedAhead []requestID
}

// hasApplied reports whether this very request was applied, as far back as the log reaches.
func (l *requestLog) hasApplied(change *Change) bool {
	id := requestID{change.version, change.digest}
	_, found := slices.BinarySearchFunc(l.applied, id, compareRequests)
	return found
}

// mayHaveApplied reports whether the request is older than the log, which then doesn't show its result.
func (l *requestLog) mayHaveApplied(change *Change) bool {
	return change.version > 0 && change.version <= l.forgottenUpTo
}

// hasRejected reports whether this very request was rejected ahead of its base.
func (l *requestLog) hasRejected(change *Change) bool {
	id := requestID{change.base, change.digest}
	_, found := slices.BinarySearchFunc(l.rejectedAhead, id, compareRequests)
	return found
}

// withApplied returns the log after a request was applied. Rejected requests that build on an older
// version are dropped: they are rejected for their base from now on.
func (l *requestLog) withApplied(change *Change) requestLog {
	next := requestLog{forgottenUpTo: l.forgottenUpTo}
	drop := max(0, len(l.applied)+1-maxApplied)
	if drop > 0 {
		next.forgottenUpTo = l.applied[drop-1].version
	}
	next.applied = make([]requestID, 0, len(l.applied)+1-drop)
	next.applied = append(next.applied, l.applied[drop:]...)
	next.applied = append(next.applied, requestID{change.version, change.digest})
	for _, rejected := range l.rejectedAhead {
		if rejected.version >= change.version {
			next.rejectedAhead = append(next.rejectedAhead, rejected)
		}
	}
	return next
}

// withRejected returns the log after a request was rejected ahead of its base, or false where the log
// is full.
func (l *requestLog) withRejected(change *Change) (requestLog, bool) {
	id := requestID{change.base, change.digest}
	position, found := slices.BinarySearchFunc(l.rejectedAhead, id, compareRequests)
	if found {
		return *l, true
	}
	if len(l.rejectedAhead) >= maxRejectedAhead {
		return *l, false
	}
	next := *l
	next.rejectedAhead = slices.Insert(slices.Clone(l.rejectedAhead), position, id)
	return next, true
}

// encodedRequestLog is a request log as JSON. Digests are concatenated, in the order of the
// versions.
type encodedRequestLog struct {
	Forgotten     int64   `json:"forgotten"`
	Applied       []int64 `json:"applied"`
	Digests       []byte  `json:"digests"`
	RejectedBases []int64 `json:"refusedBases,omitempty"`
	Rejected      []byte  `json:"refused,omitempty"`
}

func (l *requestLog) encode() *encodedRequestLog {
	e := &encodedRequestLog{Forgotten: l.forgottenUpTo}
	e.Applied, e.Digests = splitRequests(l.applied)
	e.RejectedBases, e.Rejected = splitRequests(l.rejectedAhead)
	return e
}

func splitRequests(ids []requestID) (versions []int64, digests []byte) {
	for _, id := range ids {
		versions = append(versions, id.version)
		digests = append(digests, id.digest[:]...)
	}
	return versions, digests
}

// decodeRequestLog reads the log of a snapshot of some version. Without one it is not known which
// requests led there, so all up to that version count as forgotten.
func decodeRequestLog(e *encodedRequestLog, version int64) (requestLog, error) {
	if e == nil {
		return requestLog{forgottenUpTo: version}, nil
	}
	l := requestLog{forgottenUpTo: e.Forgotten}
	var err error
	if l.applied, err = joinRequests(e.Applied, e.Digests, maxApplied); err != nil {
		return requestLog{}, err
	}
	if l.rejectedAhead, err = joinRequests(e.RejectedBases, e.Rejected, maxRejectedAhead); err != nil {
		return requestLog{}, err
	}
	newest := l.forgottenUpTo
	for _, id := range l.applied {
		if id.version <= newest {
			return requestLog{}, errs.New(errs.Invalid,
				"applied orders: %d stands behind %d", id.version, newest)
		}
		newest = id.version
	}
	if newest != version || l.forgottenUpTo < 0 {
		return requestLog{}, errs.New(errs.Invalid,
			"applied orders: they lead to %d, not to %d", newest, version)
	}
	return l, nil
}

// joinRequests undoes splitRequests. Requests must ascend.
func joinRequests(versions []int64, digests []byte, limit int) ([]requestID, error) {
	if len(versions) > limit || len(digests) != len(versions)*digestSize {
		return nil, errs.New(errs.Invalid,
			"record of orders: %d versions with %d bytes of digests, %d orders at most",
			len(versions), len(digests), limit)
	}
	var ids []requestID
	for i, version := range versions {
		id := requestID{version, digest(digests[i*digestSize:])}
		if i > 0 && compareRequests(ids[i-1], id) >= 0 {
			return nil, errs.New(errs.Invalid, "record of orders: %d is out of order", version)
		}
		ids = append(ids, id)
	}
	return ids, nil
}
