package controlplane

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestChoose(t *testing.T) {
	seeds := []string{"10.1.0.1:1", "10.2.0.1:1", "10.3.0.1:1"}
	all := []machine{
		{Address: "10.1.0.2:1", Zone: "a"}, {Address: "10.1.0.1:1", Zone: "a"}, {Address: "10.4.0.2:1", Zone: "d"}, {Address: "10.2.0.1:1", Zone: "b"},
		{Address: "10.4.0.1:1", Zone: "d"}, {Address: "10.3.0.1:1", Zone: "c"}, {Address: "10.2.0.2:1", Zone: "b"}, {Address: "10.3.0.2:1", Zone: "c"},
	}
	Convey("The seeds come first, then zones that have fewest, by address; always an odd number, whatever the order in which they told", t, func() {
		So(choose(3, seeds, all), ShouldResemble, seeds)
		five := []string{"10.1.0.1:1", "10.1.0.2:1", "10.2.0.1:1", "10.3.0.1:1", "10.4.0.1:1"}
		So(choose(5, seeds, all), ShouldResemble, five)
		back := make([]machine, 0, len(all))
		for i := range all {
			back = append(back, all[len(all)-1-i])
		}
		So(choose(5, seeds, back), ShouldResemble, five)
		So(choose(5, seeds, all[:4]), ShouldHaveLength, 3)
		So(choose(5, seeds, nil), ShouldBeEmpty)
	})
}

func TestFounder(t *testing.T) {
	seeds := []string{"10.1.0.1:1", "10.2.0.1:1", "10.3.0.1:1"}
	synctest.Test(t, func(t *testing.T) {
		Convey("A founder chooses once it has heard of enough, and waits a while for more where it could choose among them; it does not wait for ever but for the seeds", t, func() {
			r := newRoster()
			for _, address := range seeds[:2] {
				So(r.tell(machine{Address: address, Zone: address[:4]}), ShouldBeNil)
			}
			So(r.chosen(3, seeds), ShouldBeNil)
			So(r.tell(machine{Address: seeds[2], Zone: "10.3"}), ShouldBeNil)
			So(r.tell(machine{Address: seeds[2], Zone: "10.3"}), ShouldBeNil) // once more is no more
			So(r.chosen(3, seeds), ShouldResemble, seeds)
			So(r.chosen(5, seeds), ShouldBeNil)
			So(r.tell(machine{Address: "10.1.0.2:1", Zone: "10.1"}), ShouldBeNil)
			So(r.tell(machine{Address: "10.2.0.2:1", Zone: "10.2"}), ShouldBeNil)
			So(r.chosen(5, seeds), ShouldBeNil)
			time.Sleep(foundingRest) // virtual
			So(r.chosen(5, seeds), ShouldHaveLength, 5)

			late := newRoster()
			So(late.tell(machine{Address: seeds[0], Zone: "10.1"}), ShouldBeNil)
			time.Sleep(foundingTime)
			So(late.chosen(3, seeds), ShouldBeNil) // never without all seeds
			for _, address := range seeds[1:] {
				So(late.tell(machine{Address: address, Zone: address[:4]}), ShouldBeNil)
			}
			So(late.chosen(5, seeds), ShouldResemble, seeds)
			So(late.tell(machine{Address: "nowhere", Zone: "x"}), ShouldNotBeNil)
		})
		Convey("A reader counts for a while after its last word, and is none of those that are chosen", t, func() {
			r := newRoster()
			r.settle(seeds)
			So(r.tell(machine{Address: "10.4.0.1:1", Zone: "d", Reader: true}), ShouldBeNil)
			So(r.all(), ShouldResemble, append(append([]string(nil), seeds...), "10.4.0.1:1"))
			time.Sleep(readerTime)
			So(r.all(), ShouldResemble, seeds)
		})
	})
}
