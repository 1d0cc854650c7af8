package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/settings"
	"caperarch/meshapi"
)

// site is core machines on loopback addresses of their own, with real sockets and disks.
type site struct {
	t                 *testing.T
	control, internal string // ports
	client            *http.Client
	machines          map[int]*coreMachine
}

type coreMachine struct {
	cancel context.CancelFunc
	ended  chan error
	reload chan *settings.Settings
}

const siteSettings = `
self: {nodeName: core-%[1]d, role: controlplane, machineClass: core, servedRoles: [control_plane], ipAddress: 127.0.7.%[1]d, zone: zone-%[1]d, region: r, countedInQuorum: true,
  firstStart: %[4]t, dataDirectory: %[5]q, limits: {cpuShare: 1, cpuCores: 1, memoryMb: 256, maxOpenFiles: 1024, bandwidthMbps: 100, diskMb: 64}}
network: {listenAddresses: {controlPlane: "127.0.7.%[1]d:%[2]s"}, internalPortRange: [%[3]s, %[3]s], seedNodes: [%[6]s], zones: {}}
provider: {discoverySource: static, entryType: static, heartbeatIntervalS: 1}
guarantees: {contracts: [base], faultTolerance: {machines: 1, zones: 0, regions: 0}, bounds: {gracePeriodS: %[7]g}}
`

func freePort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.7.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

func newSite(t *testing.T) *site {
	s := &site{t: t, control: freePort(t), internal: freePort(t), client: rpc.NewClient(time.Second), machines: map[int]*coreMachine{}}
	t.Cleanup(func() {
		for n := range s.machines {
			s.stop(n)
		}
	})
	return s
}

// settings are those of a machine that is told of seeds.
func (s *site) settings(n int, first bool, disk string, seeds []int, grace float64) *settings.Settings {
	var named string
	for _, seed := range seeds {
		named += fmt.Sprintf("%q,", fmt.Sprintf("127.0.7.%d:%s", seed, s.control))
	}
	set, err := settings.Parse(fmt.Appendf(nil, siteSettings, n, s.control, s.internal, first, disk, named, grace))
	if err != nil {
		s.t.Fatal(err)
	}
	return set
}

func (s *site) start(n int, first bool, disk string, seeds []int, grace float64) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &coreMachine{cancel: cancel, ended: make(chan error, 1), reload: make(chan *settings.Settings, 1)}
	set := s.settings(n, first, disk, seeds, grace)
	go func() { m.ended <- Run(ctx, set, m.reload, zap.NewNop()) }()
	s.machines[n] = m
}

// stop ends a machine as SIGTERM does, and waits for its end.
func (s *site) stop(n int) {
	m := s.machines[n]
	delete(s.machines, n)
	m.cancel()
	if err := <-m.ended; err != nil {
		s.t.Error(err)
	}
}

func (s *site) view(n int) *meshapi.NodeStatus {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	v, err := rpc.Get[meshapi.NodeStatus](ctx, s.client, s.url(n, meshapi.NodeStatusPath))
	if err != nil {
		return &meshapi.NodeStatus{}
	}
	return v
}

func (s *site) url(n int, path string) string {
	return fmt.Sprintf("http://127.0.7.%d:%s%s", n, s.control, path)
}

// until waits for something to hold; it is asked again and again, as what brings it about is elsewhere.
func (s *site) until(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("waited in vain for %s; machine 1 says %+v", what, s.view(1))
		}
	}
}

// votes says that a machine knows of just these voters, with no change under way.
func (s *site) votes(asked int, voters ...int) func() bool {
	return func() bool {
		v := s.view(asked)
		var known []string
		for _, n := range voters {
			known = append(known, fmt.Sprintf("127.0.7.%d:%s", n, s.internal))
		}
		slices.Sort(v.Voters)
		return v.InContact && !v.MembershipChanging && slices.Equal(v.Voters, known)
	}
}

// change puts a configuration in force by way of a machine, on top of base.
func (s *site) change(n int, version, base int64) {
	body := fmt.Appendf(nil, `{"configVersion":%d,"baseVersion":%d,"resources":[{"resourceType":"services","metadata":{"name":"tea"},"specification":{}}]}`, version, base)
	s.until(fmt.Sprintf("version %d", version), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		taken, err := rpc.Post[meshapi.ChangeResponse](ctx, s.client, s.url(n, "/api/configuration/replace"), body)
		return err == nil && taken.ConfigVersion == version
	})
}

func (s *site) version(n int) (version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	document, err := rpc.Get[json.RawMessage](ctx, s.client, s.url(n, "/api/configuration/describe"))
	if err == nil {
		var said struct {
			ConfigVersion int64 `json:"configVersion"`
		}
		_ = json.Unmarshal(*document, &said)
		version = said.ConfigVersion
	}
	return version
}

// TestCoreMachinesReplaced has each of the first three machines replaced in turn, in order, without
// a word, and by an empty disk at its address: nothing that was acknowledged is lost, and changes go on.
func TestCoreMachinesReplaced(t *testing.T) {
	const inOrder, atOnce = 6, 0.001 // seconds of grace
	Convey("Each replaced core machine's vote goes to its successor, and the last one found knows all", t, func() {
		s, seeds := newSite(t), []int{1, 2, 3}
		disks := t.TempDir()
		disk := func(name string) string {
			path := disks + "/" + name
			So(os.MkdirAll(path, 0o700), ShouldBeNil)
			return path
		}
		s.start(1, true, disk("1"), seeds, atOnce)
		s.start(2, true, disk("2"), seeds, inOrder)
		s.start(3, true, disk("3"), seeds, atOnce)
		s.until("a leader", s.votes(1, 1, 2, 3))
		s.change(1, 1, 0)

		// Planned: the successor comes first, and the old one ends once it votes.
		s.start(4, false, disk("4"), seeds, inOrder)
		s.until("the newcomer to follow", func() bool { return s.view(4).InContact && !s.view(4).Voter })
		s.stop(2)
		So(s.votes(4, 1, 3, 4)(), ShouldBeTrue)
		s.change(4, 2, 1)

		// A disk is lost: the machine comes back at its address, as a new member.
		s.stop(3)
		So(os.RemoveAll(disk("3")), ShouldBeNil)
		s.start(3, false, disk("3"), []int{1, 4}, atOnce)
		s.until("the new disk to vote", func() bool {
			return s.votes(4, 1, 3, 4)() && s.view(3).Voter && s.view(3).MemberID != fmt.Sprintf("127.0.7.3:%s", s.internal)
		})
		s.change(3, 3, 2)

		// One is gone for good, and the only seed that the successor is told of is gone, too, until its settings are written anew.
		s.stop(1)
		s.start(5, false, disk("5"), []int{2}, atOnce)
		s.until("it to be up", func() bool { return s.view(5).ReportedBy != "" })
		So(s.view(5).MemberID, ShouldBeEmpty)
		s.machines[5].reload <- s.settings(5, false, disk("5"), []int{2, 3}, atOnce)
		s.until("the successor to vote", s.votes(5, 3, 4, 5))
		s.change(5, 4, 3)

		// None of the first three disks is left, and another loss is borne.
		s.stop(4)
		s.change(5, 5, 4)
		So(s.version(3), ShouldEqual, 5)

		// A machine that was replaced comes back with its old disk: it follows, and knows the newest.
		s.start(4, false, disk("4"), []int{2}, atOnce)
		s.until("it to follow", func() bool { return s.view(4).InContact && s.version(4) == 5 })
	})
}
