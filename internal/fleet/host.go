package fleet

import (
	"caperarch/internal/fleet/healthgossip"
	"caperarch/internal/fleet/swim"
)

// swimHost implements swim.Host: it sends the membership protocol's messages and logs its state changes. Its methods
// are called with Fleet.mu held.
type swimHost struct{ f *Fleet }

// Send sends a message to a member.
func (h swimHost) Send(to int, m *swim.Message) { h.f.link.SendContact(to, m) }

// Changed logs a change of a member's state or of this sidecar's contact.
func (h swimHost) Changed(change swim.Change) {
	log := h.f.log
	switch {
	case change.Member == h.f.cfg.Policy.Index && change.Contact:
		log.Info("peers: in contact", "why", change.Why)
	case change.Member == h.f.cfg.Policy.Index:
		log.Warn("peers: out of contact", "why", change.Why)
	case change.Accuser >= 0:
		log.Info(
			"peers: member", "number", change.Member, "state", change.State.String(), "was", change.Was.String(),
			"by", change.Accuser, "session", change.Session,
		)
	default:
		log.Info(
			"peers: member", "number", change.Member, "state", change.State.String(), "was", change.Was.String(),
			"session", change.Session,
		)
	}
}

// linkHandler implements peer.Handler: it dispatches the messages that the link receives.
type linkHandler struct{ f *Fleet }

// Contact passes a message to the membership protocol.
func (h linkHandler) Contact(_ int, m *swim.Message) {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	h.f.node.Receive(h.f.now(), m)
}

// Hint records that servers don't answer another sidecar.
func (h linkHandler) Hint(from int, unresponsive []uint64) {
	servers := make([]healthgossip.Server, len(unresponsive))
	for i, id := range unresponsive {
		servers[i] = healthgossip.Server(id)
	}
	h.f.hintsMu.Lock()
	defer h.f.hintsMu.Unlock()
	h.f.hints.Receive(h.f.now(), from, servers)
}

// Decision passes a message to the policy's replicated state. It is ignored if the fleet has no policy here.
func (h linkHandler) Decision(from int, message []byte) error {
	if h.f.policy == nil {
		return nil
	}
	return h.f.policy.receive(from, message)
}
