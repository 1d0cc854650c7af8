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

// coreSettings is the format string of the settings of the only core machine of a mesh. Its arguments are the control
// plane address, the internal port and the data directory.
const coreSettings = `
self: {nodeName: core-1, role: controlplane, machineClass: core, servedRoles: [control_plane], ipAddress: 127.0.0.1,
  zone: a, region: r, countedInQuorum: true, firstStart: true, dataDirectory: %[3]q,
  limits: {cpuShare: 1, cpuCores: 1, memoryMb: 256, maxOpenFiles: 1024, bandwidthMbps: 100, diskMb: 64}}
network: {listenAddresses: {controlPlane: "%[1]s"}, internalPortRange: [%[2]s, %[2]s], seedNodes: ["%[1]s"],
  zones: {a: r}}
provider: {discoverySource: static, entryType: static, heartbeatIntervalS: 1}
guarantees: {contracts: [base], faultTolerance: {machines: 0, zones: 0, regions: 0}, bounds: {}}
`

// firstConfiguration is the first configuration that the test applies. It is also the standard input of all verbs.
const firstConfiguration = `
configVersion: 3
resources:
  - {resourceType: services, metadata: {name: tea}, specification: {healthCheckPath: /health}}
  - {resourceType: services, metadata: {name: milk}, specification: {}}
  - {resourceType: routes, metadata: {name: cups}, specification: {
      hostname: tea.example, pathPrefix: /cup/, routeType: idempotent, timeoutS: 1.5, priority: 2, maxAttempts: 2,
      weightedTargets: [{serviceName: tea, weight: 3}, {serviceName: milk, weight: 1}]}}
  - {resourceType: routes, metadata: {name: open}, specification: {
      hostname: tea.example, pathPrefix: /open/, routeType: non_idempotent, timeoutS: 1,
      serviceName: milk, public: true}}
  - {resourceType: tenants, metadata: {name: house}, specification: {apiKeys: [k-1, k-2], priority: 0, ratePerS: 50}}
`

// freeAddress returns a loopback address on which no socket listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// refusingAddress returns a loopback address that is bound until the test ends, but refuses connections. An unbound
// address is not sufficient: the kernel may choose the destination port as the caller's source port, and the socket
// then connects to itself.
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
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// runWithOutput runs a verb and returns its exit code, and its standard output and standard error in one string. The
// environment variable AddressesVariable is set to addressList.
func runWithOutput(addressList string, args ...string) (int, string) {
	var out bytes.Buffer
	getenv := func(name string) string { return map[string]string{AddressesVariable: addressList}[name] }
	code := Run(context.Background(), args, strings.NewReader(firstConfiguration), &out, &out, getenv)
	return code, out.String()
}

func TestVerbsAgainstACoreMachine(t *testing.T) {
	Convey("Verbs change and show the state of a running core machine", t, func() {
		publicAddress, internalAddress := freeAddress(t), freeAddress(t)
		_, port, _ := net.SplitHostPort(internalAddress)
		parsed, err := settings.Parse(fmt.Appendf(nil, coreSettings, publicAddress, port, t.TempDir()))
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		runResult := make(chan error, 1)
		go func() { runResult <- controlplane.Run(ctx, parsed, nil, zap.NewNop()) }()
		Reset(func() {
			cancel()
			So(<-runResult, ShouldBeNil)
		})
		// expect runs a verb and checks its exit code and that its output contains all parts.
		expect := func(code int, args string, parts ...string) {
			got, text := runWithOutput(publicAddress, strings.Fields(args)...)
			So(got, ShouldEqual, code)
			for _, part := range parts {
				So(text, ShouldContainSubstring, part)
			}
		}

		// The core machine may not have elected itself leader yet. The client library retries until it succeeds.
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
		expect(ExitRejected, "apply "+next+" --base 2", "stale: "+publicAddress, "builds on 2, but 3 is in place")
		expect(ExitOK, "apply "+next+" --base 3", "version 5 is in force, built on version 3")
		expect(ExitOK, "apply "+next+" --base 3", "version 5 is in force") // a retry of the same change succeeds
		expect(ExitRejected, "apply -", "invalid: ", "configVersion: 3 is not above 5")
		expect(ExitOK, "describe", "version 5 is in force, built on version 3, with 5 items",
			"tea.example/cup/ idempotent to tea:3,milk:1", "2 keys, 50 a second")
		expect(ExitOK, "describe --output json", `"apiKeys"`, `"k-1"`)

		// A sidecar registers upstream i-1 with its lease. Upstream i-2 sends its heartbeat directly to the core
		// machine and has no sidecar.
		client := httpclient.New(time.Second)
		defer client.CloseIdleConnections()
		lease := &registry.Lease{
			Node: "side-1", Incarnation: 1, Sequence: 1, Zone: "a", Applied: 5,
			Upstream: &registry.Upstream{
				Instance: "i-1", Service: "tea", Address: "10.0.0.1:80", Inbound: "10.0.0.1:81",
				Zone: "a", Slots: 4, Sequence: 1,
			},
		}
		_, err = rpc.Call[registry.Lease, watch.LeaseResponse](ctx, client, "http://"+internalAddress+"/mesh/lease", lease)
		So(err, ShouldBeNil)
		response, err := client.Post("http://"+publicAddress+"/api/instances/i-2/heartbeat", "", strings.NewReader(
			`{"address":"10.0.0.2:80","nodeInfo":{"serviceName":"tea","zone":"b","capacitySlots":7},`+
				`"status":{"state":"ready","callSequence":1}}`))
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		So(response.Body.Close(), ShouldBeNil)
		expect(ExitOK, "members", "as core-1 knows it",
			internalAddress+"  core-1  5        leader,voter,in contact", "side-1   a     5        i-1       here")
		expect(ExitOK, "members --output json", `"asOf": "core-1"`, `"node": "side-1"`, `"leader": true`)
		expect(ExitOK, "upstreams",
			"i-1       tea      a     side-1  4      ready", "i-2       tea      b     -       7      ready")
		expect(ExitOK, "view", "node core-1", "leader "+internalAddress, "version 5", "in contact true",
			"voter true", "voters "+internalAddress, "changing false", "sick false")

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

func TestExitCodesAndErrorMessages(t *testing.T) {
	Convey("Invalid command lines, faulty files and unreachable machines have their exit codes and messages", t, func() {
		writeFile := func(text string) string {
			path := filepath.Join(t.TempDir(), "file")
			So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
			return path
		}
		validSettings := fmt.Sprintf(coreSettings, "127.0.0.1:1", "2", "/data")
		faulty := strings.NewReplacer(
			"timeoutS: 1.5", "timeoutS: 700",
			"serviceName: milk, public", "serviceName: mlik, public",
			"ratePerS: 50", "ratePerS: -1",
		).Replace(firstConfiguration)
		badAddress := strings.Replace(validSettings, "ipAddress: 127.0.0.1", "ipAddress: here", 1)
		badType := strings.Replace(firstConfiguration, "resourceType: tenants", "resourceType: guests", 1)
		sharedKey := firstConfiguration +
			"  - {resourceType: tenants, metadata: {name: guest}, specification: {apiKeys: [k-2]}}\n"
		for _, testCase := range []struct {
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
			{ExitUsage, []string{"apply", "--at", "a:1", writeFile("")}, []string{"not a configuration"}},
			{ExitUsage, []string{"apply", "--at", "a:1", writeFile("{\"configVersion\":1,\"resorces\":[]}")},
				[]string{"resorces"}},
			{ExitUsage, []string{"diff", "--at", "a:1", filepath.Join(t.TempDir(), "none")}, []string{"no such file"}},
			{ExitUndetermined, []string{"view", "--at", refusingAddress(t), "--timeout", "100ms"}, []string{"unreached: "}},
			{ExitOK, []string{"check", "-"}, []string{"configuration: no fault was found"}},
			{ExitOK, []string{"check", writeFile(validSettings)}, []string{"settings: no fault was found"}},
			{ExitUsage, []string{"check", writeFile(badAddress)}, []string{"self.ipAddress: must be an IP address"}},
			{ExitUsage, []string{"check", writeFile(faulty)}, []string{
				"routes \"cups\": timeoutS: must be no greater than 600.\n",
				"routes \"open\": there is no service \"mlik\"\n",
				"tenants \"house\": ratePerS: ", "faults in the configuration: 3",
			}},
			{ExitUsage, []string{"check", writeFile(badType)},
				[]string{"guests \"house\": there is no resourceType \"guests\"\n"}},
			{ExitUsage, []string{"check", writeFile(sharedKey), "--output", "json"},
				[]string{`shares a key with`, `"kind": "configuration"`}},
			{ExitUsage, []string{"check", writeFile("- a\n: b")}, []string{"neither"}},
		} {
			code, text := runWithOutput("", testCase.args...)
			missing := slices.DeleteFunc(testCase.parts, func(part string) bool {
				return strings.Contains(strings.ToLower(text), strings.ToLower(part))
			})
			So(fmt.Sprintln(testCase.args, code, missing), ShouldEqual, fmt.Sprintln(testCase.args, testCase.code, []string{}))
		}
	})
}
