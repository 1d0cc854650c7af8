package cordon

import (
	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// maxHistory is the maximum number of upstream ids that the history keeps. The history needs a limit because the number
// of ids that are listed and delisted over the lifetime of a process is unlimited.
const maxHistory = 16384

// listHistory holds the ids of the upstreams that are or were listed.
type listHistory struct {
	ids         map[policy.ServerID]bool
	oldestFirst []policy.ServerID // the keys of ids, in the order in which they were added
}

// remember adds an upstream to the history.
func (o *Overlay) remember(id policy.ServerID) {
	if o.history.ids[id] {
		return
	}
	if o.history.ids == nil {
		o.history.ids = make(map[policy.ServerID]bool)
	}
	o.history.ids[id] = true
	if o.history.oldestFirst = append(o.history.oldestFirst, id); len(o.history.oldestFirst) > maxHistory {
		o.forget(len(o.history.oldestFirst) - maxHistory)
	}
}

// forget removes up to excess upstreams from the history, oldest first. Upstreams that are listed or banned are kept.
func (o *Overlay) forget(excess int) {
	kept := o.history.oldestFirst[:0]
	for _, old := range o.history.oldestFirst {
		if _, isListed := o.listed[old]; excess > 0 && !isListed && !o.banned[old] {
			delete(o.history.ids, old)
			excess--
			continue
		}
		kept = append(kept, old)
	}
	o.history.oldestFirst = kept
}

// Delisted returns the upstreams of the history that are no longer listed.
func (o *Overlay) Delisted() (ids []policy.ServerID) {
	for _, id := range o.history.oldestFirst {
		if _, isListed := o.listed[id]; !isListed {
			ids = append(ids, id)
		}
	}
	return ids
}

// Remember adds upstreams to the history that were listed before this process started.
func (o *Overlay) Remember(ids []policy.ServerID) {
	for _, id := range ids {
		o.remember(id)
	}
}

// WasListed reports whether an upstream is in the history, that is, whether it is listed now or was listed earlier.
func (o *Overlay) WasListed(id string) bool { return o.history.ids[call.ServerID(id)] }
