package config

import (
	"bytes"
	"cmp"
	"slices"

	"caperarch/internal/mesh/errs"
)

const (
	// maxApplied is the number of applied requests whose digests are kept. The newest 4096 requests cover more than a
	// day at 3,500 changes a day. The bound keeps the log small in memory and in each snapshot: a request takes about
	// 24 bytes, the full log about 100 KB.
	maxApplied = 4096
	// maxRejectedAhead is the number of rejected requests that are kept because the version they are based on may
	// still be applied. It bounds the log against clients that send arbitrary versions.
	maxRejectedAhead = 512
)

// requestID identifies a change request by one of its versions and the digest of its content.
type requestID struct {
	version int64
	digest  digest
}

// compareRequests orders requests by version, then by digest.
func compareRequests(a, b requestID) int {
	return cmp.Or(cmp.Compare(a.version, b.version), bytes.Compare(a.digest[:], b.digest[:]))
}

// requestLog makes change requests idempotent. It records the outcomes of earlier requests, so that a request that is
// sent again gets the same response. A requestLog is immutable.
type requestLog struct {
	// applied are the newest applied requests, with their configVersion, in ascending order.
	applied []requestID
	// forgottenUpTo is the newest applied version that is no longer in the log, or 0 if there is none.
	forgottenUpTo int64
	// rejectedAhead are requests that were rejected because the version they are based on had not been applied yet,
	// with their baseVersion. They stay rejected when that version is applied later.
	rejectedAhead []requestID
}

// hasApplied reports whether the log contains the change as an applied request.
func (l *requestLog) hasApplied(change *Change) bool {
	id := requestID{change.version, change.digest}
	_, found := slices.BinarySearchFunc(l.applied, id, compareRequests)
	return found
}

// mayHaveApplied reports whether the change is older than the log, so that the log does not show its outcome.
func (l *requestLog) mayHaveApplied(change *Change) bool {
	return change.version > 0 && change.version <= l.forgottenUpTo
}

// hasRejected reports whether the log contains the change as a request that was rejected ahead of its base version.
func (l *requestLog) hasRejected(change *Change) bool {
	id := requestID{change.base, change.digest}
	_, found := slices.BinarySearchFunc(l.rejectedAhead, id, compareRequests)
	return found
}

// withApplied returns the log after the change was applied. It drops rejected requests that are based on an older
// version: from now on the check of their base version rejects them.
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

// withRejected returns the log after the change was rejected ahead of its base version. It returns false if the log is
// full.
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

// encodedRequestLog is the JSON encoding of a request log. Digests are concatenated in the order of the versions.
type encodedRequestLog struct {
	Forgotten     int64   `json:"forgotten"`
	Applied       []int64 `json:"applied"`
	Digests       []byte  `json:"digests"`
	RejectedBases []int64 `json:"refusedBases,omitempty"`
	Rejected      []byte  `json:"refused,omitempty"`
}

// encode returns the JSON encoding of the log.
func (l *requestLog) encode() *encodedRequestLog {
	e := &encodedRequestLog{Forgotten: l.forgottenUpTo}
	e.Applied, e.Digests = splitRequests(l.applied)
	e.RejectedBases, e.Rejected = splitRequests(l.rejectedAhead)
	return e
}

// splitRequests returns the versions of the requests and their concatenated digests.
func splitRequests(ids []requestID) (versions []int64, digests []byte) {
	for _, id := range ids {
		versions = append(versions, id.version)
		digests = append(digests, id.digest[:]...)
	}
	return versions, digests
}

// decodeRequestLog decodes the request log of a snapshot of the given version. If the snapshot has no log, the requests
// that led to it are unknown, so that all requests up to that version count as forgotten.
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
				"request log: applied version %d follows version %d, want ascending versions", id.version, newest)
		}
		newest = id.version
	}
	if newest != version || l.forgottenUpTo < 0 {
		return requestLog{}, errs.New(errs.Invalid,
			"request log: the newest applied version is %d, want %d", newest, version)
	}
	return l, nil
}

// joinRequests is the inverse of splitRequests. The requests must be in ascending order.
func joinRequests(versions []int64, digests []byte, limit int) ([]requestID, error) {
	if len(versions) > limit || len(digests) != len(versions)*digestSize {
		return nil, errs.New(errs.Invalid,
			"request log: %d versions with %d bytes of digests, want one digest per version and at most %d versions",
			len(versions), len(digests), limit)
	}
	var ids []requestID
	for i, version := range versions {
		id := requestID{version, digest(digests[i*digestSize:])}
		if i > 0 && compareRequests(ids[i-1], id) >= 0 {
			return nil, errs.New(errs.Invalid, "request log: version %d is out of order", version)
		}
		ids = append(ids, id)
	}
	return ids, nil
}
