package raftlog_test

import (
	"slices"
	"testing"
	"time"

	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/lab/raftlogsim"
)

// A majority of the voters is lost at once: nothing can be agreed on any more, and a new beginning
// is refused while the log answers, taken when it does not, and yielded to by those of the old one.
func TestNewBeginning(t *testing.T) {
	n := founded(t, 5, 3)
	if err := n.Nodes[1].Bootstrap(n.Now, 2); err == nil && !n.Nodes[1].IsVoter() {
		t.Error("a new beginning while the log answers")
	}
	n = founded(t, 5, 3)
	for i := range 3 {
		n.Crash(i)
	}
	n.Partitioned = func(from, to int) bool { return from == 4 || to == 4 } // it stays with the old log for now
	for i := range 3 {
		n.Boot(i)
	}
	n.Run(20 * time.Second)
	before := len(n.Agreed(1))
	_ = n.Nodes[3].Propose(n.Now, []byte("lost"))
	n.Run(10 * time.Second)
	if len(n.Agreed(1)) != before {
		t.Error("two of five agreed on something")
	}
	if err := n.Nodes[0].Bootstrap(n.Now, 1); err == nil {
		t.Error("the same epoch again")
	}
	if err := n.Nodes[0].Bootstrap(n.Now, 2); err != nil {
		t.Fatal(err)
	}
	n.Run(10 * time.Second)
	n.Partitioned = nil
	if !n.Until(20*time.Second, func() bool { return complete(n) && n.Nodes[4].Epoch() == 2 }) {
		t.Fatalf("epochs %d and %d", n.Nodes[0].Epoch(), n.Nodes[4].Epoch())
	}
	if err := n.Nodes[4].Propose(n.Now, []byte("new")); err != nil {
		t.Fatal(err)
	}
	n.Run(5 * time.Second)
	all := n.Agreed(2)
	if len(all) == 0 || all[len(all)-1] != "new" || n.Broken != nil {
		t.Errorf("%q, %v", all, n.Broken)
	}
	have := n.Nodes[2].LastIndex()
	n.Nodes[2].Receive(
		n.Now, 1,
		&raftlog.Message{
			Epoch: 1, LastIndex: 100,
			Entries: []raftlog.Entry{{Index: have + 1, Data: []byte("12345678old")}},
		},
	)
	if n.Nodes[2].LastIndex() != have {
		t.Error("an entry of the old log is in the new one")
	}
}

// With disks that last the log outlives a stop of all at once; a voter whose disk fails votes no
// more, and says why.
func TestDisks(t *testing.T) {
	n := raftlogsim.New(5, 4)
	n.NewDisks()
	foundedOn(t, n, 4)
	if err := n.Nodes[3].Propose(n.Now, []byte("kept")); err != nil {
		t.Fatal(err)
	}
	n.Run(time.Second)
	for i := range n.Nodes {
		n.Crash(i)
	}
	n.Run(10 * time.Second)
	for i := range n.Nodes {
		n.Boot(i)
	}
	if !n.Until(20*time.Second, func() bool { return complete(n) }) {
		t.Fatalf("leader %d, epoch %d", n.Leader(), n.Nodes[0].Epoch())
	}
	if err := n.Nodes[2].Propose(n.Now, []byte("later")); err != nil {
		t.Fatal(err)
	}
	n.Run(2 * time.Second)
	all := n.Agreed(1)
	if !slices.Contains(all, "kept") || all[len(all)-1] != "later" || n.Broken != nil {
		t.Errorf("the log: %q; %v", all, n.Broken)
	}
	lame := n.Leader()
	n.Disks[lame].Full = true
	if err := n.Nodes[(lame+1)%5].Propose(n.Now, []byte("beyond")); err != nil {
		t.Fatal(err)
	}
	n.Run(20 * time.Second)
	if n.Nodes[lame].StorageError() == nil || n.Nodes[lame].IsVoter() || n.Leader() == lame {
		t.Errorf(
			"with a full disk: %v, votes %v, leader %d of %d", n.Nodes[lame].StorageError(),
			n.Nodes[lame].IsVoter(), n.Leader(), lame,
		)
	}
	if all := n.Agreed(1); all[len(all)-1] != "beyond" ||
		n.Nodes[lame].LastIndex() != n.Nodes[n.Leader()].LastIndex() {
		t.Errorf("the log: %q, %d entries at the one that votes no more", all, n.Nodes[lame].LastIndex())
	}
	if err := n.Nodes[lame].Bootstrap(n.Now, 9); err == nil {
		t.Error("one that can't vote began a log")
	}
}
