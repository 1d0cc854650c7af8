package swim_test

import (
	"slices"
	"testing"
	"time"

	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/swimsim"
)

// All that five members sent one another in half a minute, in which one crashed, comes to one of
// them again an hour later: nothing changes by it.
func TestReplayedAnHourLater(t *testing.T) {
	var all []swim.Message
	n := swimsim.New(
		swimsim.Config{
			Size: 5, Seed: 3,
			Alter: func(_ swim.Config, to swim.Host) swim.Host { return recorder{to, &all} },
		},
	)
	n.After(20*time.Second, func() { n.Crash(4) })
	n.After(24*time.Second, func() { n.Boot(4) })
	n.Run(40 * time.Second)
	early := all
	n.Run(time.Hour)
	if !n.Converged() || n.InContact() != 5 {
		t.Fatal("they don't agree")
	}
	before := n.Nodes[0].Members(n.Nodes[0].Time())
	for i := range early {
		if early[i].From != 0 {
			n.Nodes[0].Receive(n.Nodes[0].Time(), &early[i])
		}
	}
	for i, m := range n.Nodes[0].Members(n.Nodes[0].Time()) {
		if m.State != before[i].State || m.Session != before[i].Session || m.LastLeaseAck != before[i].LastLeaseAck {
			t.Errorf("member %d: %+v, before %+v", i, m, before[i])
		}
	}
	if !n.Nodes[0].InContact(n.Nodes[0].Time()) {
		t.Error("out of contact")
	}
}

// recorder keeps what a node sends.
type recorder struct {
	swim.Host
	all *[]swim.Message
}

func (r recorder) Send(to int, m *swim.Message) {
	c := *m
	c.Rumours = slices.Clone(m.Rumours)
	*r.all = append(*r.all, c)
	r.Host.Send(to, m)
}
