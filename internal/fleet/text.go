package fleet

import (
	"fmt"
	"io"
	"time"
)

// Text writes the view for operators: the state of this sidecar, the counters, and one line for each other sidecar.
// Times are in seconds.
func (v *View) Text(out io.Writer) error {
	contact := "out of contact"
	if v.InContact {
		contact = fmt.Sprintf("in contact for %s at least", seconds(v.ContactUntil-v.Now))
	}
	if len(v.Members) == 0 {
		_, err := fmt.Fprintf(out, "self %d: %s, the address for peers is not this process's yet\n", v.Self, contact)
		return err
	}
	stats, link := v.Stats, v.Link
	if _, err := fmt.Fprintf(out, "self %d: %s, lease %s, session %v, %d sidecars at least\n"+
		"counts: probes %d, unanswered %d, suspicions %d, refuted %d, accused %d, lapses %d, stalls %d\n"+
		"link: sent %d (%d bytes), read %d, "+
		"dropped: length %d, spoilt %d, other fleet %d, newer form %d, address %d; spared %d, failed %d\n"+
		"servers that do not answer here: %d, doubted by others: %d\n",
		v.Self, contact, seconds(v.Lease), v.Session, v.Sidecars,
		stats.Probes, stats.Unanswered, stats.Suspicions, stats.Refuted, stats.Accused, stats.Lapses, stats.Stalls,
		link.Sent, link.SentBytes, link.Read,
		link.Length, link.Malformed, link.OtherFleet, link.NewerFormat, link.Address, link.OverBudget, link.Failed,
		v.Unresponsive, v.Doubted); err != nil {
		return err
	}
	for _, member := range v.Members {
		if member.Number == v.Self {
			continue
		}
		detail := ""
		if member.Accuser != member.Number && member.State.String() != "alive" && member.State.String() != "unknown" {
			detail = fmt.Sprintf(", says %d", member.Accuser)
		}
		if member.SessionOver {
			detail += ", over for good"
		}
		if _, err := fmt.Fprintf(out, "member %d: %s for %s%s, heard %s ago, answered %s ago, session %v\n",
			member.Number, member.State, seconds(v.Now-member.Since), detail,
			since(v.Now, member.LastReceived), since(v.Now, member.LastLeaseAck), member.Session); err != nil {
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
