package replication

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"caperarch/internal/mesh/httpclient"
)

// testMember is a member with a Store, a Transport and an HTTP server on the loopback interface.
type testMember struct {
	node      *Node
	transport *Transport
	server    *http.Server
	app       *application
}

// startTestMember starts a member on the store in dir. It initializes an empty store as that of an
// initial voter if diskSuffix is empty, and as that of a joining machine otherwise.
func startTestMember(dir, address, diskSuffix string, seeds []string, l net.Listener) (*testMember, error) {
	store, state, err := OpenOrReset(dir, address, zap.NewNop())
	if err != nil {
		return nil, err
	}
	if state.ID == "" {
		cluster, membership := Bootstrap(seeds)
		state = State{ID: NewMemberID(address, diskSuffix), Cluster: cluster}
		if diskSuffix == "" {
			state.Snapshot.Membership = membership
		}
		if err := store.Initialize(state); err != nil {
			return nil, err
		}
	}
	m := &testMember{app: &application{}}
	deliver := func(from MemberID, messages []Message) { m.node.Deliver(from, messages) }
	m.transport = NewTransport(state.ID, httpclient.New(time.Second), deliver, zap.NewNop())
	m.node, err = StartNode(NodeConfig{Storage: store, State: state, Logger: zap.NewNop(), AppliedIndex: m.app.applied,
		Apply: m.app.apply, Restore: m.app.restore, Snapshot: m.app.snapshot, Send: m.transport.Send})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	RegisterRoutes(mux, func() *Node { return m.node })
	m.server = &http.Server{Handler: mux}
	go m.server.Serve(l)
	return m, nil
}

func (m *testMember) close() error {
	m.transport.Close()
	return errors.Join(m.server.Close(), m.node.Close())
}

// replaceVoter makes the current leader replace a voter with successor, and waits up to 10 s until the
// membership change is complete. It reports whether the voter has been replaced.
func replaceVoter(nodes []*Node, successor, replaced MemberID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		for _, n := range nodes {
			status := n.Status()
			if !status.IsLeader {
				continue
			}
			if status.MembershipStable && status.Membership.IsVoter(successor) {
				return !status.Membership.IsVoter(replaced)
			}
			voters := slices.Clone(status.Membership.Voters)
			if i := slices.Index(voters, replaced); i >= 0 {
				voters[i] = successor
			}
			_ = n.SetLearners(ctx, []MemberID{successor})
			_ = n.ChangeMembership(ctx, voters)
		}
		<-time.After(10 * time.Millisecond)
	}
	return false
}

func TestMembersOverHTTP(t *testing.T) {
	Convey("Commands survive the loss of a member's disk, its replacement, and a restart of all members", t, func() {
		seeds, dirs, members := make([]string, 3), make([]string, 3), make([]*testMember, 3)
		listeners := make([]net.Listener, 3)
		for i := range seeds {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			listeners[i], seeds[i], dirs[i] = l, l.Addr().String(), t.TempDir()
		}
		start := func(i int, diskSuffix string) {
			var err error
			if listeners[i] == nil {
				listeners[i], err = net.Listen("tcp", seeds[i])
				So(err, ShouldBeNil)
			}
			members[i], err = startTestMember(dirs[i], seeds[i], diskSuffix, seeds, listeners[i])
			listeners[i] = nil
			So(err, ShouldBeNil)
		}
		nodes := func() []*Node {
			var list []*Node
			for _, m := range members {
				list = append(list, m.node)
			}
			return list
		}
		for i := range members {
			start(i, "")
		}
		large := strings.Repeat("l", 2<<20)
		leaderIndex := proposeToLeader(nodes(), "one")
		So(leaderIndex, ShouldBeGreaterThanOrEqualTo, 0)
		So(proposeToLeader(nodes(), large), ShouldBeGreaterThanOrEqualTo, 0)

		So(members[leaderIndex].close(), ShouldBeNil)
		So(os.RemoveAll(dirs[leaderIndex]), ShouldBeNil)
		So(os.MkdirAll(dirs[leaderIndex], 0o700), ShouldBeNil)
		start(leaderIndex, "1")
		So(members[leaderIndex].node.Status().Membership.Voters, ShouldBeEmpty)
		So(proposeToLeader(nodes(), "two"), ShouldBeGreaterThanOrEqualTo, 0)
		So(replaceVoter(nodes(), members[leaderIndex].node.ID(), NewMemberID(seeds[leaderIndex], "")), ShouldBeTrue)
		for i := range members {
			So(members[i].close(), ShouldBeNil)
		}
		for i := range members {
			start(i, "never used")
		}
		So(members[leaderIndex].node.ID(), ShouldEqual, NewMemberID(seeds[leaderIndex], "1"))
		i := proposeToLeader(nodes(), "three")
		So(i, ShouldBeGreaterThanOrEqualTo, 0)
		So(members[i].node.Read(context.Background()), ShouldBeNil)
		list := members[i].app.commands()
		So(len(list), ShouldEqual, 4)
		So([]string{list[0], list[2], list[3]}, ShouldResemble, []string{"one", "two", "three"})
		So(list[1] == large, ShouldBeTrue)
		for i := range members {
			So(members[i].close(), ShouldBeNil)
		}
	})
}
