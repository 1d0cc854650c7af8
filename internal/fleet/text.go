package fleet

import (
	"fmt"
	"io"
	"time"
)

// Text writes a view: a line for this sidecar, one for the link's counters and one for each other
// sidecar. Times are in seconds.
func (v *View) Text(to io.Writer) error {
	contact := "out of contact"
	if v.InContact {
		contact = fmt.Sprintf("in contact for %s at least", seconds(v.ContactUntil-v.Now))
	}
	if len(v.Members) == 0 {
		_, err := fmt.Fprintf(to, "self %d: %s, the address for peers is not this process's yet\n", v.Self, contact)
		return err
	}
	s, l := v.Stats, v.Link
	if _, err := fmt.Fprintf(to, "self %d: %s, lease %s, session %v, %d sidecars at least\n"+
		"counts: probes %d, unanswered %d, suspicions %d, refuted %d, accused %d, lapses %d, stalls %d\n"+
		"link: sent %d (%d bytes), read %d, "+
		"dropped: length %d, spoilt %d, other fleet %d, newer form %d, address %d; spared %d, failed %d\n"+
		"servers that do not answer here: %d, doubted by others: %d\n",
		v.Self, contact, seconds(v.Lease), v.Session, v.Sidecars,
		s.Probes, s.Unanswered, s.Suspicions, s.Refuted, s.Accused, s.Lapses, s.Stalls,
		l.Sent, l.SentBytes, l.Read,
		l.Length, l.Malformed, l.OtherFleet, l.NewerFormat, l.Address, l.OverBudget, l.Failed,
		v.Unresponsive, v.Doubted); err != nil {
		return err
	}
	for _, m := range v.Members {
		if m.Number == v.Self {
			continue
		}
		why := ""
		if m.Accuser != m.Number && m.State.String() != "alive" && m.State.String() != "unknown" {
			why = fmt.Sprintf(", says %d", m.Accuser)
		}
		if m.SessionOver {
			why += ", over for good"
		}
		if _, err := fmt.Fprintf(to, "member %d: %s for %s%s, heard %s ago, answered %s ago, session %v\n",
			m.Number, m.State, seconds(v.Now-m.Since), why,
			since(v.Now, m.LastReceived), since(v.Now, m.LastLeaseAck), m.Session); err != nil {
			return err
		}
	}
	return nil
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.1fs", d.Seconds()) }

func since(now, then time.Duration) string {
	if then == 0 {
		return "never"
	}
	return seconds(now - then)
}
