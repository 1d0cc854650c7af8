package replication

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"
)

func TestSnapshotChunks(t *testing.T) {
	chunk := func(index Index, checksum uint64, offset int, data string, size int) Message {
		return Message{Term: 1, SnapshotChunk: &SnapshotChunk{
			Header: SnapshotHeader{
				Index: index, Term: 1, Membership: Membership{Voters: allMembers[:3]}, Size: size, Checksum: checksum,
			},
			Offset: offset, Data: []byte(data),
		}}
	}
	Convey("Chunks of two snapshots are never combined, even if the checksum of the result is correct", t, func() {
		h := newHarness(0, State{})
		sent := h.step(memberB, chunk(5, 1, 0, "aa", 4))
		So(sent[memberB][0].SnapshotResponse.Offset, ShouldEqual, 2)
		sent = h.step(memberB, chunk(6, xxhash.Sum64String("aabb"), 2, "bb", 4))
		So(sent[memberB][0].SnapshotResponse, ShouldNotBeNil)
		So(sent[memberB][0].SnapshotResponse.Offset, ShouldEqual, 0)
		So(h.disk.Snapshot.Index, ShouldEqual, 0)
	})
	Convey("A snapshot with a wrong checksum is dropped and requested again from offset 0", t, func() {
		h := newHarness(0, State{})
		h.step(memberB, chunk(5, xxhash.Sum64String("aabb"), 0, "aa", 4))
		sent := h.step(memberB, chunk(5, xxhash.Sum64String("aabb"), 2, "bc", 4))
		So(sent[memberB][0].SnapshotResponse, ShouldNotBeNil)
		So(sent[memberB][0].SnapshotResponse.Offset, ShouldEqual, 0)
		So(h.replica.RejectedMessages(), ShouldEqual, 1)
		So(h.disk.Snapshot.Index, ShouldEqual, 0)
		h.step(memberB, chunk(5, xxhash.Sum64String("aabb"), 0, "aa", 4))
		h.step(memberB, chunk(5, xxhash.Sum64String("aabb"), 2, "bb", 4))
		So(string(h.disk.Snapshot.Data), ShouldEqual, "aabb")
	})
}
