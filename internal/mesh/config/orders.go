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
	// maxRefusedAhead is the number of refused orders that are remembered because the version they
	// build on may still come. It guards the record against operators that name versions at random.
	maxRefusedAhead = 512
)

// orderID identifies an order: the version it was told apart by, and the digest of its content.
type orderID struct {
	version int64
	digest  digest
}

func compareOrders(a, b orderID) int {
	return cmp.Or(cmp.Compare(a.version, b.version), bytes.Compare(a.digest[:], b.digest[:]))
}

// orderRecord is what a snapshot remembers of the orders that the log has settled, so that an order
// that is sent again gets the verdict it had. It is immutable.
type orderRecord struct {
	// applied are the newest orders that were applied, by their configVersion, which ascends.
	applied []orderID
	// forgotten is the newest version that was applied and is in the record no more, 0 for none.
	forgotten int64
	// refusedAhead are orders that were refused because they built on a version that had not come
	// yet, by their baseVersion. Should it come, they stay refused.
	refusedAhead []orderID
}

// hasApplied says whether this very order was applied, as far as the record reaches.
func (r *orderRecord) hasApplied(change *Change) bool {
	_, found := slices.BinarySearchFunc(r.applied, orderID{change.version, change.digest}, compareOrders)
	return found
}

// mayHaveApplied says whether the record no longer tells if this order was applied.
func (r *orderRecord) mayHaveApplied(change *Change) bool {
	return change.version > 0 && change.version <= r.forgotten
}

// hasRefused says whether this very order was refused ahead of its base.
func (r *orderRecord) hasRefused(change *Change) bool {
	_, found := slices.BinarySearchFunc(r.refusedAhead, orderID{change.base, change.digest}, compareOrders)
	return found
}

// withApplied gives the record after an order was applied. Refused orders that build on an older
// version are dropped: they are refused for their base from now on.
func (r *orderRecord) withApplied(change *Change) orderRecord {
	next := orderRecord{forgotten: r.forgotten}
	drop := max(0, len(r.applied)+1-maxApplied)
	if drop > 0 {
		next.forgotten = r.applied[drop-1].version
	}
	next.applied = make([]orderID, 0, len(r.applied)+1-drop)
	next.applied = append(next.applied, r.applied[drop:]...)
	next.applied = append(next.applied, orderID{change.version, change.digest})
	for _, refused := range r.refusedAhead {
		if refused.version >= change.version {
			next.refusedAhead = append(next.refusedAhead, refused)
		}
	}
	return next
}

// withRefused gives the record after an order was refused ahead of its base, or false where the
// record is full.
func (r *orderRecord) withRefused(change *Change) (orderRecord, bool) {
	id := orderID{change.base, change.digest}
	at, found := slices.BinarySearchFunc(r.refusedAhead, id, compareOrders)
	if found {
		return *r, true
	}
	if len(r.refusedAhead) >= maxRefusedAhead {
		return *r, false
	}
	next := *r
	next.refusedAhead = slices.Insert(slices.Clone(r.refusedAhead), at, id)
	return next, true
}

// encodedOrders is a record as JSON. Digests are laid end to end, in the order of the versions.
type encodedOrders struct {
	Forgotten    int64   `json:"forgotten"`
	Applied      []int64 `json:"applied"`
	Digests      []byte  `json:"digests"`
	RefusedBases []int64 `json:"refusedBases,omitempty"`
	Refused      []byte  `json:"refused,omitempty"`
}

func (r *orderRecord) encode() *encodedOrders {
	e := &encodedOrders{Forgotten: r.forgotten}
	e.Applied, e.Digests = splitOrders(r.applied)
	e.RefusedBases, e.Refused = splitOrders(r.refusedAhead)
	return e
}

func splitOrders(orders []orderID) (versions []int64, digests []byte) {
	for _, order := range orders {
		versions = append(versions, order.version)
		digests = append(digests, order.digest[:]...)
	}
	return versions, digests
}

// decodeOrders reads the record of a snapshot of some version. Without one it is not known which
// orders led there, so all up to that version count as forgotten.
func decodeOrders(e *encodedOrders, version int64) (orderRecord, error) {
	if e == nil {
		return orderRecord{forgotten: version}, nil
	}
	r := orderRecord{forgotten: e.Forgotten}
	var err error
	if r.applied, err = joinOrders(e.Applied, e.Digests, maxApplied); err != nil {
		return orderRecord{}, err
	}
	if r.refusedAhead, err = joinOrders(e.RefusedBases, e.Refused, maxRefusedAhead); err != nil {
		return orderRecord{}, err
	}
	newest := r.forgotten
	for _, order := range r.applied {
		if order.version <= newest {
			return orderRecord{}, errs.New(errs.Invalid, "applied orders: %d stands behind %d", order.version, newest)
		}
		newest = order.version
	}
	if newest != version || r.forgotten < 0 {
		return orderRecord{}, errs.New(errs.Invalid, "applied orders: they lead to %d, not to %d", newest, version)
	}
	return r, nil
}

// joinOrders undoes splitOrders. Orders must ascend.
func joinOrders(versions []int64, digests []byte, most int) ([]orderID, error) {
	if len(versions) > most || len(digests) != len(versions)*digestSize {
		return nil, errs.New(errs.Invalid, "record of orders: %d versions with %d bytes of digests, %d orders at most",
			len(versions), len(digests), most)
	}
	var orders []orderID
	for i, version := range versions {
		order := orderID{version, digest(digests[i*digestSize:])}
		if i > 0 && compareOrders(orders[i-1], order) >= 0 {
			return nil, errs.New(errs.Invalid, "record of orders: %d is out of order", version)
		}
		orders = append(orders, order)
	}
	return orders, nil
}
