package replication

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/rpc"
)

// memoryDisk is a Storage that can be full.
type memoryDisk struct {
	mu    sync.Mutex
	state State
	full  bool
}

func (d *memoryDisk) Save(p *WriteBatch) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return errors.New("no space left on device")
	}
	d.state.put(p)
	return nil
}

func (d *memoryDisk) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

func (d *memoryDisk) Close() error { return nil }

// application is a list of commands.
type application struct {
	mu    sync.Mutex
	list  []string
	index uint64
}

// applied is the index of the last entry that was applied.
func (a *application) applied() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.index
}

func (a *application) apply(index uint64, cmd []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = index
	if len(cmd) == 0 {
		return
	}
	a.list = append(a.list, string(cmd))
}

func (a *application) restore(index uint64, data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = index
	a.list = strings.Split(string(data), "\n")
}

func (a *application) snapshot() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return []byte(strings.Join(a.list, "\n"))
}

func (a *application) commands() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.list)
}

// proposeAnywhere puts a command to whichever member takes it, until one has committed it.
func proposeAnywhere(nodes []*Node, cmd string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		for i, n := range nodes {
			if n.Status().Leader != n.ID() {
				continue
			}
			if _, err := n.Propose(ctx, []byte(cmd)); err == nil {
				return i
			}
		}
		<-time.After(10 * time.Millisecond)
	}
	return -1
}

func TestNodeOnFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A sequencer whose disk is full steps down, says nothing, and comes back", t, func() {
			ids := allMembers[:3]
			nodes, disks, apps := make([]*Node, 3), make([]*memoryDisk, 3), make([]*application, 3)
			var mu sync.Mutex
			mu.Lock()
			for i, id := range ids {
				disks[i] = &memoryDisk{state: State{ID: id, Cluster: testCluster, Snapshot: Snapshot{Membership: Membership{Voters: ids}}}}
				apps[i] = &application{}
				n, err := StartNode(NodeConfig{Storage: disks[i], State: disks[i].state, Logger: zap.NewNop(), AppliedIndex: apps[i].applied,
					Apply: apps[i].apply, Restore: apps[i].restore, Snapshot: apps[i].snapshot,
					Send: func(to MemberID, msgs []Message) {
						mu.Lock()
						peer := nodes[slices.Index(ids, to)]
						mu.Unlock()
						peer.Deliver(id, msgs)
					}})
				if err != nil {
					t.Fatal(err)
				}
				nodes[i] = n
			}
			mu.Unlock()
			first := proposeAnywhere(nodes, "one")
			So(first, ShouldBeGreaterThanOrEqualTo, 0)
			ctx := context.Background()
			So(nodes[first].Read(ctx), ShouldBeNil)
			So(errs.KindOf(nodes[(first+1)%3].Read(ctx)), ShouldEqual, errs.NotLeader)

			disks[first].setFull(true)
			_, err := nodes[first].Propose(ctx, []byte("refused"))
			So(errs.KindOf(err), ShouldEqual, errs.NoQuorum)
			So(nodes[first].Status().StorageFailed, ShouldBeTrue)
			_, err = nodes[first].Propose(ctx, []byte("refused"))
			So(errs.KindOf(err), ShouldEqual, errs.DiskFailed)
			second := proposeAnywhere(nodes, "two")
			So(second, ShouldNotEqual, first)

			disks[first].setFull(false)
			<-time.After(2 * time.Second)
			So(nodes[first].Status().StorageFailed, ShouldBeFalse)
			So(nodes[first].InContact(), ShouldBeTrue)
			So(apps[first].commands(), ShouldResemble, apps[second].commands())
			So(apps[second].commands()[0], ShouldEqual, "one")
			So(apps[second].commands(), ShouldContain, "two")
			for _, n := range nodes {
				So(n.Close(), ShouldBeNil)
			}
		})
	})
}

// site is a member with its store, its transport and its server on loopback.
type site struct {
	node      *Node
	transport *Transport
	server    *http.Server
	app       *application
}

// openSite opens the store in dir; one that is empty is founded as a first voter, or as a newcomer
// with the incarnation.
func openSite(dir, address, incarnation string, seeds []string, l net.Listener) (*site, error) {
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
	s := &site{app: &application{}}
	s.transport = NewTransport(state.ID, rpc.NewClient(time.Second), func(from MemberID, msgs []Message) { s.node.Deliver(from, msgs) }, zap.NewNop())
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

func (s *site) close() error {
	s.transport.Close()
	return errors.Join(s.server.Close(), s.node.Close())
}

// letIn has whoever leads keep a newcomer up to date and put it in another's place, till that is settled.
func letIn(nodes []*Node, newcomer, replaced MemberID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		for _, n := range nodes {
			status := n.Status()
			if !status.IsLeader {
				continue
			}
			if status.MembershipStable && status.Membership.IsVoter(newcomer) {
				return !status.Membership.IsVoter(replaced)
			}
			voters := slices.Clone(status.Membership.Voters)
			if i := slices.Index(voters, replaced); i >= 0 {
				voters[i] = newcomer
			}
			_ = n.SetLearners(ctx, []MemberID{newcomer})
			_ = n.ChangeMembership(ctx, voters)
		}
		<-time.After(10 * time.Millisecond)
	}
	return false
}

func TestSitesOnLoopback(t *testing.T) {
	Convey("Three members with stores, over HTTP: commands survive a member that loses its disk and comes back as another, and a restart of all", t, func() {
		seeds, dirs, sites := make([]string, 3), make([]string, 3), make([]*site, 3)
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
			sites[i], err = openSite(dirs[i], seeds[i], incarnation, seeds, listeners[i])
			listeners[i] = nil
			So(err, ShouldBeNil)
		}
		nodes := func() []*Node {
			var list []*Node
			for _, s := range sites {
				list = append(list, s.node)
			}
			return list
		}
		for i := range sites {
			start(i, "")
		}
		large := strings.Repeat("l", 2<<20)
		lead := proposeAnywhere(nodes(), "one")
		So(lead, ShouldBeGreaterThanOrEqualTo, 0)
		So(proposeAnywhere(nodes(), large), ShouldBeGreaterThanOrEqualTo, 0)

		So(sites[lead].close(), ShouldBeNil)
		So(os.RemoveAll(dirs[lead]), ShouldBeNil)
		So(os.MkdirAll(dirs[lead], 0o700), ShouldBeNil)
		start(lead, "1")
		So(sites[lead].node.Status().Membership.Voters, ShouldBeEmpty)
		So(proposeAnywhere(nodes(), "two"), ShouldBeGreaterThanOrEqualTo, 0)
		So(letIn(nodes(), sites[lead].node.ID(), NewMemberID(seeds[lead], "")), ShouldBeTrue)
		for i := range sites {
			So(sites[i].close(), ShouldBeNil)
		}
		for i := range sites {
			start(i, "never used")
		}
		So(sites[lead].node.ID(), ShouldEqual, NewMemberID(seeds[lead], "1"))
		i := proposeAnywhere(nodes(), "three")
		So(i, ShouldBeGreaterThanOrEqualTo, 0)
		So(sites[i].node.Read(context.Background()), ShouldBeNil)
		list := sites[i].app.commands()
		So(len(list), ShouldEqual, 4)
		So([]string{list[0], list[2], list[3]}, ShouldResemble, []string{"one", "two", "three"})
		So(list[1] == large, ShouldBeTrue)
		for i := range sites {
			So(sites[i].close(), ShouldBeNil)
		}
	})
}
