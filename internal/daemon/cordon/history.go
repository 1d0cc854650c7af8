package cordon

import (
	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// maxHistory bounds how many upstreams are remembered after they have left the list: ids come and go without end.
const maxHistory = 16384

// listHistory remembers upstreams that were listed.
type listHistory struct {
	ids         map[policy.ServerID]bool
	oldestFirst []policy.ServerID
}

// remember notes that an upstream is or was listed.
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

// forget drops that many upstreams, those first that were listed first. Listed and banned ones stay.
func (o *Overlay) forget(excess int) {
	kept := o.history.oldestFirst[:0]
	for _, old := range o.history.oldestFirst {
		if _, here := o.listed[old]; excess > 0 && !here && !o.banned[old] {
			delete(o.history.ids, old)
			excess--
			continue
		}
		kept = append(kept, old)
	}
	o.history.oldestFirst = kept
}

// Delisted returns the upstreams that are remembered and no longer listed.
func (o *Overlay) Delisted() (ids []policy.ServerID) {
	for _, id := range o.history.oldestFirst {
		if _, here := o.listed[id]; !here {
			ids = append(ids, id)
		}
	}
	return ids
}

// Remember notes upstreams that were listed before this process started.
func (o *Overlay) Remember(ids []policy.ServerID) {
	for _, id := range ids {
		o.remember(id)
	}
}

// WasListed says whether an upstream is remembered as listed, whether or not it still is.
func (o *Overlay) WasListed(id string) bool { return o.history.ids[call.ServerID(id)] }
