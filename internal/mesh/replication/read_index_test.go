package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestReadIndex(t *testing.T) {
	Convey("A read needs a read round that started after it, and a committed entry of the current term", t, func() {
		h := newHarness(3, State{})
		term := h.elect(false, memberB)
		_, err := h.replica.Read(h.now)
		So(err, ShouldBeNil)
		h.processReady()
		h.step(memberC, h.appendResponse(term, 0))
		So(h.replica.pendingReads, ShouldHaveLength, 1)
		So(h.replica.pendingReads[0].index, ShouldEqual, 0)
		h.step(memberB, h.appendResponse(term, 1))
		So(h.replica.pendingReads, ShouldBeEmpty)
		earlyResponse := h.appendResponse(term, 1)
		_, err = h.replica.Read(h.now)
		So(err, ShouldBeNil)
		h.processReady()
		h.step(memberB, earlyResponse)
		So(h.replica.pendingReads, ShouldHaveLength, 1)
		h.step(memberB, h.appendResponse(term, 1))
		So(h.replica.pendingReads, ShouldBeEmpty)
	})
}
