package fleet

import (
	"caperarch/internal/fleet/healthgossip"
	"caperarch/internal/fleet/swim"
)

// host carries out what the node decides (swim.Host). Its methods are called with the lock held.
type host struct{ f *Fleet }

// Send sends a message of the node.
func (h host) Send(to int, m *swim.Message) { h.f.link.SendContact(to, m) }

// Changed logs a change of a member's state or of this sidecar's contact.
func (h host) Changed(c swim.Change) {
	log := h.f.log
	switch {
	case c.Member == h.f.cfg.Policy.Index && c.Contact:
		log.Info("peers: in contact", "why", c.Why)
	case c.Member == h.f.cfg.Policy.Index:
		log.Warn("peers: out of contact", "why", c.Why)
	case c.Accuser >= 0:
		log.Info(
			"peers: member", "number", c.Member, "state", c.State.String(), "was", c.Was.String(),
			"by", c.Accuser, "session", c.Session,
		)
	default:
		log.Info(
			"peers: member", "number", c.Member, "state", c.State.String(), "was", c.Was.String(),
			"session", c.Session,
		)
	}
}

// handler handles what the link reads (peer.Handler).
type handler struct{ f *Fleet }

// Contact passes a message to the node.
func (t handler) Contact(_ int, m *swim.Message) {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	t.f.node.Receive(t.f.now(), m)
}

// Hint records which servers don't answer another sidecar.
func (t handler) Hint(from int, silent []uint64) {
	all := make([]healthgossip.Server, len(silent))
	for i, s := range silent {
		all[i] = healthgossip.Server(s)
	}
	t.f.hintsMu.Lock()
	defer t.f.hintsMu.Unlock()
	t.f.hints.Receive(t.f.now(), from, all)
}

// Decision passes a message to the policy's node, if there is one.
func (t handler) Decision(from int, message []byte) error {
	if t.f.policy == nil {
		return nil // this sidecar takes no part in it
	}
	return t.f.policy.receive(from, message)
}
