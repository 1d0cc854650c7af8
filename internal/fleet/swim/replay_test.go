package swim_test

import (
	"slices"
	"testing"
	"time"

	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/swimsim"
)

// Replays to one member, an hour later, all messages that five members sent in 40 s in which one of
// them crashed and restarted. Outdated messages must not change the member's view.
func TestReplayedAnHourLater(t *testing.T) {
	var all []swim.Message
	net := swimsim.New(
		swimsim.Config{
			Size: 5, Seed: 3,
			Alter: func(_ swim.Config, to swim.Host) swim.Host { return recorder{to, &all} },
		},
	)
	net.After(20*time.Second, func() { net.Crash(4) })
	net.After(24*time.Second, func() { net.Boot(4) })
	net.Run(40 * time.Second)
	recorded := all
	net.Run(time.Hour)
	if !net.Converged() || net.InContact() != 5 {
		t.Fatal("views differ or members are out of contact before the replay")
	}
	before := net.Nodes[0].Members(net.Nodes[0].Time())
	for i := range recorded {
		if recorded[i].From != 0 {
			net.Nodes[0].Receive(net.Nodes[0].Time(), &recorded[i])
		}
	}
	for i, member := range net.Nodes[0].Members(net.Nodes[0].Time()) {
		if member.State != before[i].State || member.Session != before[i].Session ||
			member.LastLeaseAck != before[i].LastLeaseAck {
			t.Errorf("replay changed the view of member %d: got %+v, want %+v", i, member, before[i])
		}
	}
	if !net.Nodes[0].InContact(net.Nodes[0].Time()) {
		t.Error("the member is out of contact after the replay")
	}
}

// recorder is a host that records all messages that a node sends.
type recorder struct {
	swim.Host
	all *[]swim.Message
}

func (r recorder) Send(to int, message *swim.Message) {
	clone := *message
	clone.Rumours = slices.Clone(message.Rumours)
	*r.all = append(*r.all, clone)
	r.Host.Send(to, message)
}
