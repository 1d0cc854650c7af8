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

// testMember is a member with its store, its transport and its server on loopback.
type testMember struct {
	node      *Node
	transport *Transport
	server    *http.Server
	app       *application
}

// startTestMember starts a member on the store in dir. An empty store is initialised: without an
// incarnation as that of a first voter, with one as that of a machine that joins.
func startTestMember(dir, address, incarnation string, seeds []string, l net.Listener) (*testMember, error) {
	store, state, err := OpenOrReset(dir, address, zap.NewNop())
	if err != nil {
		return nil, err
	}
	if state.ID == "" {
		cluster, membership := Bootstrap(seeds)
		state = State{ID: NewMemberID(address, incarnation), Cluster: cluster}
		if incarnation == "" {
			state.Snapshot.Membership = membership
		}
		if err := store.Initialize(state); err != nil {
			return nil, err
		}
	}
	s := &testMember{app: &application{}}
	deliver := func(from MemberID, messages []Message) { s.node.Deliver(from, messages) }
	s.transport = NewTransport(state.ID, httpclient.New(time.Second), deliver, zap.NewNop())
	s.node, err = StartNode(NodeConfig{Storage: store, State: state, Logger: zap.NewNop(), AppliedIndex: s.app.applied,
		Apply: s.app.apply, Restore: s.app.restore, Snapshot: s.app.snapshot, Send: s.transport.Send})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	RegisterRoutes(mux, func() *Node { return s.node })
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s, nil
}

func (s *testMember) close() error {
	s.transport.Close()
	return errors.Join(s.server.Close(), s.node.Close())
}

// replaceVoter makes whichever node leads replace a voter by another member, and waits until the
// change has ended.
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
	Convey("Commands survive a member that loses its disk and joins as another, and a restart of all three", t, func() {
		seeds, dirs, members := make([]string, 3), make([]string, 3), make([]*testMember, 3)
		listeners := make([]net.Listener, 3)
		for i := range seeds {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			listeners[i], seeds[i], dirs[i] = l, l.Addr().String(), t.TempDir()
		}
		start := func(i int, incarnation string) {
			var err error
			if listeners[i] == nil {
				listeners[i], err = net.Listen("tcp", seeds[i])
				So(err, ShouldBeNil)
			}
			members[i], err = startTestMember(dirs[i], seeds[i], incarnation, seeds, listeners[i])
			listeners[i] = nil
			So(err, ShouldBeNil)
		}
		nodes := func() []*Node {
			var list []*Node
			for _, s := range members {
				list = append(list, s.node)
			}
			return list
		}
		for i := range members {
			start(i, "")
		}
		large := strings.Repeat("l", 2<<20)
		lead := proposeAnywhere(nodes(), "one")
		So(lead, ShouldBeGreaterThanOrEqualTo, 0)
		So(proposeAnywhere(nodes(), large), ShouldBeGreaterThanOrEqualTo, 0)

		So(members[lead].close(), ShouldBeNil)
		So(os.RemoveAll(dirs[lead]), ShouldBeNil)
		So(os.MkdirAll(dirs[lead], 0o700), ShouldBeNil)
		start(lead, "1")
		So(members[lead].node.Status().Membership.Voters, ShouldBeEmpty)
		So(proposeAnywhere(nodes(), "two"), ShouldBeGreaterThanOrEqualTo, 0)
		So(replaceVoter(nodes(), members[lead].node.ID(), NewMemberID(seeds[lead], "")), ShouldBeTrue)
		for i := range members {
			So(members[i].close(), ShouldBeNil)
		}
		for i := range members {
			start(i, "never used")
		}
		So(members[lead].node.ID(), ShouldEqual, NewMemberID(seeds[lead], "1"))
		i := proposeAnywhere(nodes(), "three")
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
