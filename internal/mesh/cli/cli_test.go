package cli

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"caperarch/internal/mesh/controlplane"
	"caperarch/internal/mesh/httpclient"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/mesh/watch"
)

// coreSettings are of a core machine that is alone: its address, the mesh's port and the data
// directory are filled in.
const coreSettings = `
self: {nodeName: core-1, role: controlplane, machineClass: core, servedRoles: [control_plane], ipAddress: 127.0.0.1,
  zone: a, region: r, countedInQuorum: true, firstStart: true, dataDirectory: %[3]q,
  limits: {cpuShare: 1, cpuCores: 1, memoryMb: 256, maxOpenFiles: 1024, bandwidthMbps: 100, diskMb: 64}}
network: {listenAddresses: {controlPlane: "%[1]s"}, internalPortRange: [%[2]s, %[2]s], seedNodes: ["%[1]s"],
  zones: {a: r}}
provider: {discoverySource: static, entryType: static, heartbeatIntervalS: 1}
guarantees: {contracts: [base], faultTolerance: {machines: 0, zones: 0, regions: 0}, bounds: {}}
`

// firstConfiguration is what the verbs put in force.
const firstConfiguration = `
configVersion: 3
resources:
  - {resourceType: services, metadata: {name: tea}, specification: {healthCheckPath: /health}}
  - {resourceType: services, metadata: {name: milk}, specification: {}}
  - {resourceType: routes, metadata: {name: cups}, specification: {
      hostname: tea.example, pathPrefix: /cup/, routeType: idempotent, timeoutS: 1.5, priority: 2, maxAttempts: 2,
      weightedTargets: [{serviceName: tea, weight: 3}, {serviceName: milk, weight: 1}]}}
  - {resourceType: routes, metadata: {name: open}, specification: {
      hostname: tea.example, pathPrefix: /open/, routeType: non_idempotent, timeoutS: 1, serviceName: milk, public: true}}
  - {resourceType: tenants, metadata: {name: house}, specification: {apiKeys: [k-1, k-2], priority: 0, ratePerS: 50}}
`

// freeAddress returns a loopback address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// refusingAddress returns an address that is bound but accepts no connections until the test ends. One
// that is merely free may be met by a connection to itself: the kernel may give the caller the very
// port that it calls.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// runWithOutput runs a verb and returns the exit code and what it wrote on both outputs.
func runWithOutput(at string, args ...string) (int, string) {
	var out bytes.Buffer
	getenv := func(name string) string { return map[string]string{AddressesVariable: at}[name] }
	code := Run(context.Background(), args, strings.NewReader(firstConfiguration), &out, &out, getenv)
	return code, out.String()
}

func TestVerbsAgainstACoreMachine(t *testing.T) {
	Convey("Every verb against a core machine", t, func() {
		at, inside := freeAddress(t), freeAddress(t)
		_, port, _ := net.SplitHostPort(inside)
		set, err := settings.Parse(fmt.Appendf(nil, coreSettings, at, port, t.TempDir()))
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- controlplane.Run(ctx, set, nil, zap.NewNop()) }()
		Reset(func() {
			cancel()
			So(<-ended, ShouldBeNil)
		})
		// expect runs a verb and looks for its exit code and for parts of what it writes.
		expect := func(code int, args string, parts ...string) {
			got, text := runWithOutput(at, strings.Fields(args)...)
			So(got, ShouldEqual, code)
			for _, part := range parts {
				So(text, ShouldContainSubstring, part)
			}
		}

		// The core is still choosing itself: the library asks until there is an answer.
		expect(ExitOK, "why tea.example /cup/1", "No configuration is in force yet: the answer is 503.")
		expect(ExitOK, "apply -", "version 3 is in force, built on version 0")
		expect(ExitOK, "apply - --output json", `"configVersion": 3`, `"baseVersion": 0`)
		next := filepath.Join(t.TempDir(), "next.yaml")
		replacer := strings.NewReplacer("3\nres", "5\nres", "name: open", "name: wide", "1.5", "2.5")
		text := replacer.Replace(firstConfiguration)
		So(os.WriteFile(next, []byte(text), 0o600), ShouldBeNil)
		expect(ExitOK, "diff "+next,
			"from version 3, which is in force, to version 5 of the file: 3 differences\n"+
				"~ routes cups\n- routes open\n+ routes wide\n")
		expect(ExitRejected, "apply "+next+" --base 2", "stale: "+at, "builds on 2, but 3 is in place")
		expect(ExitOK, "apply "+next+" --base 3", "version 5 is in force, built on version 3")
		expect(ExitOK, "apply "+next+" --base 3", "version 5 is in force") // the very same again
		expect(ExitRejected, "apply -", "invalid: ", "configVersion: 3 is not above 5")
		expect(ExitOK, "describe", "version 5 is in force, built on version 3, with 5 items",
			"tea.example/cup/ idempotent to tea:3,milk:1", "2 keys, 50 a second")
		expect(ExitOK, "describe --output json", `"apiKeys"`, `"k-1"`)

		// A sidecar with its upstream, and an upstream that reached the core alone.
		client := httpclient.New(time.Second)
		defer client.CloseIdleConnections()
		lease := &registry.Lease{
			Node: "side-1", Incarnation: 1, Sequence: 1, Zone: "a", Applied: 5,
			Upstream: &registry.Upstream{
				Instance: "i-1", Service: "tea", Address: "10.0.0.1:80", Inbound: "10.0.0.1:81",
				Zone: "a", Slots: 4, Sequence: 1,
			},
		}
		_, err = rpc.Call[registry.Lease, watch.LeaseResponse](ctx, client, "http://"+inside+"/mesh/lease", lease)
		So(err, ShouldBeNil)
		res, err := client.Post("http://"+at+"/api/instances/i-2/heartbeat", "", strings.NewReader(
			`{"address":"10.0.0.2:80","nodeInfo":{"serviceName":"tea","zone":"b","capacitySlots":7},`+
				`"status":{"state":"ready","callSequence":1}}`))
		So(err, ShouldBeNil)
		So(res.StatusCode, ShouldEqual, http.StatusOK)
		So(res.Body.Close(), ShouldBeNil)
		expect(ExitOK, "members", "as core-1 knows it",
			inside+"  core-1  5        leader,voter,in contact", "side-1   a     5        i-1       here")
		expect(ExitOK, "members --output json", `"asOf": "core-1"`, `"node": "side-1"`, `"leader": true`)
		expect(ExitOK, "upstreams",
			"i-1       tea      a     side-1  4      ready", "i-2       tea      b     -       7      ready")
		expect(ExitOK, "view", "node core-1", "leader "+inside, "version 5", "in contact true",
			"voter true", "voters "+inside, "changing false", "sick false")

		expect(ExitOK, "why TEA.example:80 /cup/1?x --key k-2",
			"Route cups takes it",
			"It may run more than once. One try is sent to 2 upstreams at most and held for 2.5s at most.",
			"tenant house's, which may have 50 requests",
			"Its priority is 0, the tenant's",
			"Service tea gets 75% of the route's requests; core-1 knows 2 upstreams of it, 1 of which",
			"i-1 in zone a, 4 slots: ready",
			"i-2 in zone b, 7 slots: no sidecar beside it is known",
			"Service milk gets 25%",
			"Nothing can run it there")
		expect(ExitOK, "why tea.example /cup/1 --output json --key k", `"refusal": 401`, "No tenant has this key")
		expect(ExitOK, "why tea.example /cup/1", "none is given (--key): the answer is 401")
		expect(ExitOK, "why tea.example /open/1",
			"Route wide takes it", "at most once", "The route is public", "the compartment of the service")
		expect(ExitOK, "why tea.example /cups/1", "the answer is 404")
	})
}

func TestUsageErrorsAreNamed(t *testing.T) {
	Convey("What is used wrongly, faulty files and silence have their codes and are named", t, func() {
		file := func(text string) string {
			path := filepath.Join(t.TempDir(), "file")
			So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
			return path
		}
		core := fmt.Sprintf(coreSettings, "127.0.0.1:1", "2", "/data")
		faulty := strings.NewReplacer(
			"timeoutS: 1.5", "timeoutS: 700",
			"serviceName: milk, public", "serviceName: mlik, public",
			"ratePerS: 50", "ratePerS: -1",
		).Replace(firstConfiguration)
		badAddress := strings.Replace(core, "ipAddress: 127.0.0.1", "ipAddress: here", 1)
		badType := strings.Replace(firstConfiguration, "resourceType: tenants", "resourceType: guests", 1)
		shared := firstConfiguration + "  - {resourceType: tenants, metadata: {name: guest}, specification: {apiKeys: [k-2]}}\n"
		for _, x := range []struct {
			code  int
			args  []string
			parts []string
		}{
			{ExitUsage, nil, []string{"verbs:", "exit codes"}},
			{ExitUsage, []string{"aply"}, []string{"verbs:"}},
			{ExitOK, []string{"apply", "-h"}, []string{"verbs:"}},
			{ExitUsage, []string{"view"}, []string{"give --at or set MESHD_AT"}},
			{ExitUsage, []string{"view", "--at", "core"}, []string{`"core" is not a host with a port`}},
			{ExitUsage, []string{"view", "--base", "3"}, []string{"not defined: -base"}},
			{ExitUsage, []string{"apply", "-", "--base", "x", "--at", "a:1"}, []string{"not a version"}},
			{ExitUsage, []string{"why", "--at", "a:1", "host"}, []string{"1 arguments are given, 2 are needed"}},
			{ExitUsage, []string{"why", "--at", "a:1", "--", "host", "-path"}, []string{"does not begin with a slash"}},
			{ExitUsage, []string{"apply", "--at", "a:1", file("")}, []string{"not a configuration"}},
			{ExitUsage, []string{"apply", "--at", "a:1", file("{\"configVersion\":1,\"resorces\":[]}")}, []string{"resorces"}},
			{ExitUsage, []string{"diff", "--at", "a:1", filepath.Join(t.TempDir(), "none")}, []string{"no such file"}},
			{ExitUndetermined, []string{"view", "--at", refusingAddress(t), "--timeout", "100ms"}, []string{"unreached: "}},
			{ExitOK, []string{"check", "-"}, []string{"configuration: no fault was found"}},
			{ExitOK, []string{"check", file(core)}, []string{"settings: no fault was found"}},
			{ExitUsage, []string{"check", file(badAddress)}, []string{"self.ipAddress: must be an IP address"}},
			{ExitUsage, []string{"check", file(faulty)}, []string{
				"routes \"cups\": timeoutS: must be no greater than 600.\n",
				"routes \"open\": there is no service \"mlik\"\n",
				"tenants \"house\": ratePerS: ", "faults in the configuration: 3",
			}},
			{ExitUsage, []string{"check", file(badType)}, []string{"guests \"house\": there is no resourceType \"guests\"\n"}},
			{ExitUsage, []string{"check", file(shared), "--output", "json"}, []string{`shares a key with`, `"kind": "configuration"`}},
			{ExitUsage, []string{"check", file("- a\n: b")}, []string{"neither"}},
		} {
			code, text := runWithOutput("", x.args...)
			missing := slices.DeleteFunc(x.parts, func(part string) bool {
				return strings.Contains(strings.ToLower(text), strings.ToLower(part))
			})
			So(fmt.Sprintln(x.args, code, missing), ShouldEqual, fmt.Sprintln(x.args, x.code, []string{}))
		}
	})
}
