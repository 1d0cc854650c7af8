package replication

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
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

func TestStore(t *testing.T) {
	Convey("Given a store that was founded and written to", t, func() {
		dir := t.TempDir()
		members := []string{"a", "b", "c"}
		s, state, err := Open(dir, members, true)
		So(err, ShouldBeNil)
		So(state, ShouldResemble, State{Members: members, Hard: HardState{Remembers: true}})
		hard := HardState{View: 3, Vote: "b", Remembers: true, Known: map[string]Memory{"c": {Epoch: 1, Nonce: 9}}}
		entries := []Entry{{Index: 1, View: 1}, {Index: 2, View: 1, Cmd: []byte("x")}, {Index: 3, View: 2, Cmd: make([]byte, 2*writeBuffer)}, {Index: 4, View: 2, Cmd: []byte("y")}}
		So(s.Save(&Persist{Hard: &hard, Entries: entries}), ShouldBeNil)
		So(s.Save(&Persist{TruncateFrom: 4, Entries: []Entry{{Index: 4, View: 3, Cmd: []byte("z")}}}), ShouldBeNil)
		So(s.Save(&Persist{Snapshot: &Snapshot{Index: 2, View: 1, Data: []byte("s")}}), ShouldBeNil)
		want := State{Members: members, Hard: hard, Snapshot: Snapshot{Index: 2, View: 1, Data: []byte("s")},
			Entries: []Entry{entries[2], {Index: 4, View: 3, Cmd: []byte("z")}}}

		Convey("it reads back what was saved, and the members are those on disk", func() {
			So(s.Close(), ShouldBeNil)
			s, state, err = Open(dir, []string{"other"}, false)
			So(err, ShouldBeNil)
			So(state, ShouldResemble, want)
			So(s.Close(), ShouldBeNil)
		})
		Convey("a torn end costs no more than the write that was never synced", func() {
			journals, err := filepath.Glob(filepath.Join(dir, folder, "*.log"))
			So(err, ShouldBeNil)
			journal := journals[len(journals)-1]
			before, err := os.Stat(journal)
			So(err, ShouldBeNil)
			So(s.Save(&Persist{Entries: []Entry{{Index: 5, View: 3, Cmd: []byte("torn")}}}), ShouldBeNil)
			after, err := os.Stat(journal)
			So(err, ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			So(os.Truncate(journal, (before.Size()+after.Size())/2), ShouldBeNil)
			s, state, err = Open(dir, members, false)
			So(err, ShouldBeNil)
			So(state, ShouldResemble, want)
			So(s.Close(), ShouldBeNil)
		})
		Convey("one that is damaged is set aside, and the member starts as one that has forgotten", func() {
			So(s.Close(), ShouldBeNil)
			manifests, err := filepath.Glob(filepath.Join(dir, folder, "MANIFEST-*"))
			So(err, ShouldBeNil)
			for _, m := range manifests {
				So(os.WriteFile(m, []byte("no manifest"), 0o600), ShouldBeNil)
			}
			_, _, err = Open(dir, members, true)
			So(errs.Of(err), ShouldEqual, errs.DiskFailed)
			So(Damaged(err), ShouldBeTrue)
			s, state, err = OpenOrForget(dir, members, true, zap.NewNop())
			So(err, ShouldBeNil)
			So(state, ShouldResemble, State{Members: members})
			So(s.Close(), ShouldBeNil)
		})
	})
}

// memoryDisk is a Disk that can be full.
type memoryDisk struct {
	mu    sync.Mutex
	state State
	full  bool
}

func (d *memoryDisk) Save(p *Persist) error {
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
	mu   sync.Mutex
	list []string
}

func (a *application) apply(_ uint64, cmd []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, string(cmd))
}

func (a *application) restore(data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
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
			if id, _ := n.Sequencer(); id != n.cfg.ID {
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
			ids := []string{"a", "b", "c"}
			nodes, disks, apps := make([]*Node, 3), make([]*memoryDisk, 3), make([]*application, 3)
			var mu sync.Mutex
			mu.Lock()
			for i, id := range ids {
				disks[i] = &memoryDisk{state: State{Members: ids, Hard: HardState{Remembers: true}}}
				apps[i] = &application{}
				n, err := Start(NodeConfig{ID: id, Disk: disks[i], State: disks[i].state, Log: zap.NewNop(),
					Apply: apps[i].apply, Restore: apps[i].restore, Snapshot: apps[i].snapshot,
					Send: func(to string, msgs []Message) {
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
			So(errs.Of(nodes[(first+1)%3].Read(ctx)), ShouldEqual, errs.NotSequencer)

			disks[first].setFull(true)
			_, err := nodes[first].Propose(ctx, []byte("refused"))
			So(errs.Of(err), ShouldEqual, errs.NoQuorum)
			So(nodes[first].Sick(), ShouldBeTrue)
			_, err = nodes[first].Propose(ctx, []byte("refused"))
			So(errs.Of(err), ShouldEqual, errs.DiskFailed)
			second := proposeAnywhere(nodes, "two")
			So(second, ShouldNotEqual, first)

			disks[first].setFull(false)
			<-time.After(2 * time.Second)
			So(nodes[first].Sick(), ShouldBeFalse)
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

// site is a member with its store, its post and its server on loopback.
type site struct {
	node   *Node
	post   *Post
	server *http.Server
	app    *application
}

func openSite(dir, id string, ids []string, l net.Listener, first bool) (*site, error) {
	store, state, err := OpenOrForget(dir, ids, first, zap.NewNop())
	if err != nil {
		return nil, err
	}
	s := &site{app: &application{}}
	s.post = NewPost(id, rpc.NewClient(time.Second), func(from string, msgs []Message) { s.node.Deliver(from, msgs) }, zap.NewNop())
	s.node, err = Start(NodeConfig{ID: id, Disk: store, State: state, Log: zap.NewNop(),
		Apply: s.app.apply, Restore: s.app.restore, Snapshot: s.app.snapshot, Send: s.post.Send})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	Register(mux, func() *Node { return s.node })
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s, nil
}

func (s *site) close() error {
	s.post.Close()
	return errors.Join(s.server.Close(), s.node.Close())
}

func TestSitesOnLoopback(t *testing.T) {
	Convey("Three members with stores, over HTTP: commands survive a member that loses its disk and a restart of all", t, func() {
		ids, dirs, sites := make([]string, 3), make([]string, 3), make([]*site, 3)
		listeners := make([]net.Listener, 3)
		for i := range ids {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			listeners[i], ids[i], dirs[i] = l, l.Addr().String(), t.TempDir()
		}
		start := func(i int, first bool) {
			var err error
			if listeners[i] == nil {
				listeners[i], err = net.Listen("tcp", ids[i])
				So(err, ShouldBeNil)
			}
			sites[i], err = openSite(dirs[i], ids[i], ids, listeners[i], first)
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
			start(i, true)
		}
		large := strings.Repeat("l", 2<<20)
		lead := proposeAnywhere(nodes(), "one")
		So(lead, ShouldBeGreaterThanOrEqualTo, 0)
		So(proposeAnywhere(nodes(), large), ShouldBeGreaterThanOrEqualTo, 0)

		So(sites[lead].close(), ShouldBeNil)
		So(os.RemoveAll(dirs[lead]), ShouldBeNil)
		So(os.MkdirAll(dirs[lead], 0o700), ShouldBeNil)
		start(lead, false)
		So(sites[lead].node.Remembers(), ShouldBeFalse)
		So(proposeAnywhere(nodes(), "two"), ShouldBeGreaterThanOrEqualTo, 0)
		deadline := time.After(10 * time.Second)
		for !sites[lead].node.Remembers() {
			select {
			case <-deadline:
				t.Fatal("the member hasn't recovered")
			case <-time.After(10 * time.Millisecond):
			}
		}
		for i := range sites {
			So(sites[i].close(), ShouldBeNil)
		}
		for i := range sites {
			start(i, false)
		}
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
