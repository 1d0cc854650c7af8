package cluster

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/replication"
)

const settledLong = time.Minute

// view is a leader's view of voters and learners, all of them in touch and up to date, zone by the
// second part of the address.
func view(voters, learners []replication.MemberID) View {
	v := View{Self: voters[0], Status: &replication.Status{
		IsLeader: true, MembershipStable: true, Leader: voters[0], Membership: replication.Membership{Voters: voters},
	}}
	for _, id := range append(append([]replication.MemberID(nil), voters...), learners...) {
		v.Live = append(v.Live, Announcement{ID: id, Zone: string(id[:4])})
	}
	for _, id := range voters[1:] {
		v.Status.Progress = append(v.Status.Progress, replication.Progress{ID: id, IsVoter: true, Match: 9, CaughtUp: true})
	}
	for _, id := range learners {
		v.Status.Progress = append(v.Status.Progress, replication.Progress{ID: id, Match: 9, CaughtUp: true})
	}
	return v
}

func (v View) of(id replication.MemberID) *replication.Progress {
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
		return NewPlanner(target).Plan(settledLong, v)
	}
	Convey("Nothing is changed while all voters are there, whatever stands by", t, func() {
		_, ok := plan(3, view(three, []replication.MemberID{"10.4.0.1:1"}))
		So(ok, ShouldBeFalse)
	})
	Convey("The set grows to the target in odd numbers, over the zones, once nobody new has come for a while", t, func() {
		v := view(three, []replication.MemberID{"10.1.0.2:1", "10.1.0.3:1", "10.4.0.1:1", "10.2.0.2:1"})
		voters, ok := plan(5, v)
		So(ok, ShouldBeTrue)
		So(voters, ShouldHaveLength, 5)
		So(voters, ShouldContain, replication.MemberID("10.4.0.1:1"))
		_, ok = plan(5, view(three, []replication.MemberID{"10.4.0.1:1"}))
		So(ok, ShouldBeFalse) // four bear no more than three
		v.NewestJoin = settledLong - joinSettleTime/2
		_, ok = plan(5, v)
		So(ok, ShouldBeFalse)
	})
	Convey("A voter that is unheard for long is replaced, by a learner that is in touch and up to date, and only one at a time", t, func() {
		v := view(three, []replication.MemberID{"10.3.0.2:1"})
		v.of(three[1]).SinceLastContact = LastContactThreshold
		_, ok := plan(3, v)
		So(ok, ShouldBeFalse)
		v.of(three[1]).SinceLastContact, v.of(three[2]).SinceLastContact = 2*LastContactThreshold, 2*LastContactThreshold
		voters, ok := plan(3, v)
		So(ok, ShouldBeTrue)
		So(voters, ShouldResemble, []replication.MemberID{three[0], three[2], "10.3.0.2:1"})
		for _, spoil := range []func(){
			func() { v.of("10.3.0.2:1").CaughtUp = false },
			func() { v.of("10.3.0.2:1").CaughtUp, v.of("10.3.0.2:1").SinceLastContact = true, time.Second },
			func() { v.of("10.3.0.2:1").SinceLastContact, v.Live[3].Leaving = 0, true },
			func() { v.Live[3].Leaving, v.Status.MembershipStable = false, false },
			func() { v.Status.MembershipStable, v.Status.IsLeader = true, false },
		} {
			spoil()
			_, ok = plan(3, v)
			So(ok, ShouldBeFalse)
		}
	})
	Convey("A voter that the leader has never heard has less time", t, func() {
		v := view(three, []replication.MemberID{"10.3.0.2:1"})
		v.of(three[1]).SinceLastContact = neverContactedThreshold + 1
		_, ok := plan(3, v)
		So(ok, ShouldBeFalse)
		v.of(three[1]).Match = 0
		_, ok = plan(3, v)
		So(ok, ShouldBeTrue)
		v.of(three[1]).SinceLastContact = neverContactedThreshold
		_, ok = plan(3, v)
		So(ok, ShouldBeFalse)
	})
	Convey("A disk that is gone for certain is replaced at once, by the new one at its address before others", t, func() {
		v := view(three, []replication.MemberID{"10.1.0.9:1", "10.2.0.1:1#new"})
		v.Live = append(v.Live[:1], v.Live[2:]...) // the old disk says nothing any more
		voters, ok := plan(3, v)
		So(ok, ShouldBeTrue)
		So(voters, ShouldResemble, []replication.MemberID{three[0], three[2], "10.2.0.1:1#new"})
	})
	Convey("A new disk takes no other voter's place while its own old one still votes", t, func() {
		v := view(three, []replication.MemberID{"10.2.0.1:1#new"})
		v.of("10.2.0.1:1#new").CaughtUp = false
		v.of(three[2]).SinceLastContact = 2 * LastContactThreshold
		_, ok := plan(3, v)
		So(ok, ShouldBeFalse)
		v.of("10.2.0.1:1#new").CaughtUp = true
		v.Live = append(v.Live[:1], v.Live[2:]...)
		voters, ok := plan(3, v)
		So(ok, ShouldBeTrue)
		So(voters, ShouldResemble, []replication.MemberID{three[0], three[2], "10.2.0.1:1#new"})
	})
	Convey("One that leaves is replaced; the leader itself isn't, it hands over first", t, func() {
		v := view(three, []replication.MemberID{"10.4.0.1:1"})
		v.Live[0].Leaving = true
		_, ok := plan(3, v)
		So(ok, ShouldBeFalse)
		v.Live[1].Leaving = true
		voters, ok := plan(3, v)
		So(ok, ShouldBeTrue)
		So(voters, ShouldResemble, []replication.MemberID{three[0], three[2], "10.4.0.1:1"})
		So(HasReplacement(v, three[1]), ShouldBeTrue)
		v.of("10.4.0.1:1").CaughtUp = false
		So(HasReplacement(v, three[1]), ShouldBeFalse)
	})
	Convey("Two changes don't follow at once", t, func() {
		v := view(three, []replication.MemberID{"10.4.0.1:1"})
		v.Live[1].Leaving = true
		p := NewPlanner(3)
		_, ok := p.Plan(settledLong, v)
		So(ok, ShouldBeTrue)
		_, ok = p.Plan(settledLong+minChangeInterval/2, v)
		So(ok, ShouldBeFalse)
		_, ok = p.Plan(settledLong+minChangeInterval, v)
		So(ok, ShouldBeTrue)
	})
}

func TestRoster(t *testing.T) {
	own := Announcement{ID: "10.1.0.1:1", Zone: "a"}
	Convey("A roster knows who announced themselves lately, asks all that were ever named, and takes no nonsense", t, func() {
		r := NewMemberList(own, []string{"10.9.0.1:1"})
		So(r.Receive(0, Announcement{ID: "10.2.0.1:1", Zone: "b"}), ShouldBeNil)
		So(r.Receive(0, Announcement{ID: "nowhere"}), ShouldNotBeNil)
		So(r.Addresses(0), ShouldResemble, []string{"10.1.0.1:1", "10.2.0.1:1"})
		So(r.AnnounceTargets(0), ShouldResemble, []string{"10.2.0.1:1", "10.9.0.1:1"})
		So(r.Addresses(announcementTTL+1), ShouldResemble, []string{"10.1.0.1:1"})
		r.SetMembership(replication.Membership{Voters: []replication.MemberID{"10.3.0.1:1"}})
		r.Merge(&AnnounceResponse{Machines: []Announcement{{ID: "10.4.0.1:1#x"}, {ID: "nowhere"}}})
		So(r.AnnounceTargets(announcementTTL+1), ShouldResemble, []string{"10.3.0.1:1", "10.4.0.1:1", "10.9.0.1:1"})
	})
	Convey("A new disk at a known address counts as newly come", t, func() {
		r := NewMemberList(own, nil)
		So(r.Receive(0, Announcement{ID: "10.2.0.1:1"}), ShouldBeNil)
		So(r.Receive(time.Second, Announcement{ID: "10.2.0.1:1#new"}), ShouldBeNil)
		So(r.NewestJoin(), ShouldEqual, time.Second)
		So(r.LiveMembers(time.Second)[1].ID, ShouldEqual, replication.MemberID("10.2.0.1:1#new"))
	})
	Convey("Announcements that lie can't fill the memory", t, func() {
		r := NewMemberList(own, nil)
		var refused int
		for i := range 2 * maxMachines {
			if r.Receive(0, Announcement{ID: replication.NewMemberID("10.5.0.1:"+string(rune('0'+i%10))+string(rune('0'+i/10%10))+string(rune('0'+i/100)), "")}) != nil {
				refused++
			}
		}
		So(refused, ShouldEqual, 2*maxMachines-maxMachines)
	})
}
