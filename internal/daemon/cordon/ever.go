package cordon

import (
	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// everMost bounds how many upstreams are remembered that have left the list: ids come and go without end.
const everMost = 16384

// ever remembers upstreams that were listed.
type ever struct {
	ids   map[policy.ServerID]bool
	order []policy.ServerID // oldest first
}

// remember takes that an upstream is listed, or was.
func (o *Overlay) remember(id policy.ServerID) {
	if o.ever.ids[id] {
		return
	}
	if o.ever.ids == nil {
		o.ever.ids = make(map[policy.ServerID]bool)
	}
	o.ever.ids[id] = true
	if o.ever.order = append(o.ever.order, id); len(o.ever.order) > everMost {
		o.forget(len(o.ever.order) - everMost)
	}
}

// forget drops so many of those that left longest ago. What is listed or banned stays.
func (o *Overlay) forget(excess int) {
	kept := o.ever.order[:0]
	for _, old := range o.ever.order {
		if _, here := o.listed[old]; excess > 0 && !here && !o.banned[old] {
			delete(o.ever.ids, old)
			excess--
			continue
		}
		kept = append(kept, old)
	}
	o.ever.order = kept
}

// Delisted are the upstreams that are remembered and not listed any more.
func (o *Overlay) Delisted() (ids []policy.ServerID) {
	for _, id := range o.ever.order {
		if _, here := o.listed[id]; !here {
			ids = append(ids, id)
		}
	}
	return ids
}

// Remember takes upstreams that were listed before this process came.
func (o *Overlay) Remember(ids []policy.ServerID) {
	for _, id := range ids {
		o.remember(id)
	}
}

// WasListed says whether an upstream was listed since the start, whether or not it still is.
func (o *Overlay) WasListed(id string) bool { return o.ever.ids[call.ServerID(id)] }
