package raftlog_test

import (
	"slices"
	"testing"
	"time"

	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/lab/raftlogsim"
)

// Guards against commits without a quorum after a majority of the voters was lost at once, against a
// Bootstrap while the log still has a leader, and against sidecars that keep the log of an older epoch.
func TestBootstrapAfterLostMajority(t *testing.T) {
	n := bootstrapped(t, 5, 3)
	if err := n.Nodes[1].Bootstrap(n.Now, 2); err == nil && !n.Nodes[1].IsVoter() {
		t.Error("Bootstrap while the log has a leader succeeded, want an error")
	}
	n = bootstrapped(t, 5, 3)
	for i := range 3 {
		n.Crash(i)
	}
	n.Partitioned = func(from, to int) bool { return from == 4 || to == 4 } // keeps sidecar 4 on the old log for now
	for i := range 3 {
		n.Boot(i)
	}
	n.Run(20 * time.Second)
	before := len(n.AppliedEntries(1))
	_ = n.Nodes[3].Propose(n.Now, []byte("lost"))
	n.Run(10 * time.Second)
	if len(n.AppliedEntries(1)) != before {
		t.Error("two of five voters committed an entry, want no commit without a quorum")
	}
	if err := n.Nodes[0].Bootstrap(n.Now, 1); err == nil {
		t.Error("Bootstrap with the current epoch succeeded, want an error")
	}
	if err := n.Nodes[0].Bootstrap(n.Now, 2); err != nil {
		t.Fatal(err)
	}
	n.Run(10 * time.Second)
	n.Partitioned = nil
	if !n.RunUntil(20*time.Second, func() bool { return converged(n) && n.Nodes[4].Epoch() == 2 }) {
		t.Fatalf("sidecars 0 and 4 have epochs %d and %d after 20 s, want 2", n.Nodes[0].Epoch(), n.Nodes[4].Epoch())
	}
	if err := n.Nodes[4].Propose(n.Now, []byte("new")); err != nil {
		t.Fatal(err)
	}
	n.Run(5 * time.Second)
	all := n.AppliedEntries(2)
	if len(all) == 0 || all[len(all)-1] != "new" || n.Violations != nil {
		t.Errorf("entries of epoch 2 are %q, want \"new\" as the last; violations %v", all, n.Violations)
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
		t.Error("an entry of epoch 1 was added to the log of epoch 2")
	}
}

// Guards against losing a log with persistent disks when all sidecars stop at once, and against a voter that
// keeps voting after its disk has failed.
func TestPersistentDisks(t *testing.T) {
	n := raftlogsim.New(5, 4)
	n.NewDisks()
	bootstrap(t, n, 4)
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
	if !n.RunUntil(20*time.Second, func() bool { return converged(n) }) {
		t.Fatalf("leader %d, epoch %d; not converged 20 s after the restart", n.Leader(), n.Nodes[0].Epoch())
	}
	if err := n.Nodes[2].Propose(n.Now, []byte("later")); err != nil {
		t.Fatal(err)
	}
	n.Run(2 * time.Second)
	all := n.AppliedEntries(1)
	if !slices.Contains(all, "kept") || all[len(all)-1] != "later" || n.Violations != nil {
		t.Errorf("log entries are %q, want \"kept\" and, as the last, \"later\"; violations %v", all, n.Violations)
	}
	failed := n.Leader()
	n.Disks[failed].Full = true
	if err := n.Nodes[(failed+1)%5].Propose(n.Now, []byte("beyond")); err != nil {
		t.Fatal(err)
	}
	n.Run(20 * time.Second)
	if n.Nodes[failed].StorageError() == nil || n.Nodes[failed].IsVoter() || n.Leader() == failed {
		t.Errorf(
			"voter with a full disk: error %v, votes %v; leader %d, want another than %d",
			n.Nodes[failed].StorageError(),
			n.Nodes[failed].IsVoter(), n.Leader(), failed,
		)
	}
	if all := n.AppliedEntries(1); all[len(all)-1] != "beyond" ||
		n.Nodes[failed].LastIndex() != n.Nodes[n.Leader()].LastIndex() {
		t.Errorf(
			"log entries are %q, want \"beyond\" as the last; %d entries at the former voter, want all",
			all, n.Nodes[failed].LastIndex(),
		)
	}
	if err := n.Nodes[failed].Bootstrap(n.Now, 9); err == nil {
		t.Error("Bootstrap after a storage failure succeeded, want an error")
	}
}
