package cluster

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/replication"
)

// afterJoins is a time long after the last machine has joined.
const afterJoins = time.Minute

// view returns a leader's view of voters and learners, all in contact and caught up. The leader is the
// first voter. The zone of a machine is the first four characters of its address.
func view(voters, learners []replication.MemberID) View {
	v := View{Self: voters[0], Status: &replication.Status{
		IsLeader: true, MembershipStable: true, Leader: voters[0], Membership: replication.Membership{Voters: voters},
	}}
	for _, id := range append(append([]replication.MemberID(nil), voters...), learners...) {
		v.Live = append(v.Live, Announcement{ID: id, Zone: string(id[:4])})
	}
	for _, id := range voters[1:] {
		v.Status.Progress = append(v.Status.Progress,
			replication.Progress{ID: id, IsVoter: true, Match: 9, CaughtUp: true})
	}
	for _, id := range learners {
		v.Status.Progress = append(v.Status.Progress, replication.Progress{ID: id, Match: 9, CaughtUp: true})
	}
	return v
}

func (v View) progressOf(id replication.MemberID) *replication.Progress {
	for i := range v.Status.Progress {
		if v.Status.Progress[i].ID == id {
			return &v.Status.Progress[i]
		}
	}
	return nil
}

func TestPlanner(t *testing.T) {
	three := []replication.MemberID{"10.1.0.1:1", "10.2.0.1:1", "10.3.0.1:1"}
	plan := func(target int, v View) ([]replication.MemberID, bool) {
		return NewPlanner(target).Plan(afterJoins, v)
	}
	Convey("No change is planned while all voters are in contact, even if there are learners", t, func() {
		_, ok := plan(3, view(three, []replication.MemberID{"10.4.0.1:1"}))
		So(ok, ShouldBeFalse)
	})
	Convey("Voters are added up to the target, to an odd number and over the zones, once no machine joins", t, func() {
		v := view(three, []replication.MemberID{"10.1.0.2:1", "10.1.0.3:1", "10.4.0.1:1", "10.2.0.2:1"})
		voters, ok := plan(5, v)
		So(ok, ShouldBeTrue)
		So(voters, ShouldHaveLength, 5)
		So(voters, ShouldContain, replication.MemberID("10.4.0.1:1"))
		_, ok = plan(5, view(three, []replication.MemberID{"10.4.0.1:1"}))
		So(ok, ShouldBeFalse) // four voters tolerate no more losses than three
		v.NewestJoin = afterJoins - minJoinAge/2
		_, ok = plan(5, v)
		So(ok, ShouldBeFalse)
	})
	Convey("One voter out of contact at a time is replaced by a learner in contact and caught up", t, func() {
		v := view(three, []replication.MemberID{"10.3.0.2:1"})
		v.progressOf(three[1]).SinceLastContact = LastContactThreshold
		_, ok := plan(3, v)
		So(ok, ShouldBeFalse)
		v.progressOf(three[1]).SinceLastContact = 2 * LastContactThreshold
		v.progressOf(three[2]).SinceLastContact = 2 * LastContactThreshold
		voters, ok := plan(3, v)
		So(ok, ShouldBeTrue)
		So(voters, ShouldResemble, []replication.MemberID{three[0], three[2], "10.3.0.2:1"})
		for _, prevent := range []func(){
			func() { v.progressOf("10.3.0.2:1").CaughtUp = false },
			func() {
				v.progressOf("10.3.0.2:1").CaughtUp, v.progressOf("10.3.0.2:1").SinceLastContact = true, time.Second
			},
			func() { v.progressOf("10.3.0.2:1").SinceLastContact, v.Live[3].Leaving = 0, true },
			func() { v.Live[3].Leaving, v.Status.MembershipStable = false, false },
			func() { v.Status.MembershipStable, v.Status.IsLeader = true, false },
		} {
			prevent()
			_, ok = plan(3, v)
			So(ok, ShouldBeFalse)
		}
	})
	Convey("A voter that the leader never had contact with is replaced sooner than other voters", t, func() {
		v := view(three, []replication.MemberID{"10.3.0.2:1"})
		v.progressOf(three[1]).SinceLastContact = neverContactedThreshold + 1
		_, ok := plan(3, v)
		So(ok, ShouldBeFalse)
		v.progressOf(three[1]).Match = 0
		_, ok = plan(3, v)
		So(ok, ShouldBeTrue)
		v.progressOf(three[1]).SinceLastContact = neverContactedThreshold
		_, ok = plan(3, v)
		So(ok, ShouldBeFalse)
	})
	Convey("A voter whose disk is certainly lost is replaced at once, preferably by a disk at its address", t, func() {
		v := view(three, []replication.MemberID{"10.1.0.9:1", "10.2.0.1:1#new"})
		v.Live = append(v.Live[:1], v.Live[2:]...) // the old disk's announcement has expired
		voters, ok := plan(3, v)
		So(ok, ShouldBeTrue)
		So(voters, ShouldResemble, []replication.MemberID{three[0], three[2], "10.2.0.1:1#new"})
	})
	Convey("A new disk replaces no other voter while the old disk at its address still votes", t, func() {
		v := view(three, []replication.MemberID{"10.2.0.1:1#new"})
		v.progressOf("10.2.0.1:1#new").CaughtUp = false
		v.progressOf(three[2]).SinceLastContact = 2 * LastContactThreshold
		_, ok := plan(3, v)
		So(ok, ShouldBeFalse)
		v.progressOf("10.2.0.1:1#new").CaughtUp = true
		v.Live = append(v.Live[:1], v.Live[2:]...)
		voters, ok := plan(3, v)
		So(ok, ShouldBeTrue)
		So(voters, ShouldResemble, []replication.MemberID{three[0], three[2], "10.2.0.1:1#new"})
	})
	Convey("A leaving voter is replaced; a leaving leader is not, since it transfers leadership first", t, func() {
		v := view(three, []replication.MemberID{"10.4.0.1:1"})
		v.Live[0].Leaving = true
		_, ok := plan(3, v)
		So(ok, ShouldBeFalse)
		v.Live[1].Leaving = true
		voters, ok := plan(3, v)
		So(ok, ShouldBeTrue)
		So(voters, ShouldResemble, []replication.MemberID{three[0], three[2], "10.4.0.1:1"})
		So(HasReplacement(v, three[1]), ShouldBeTrue)
		v.progressOf("10.4.0.1:1").CaughtUp = false
		So(HasReplacement(v, three[1]), ShouldBeFalse)
	})
	Convey("A second change is planned only after minChangeInterval", t, func() {
		v := view(three, []replication.MemberID{"10.4.0.1:1"})
		v.Live[1].Leaving = true
		p := NewPlanner(3)
		_, ok := p.Plan(afterJoins, v)
		So(ok, ShouldBeTrue)
		_, ok = p.Plan(afterJoins+minChangeInterval/2, v)
		So(ok, ShouldBeFalse)
		_, ok = p.Plan(afterJoins+minChangeInterval, v)
		So(ok, ShouldBeTrue)
	})
}
