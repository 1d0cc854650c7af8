package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

func TestReadAndParse(t *testing.T) {
	Convey("The example files are read completely", t, func() {
		s, err := ReadFile(filepath.Join("testdata", "sidecar.yaml"))
		So(err, ShouldBeNil)
		So(*s, ShouldResemble, Settings{
			Self: Self{
				NodeName: "sidecar-hall-a-1", Role: "my-sidecar", MachineClass: Sidecar, ServedRoles: []string{"sidecar"},
				IPAddress: "10.1.0.40", Zone: "hall-a", Region: "kochi", FirstStart: true,
				Limits:     Limits{CPUShare: 0.32, CPUCores: 1, MemoryMB: 284, MaxOpenFiles: 4100, BandwidthMbps: 1000},
				AppAddress: "10.1.0.40:8103", ServiceName: "huvo11a",
			},
			Network: Network{
				ListenAddresses: ListenAddresses{
					Inbound: "10.1.0.40:8109", Outbound: "10.1.0.40:8106", Readiness: "10.1.0.40:8100", ControlPlane: "10.1.0.40:8105",
				},
				InternalPortRange: PortRange{First: 7640, Last: 7655},
				SeedNodes:         []string{"10.1.0.45:8105", "10.2.0.35:8105", "10.3.0.41:8105"},
				Zones:             map[string]string{"hall-a": "kochi", "hall-b": "kochi", "hall-c": "kochi"},
			},
			Provider: Provider{DiscoverySource: "static", EntryType: "static", HeartbeatInterval: 1500 * time.Millisecond},
			Guarantees: Guarantees{
				Contracts:      Contracts{"base", "drain", "config", "cost", "retry", "recover", "tenants", "quota"},
				FaultTolerance: FaultTolerance{Machines: 1},
				Bounds: Bounds{
					SeedLag: 3 * time.Second, AddressReuse: 2 * time.Second, ContactWindow: 3 * time.Second,
					AckTimeout: 5 * time.Second, CatchUp: 4 * time.Second, DrainTimeout: 2 * time.Second,
					GracePeriod: 6 * time.Second, LossSlack: 200 * time.Millisecond, ConfigApply: 2 * time.Second,
					RollbackSlack: 250 * time.Millisecond, MaxSkew: 8 * time.Second, Revocation: 5 * time.Second,
					RetryBudgetRatio: 0.2, RetryWindow: 10 * time.Second, RetryBudgetSlack: 62,
					QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20, Recovery: 15 * time.Second,
				},
			},
		})
		So(s.Guarantees.Contracts.Has("drain"), ShouldBeTrue)
		So(s.Guarantees.Contracts.Has("drai"), ShouldBeFalse)
		So(s.OwnInternalAddress(), ShouldEqual, "10.1.0.40:7640")
		So(s.InternalAddress(s.Network.SeedNodes[1]), ShouldEqual, "10.2.0.35:7640")

		t.Setenv(BootVariable, filepath.Join("testdata", "core.yaml"))
		s, err = Load()
		So(err, ShouldBeNil)
		So(s.Self.DataDirectory, ShouldEqual, "/data/my-core")
		So(s.Self.CountedInQuorum, ShouldBeTrue)
		So(s.Self.Limits.DiskMB, ShouldEqual, 256)
		So(s.Network.ListenAddresses, ShouldResemble, ListenAddresses{ControlPlane: "10.1.0.45:8105"})
	})

	Convey("Optional fields may be missing, and the error for an invalid field is one line with its path", t, func() {
		for _, c := range []struct{ class, old, new, message string }{
			{"core", "cpuShare: 0.24", "cpuShare: 0.24\n    newLimit: {a: [1]}", ""},
			{"core", "    quotaSlack: 20\n", "", ""},
			{"sidecar", "    quotaSlack: 20", "    quotaSlack: null", ""},
			{"sidecar", "  dataDirectory: null\n", "", ""},
			{"core", "    cpuShare: 0.24\n", "", "self.limits.cpuShare: required key is missing"},
			{
				"core", "cpuShare: 0.24", "cpuShare: \"0.24\"",
				`self.limits.cpuShare: must be a number over 0, is "0.24"`,
			},
			{
				"core", "memoryMb: 280", "memoryMb: 280.5",
				`self.limits.memoryMb: must be a whole number from 0 on, is "280.5"`,
			},
			{
				"core", "dataDirectory: \"/data/my-core\"", "dataDirectory: null",
				"self.dataDirectory: must be a text, is null",
			},
			{
				"core", "machineClass: \"core\"", "machineClass: \"hall\"",
				`self.machineClass: must be core or sidecar, is "hall"`,
			},
			{
				"core", "machineClass: \"core\"", "machineClass: \"sidecar\"",
				"network.listenAddresses.inbound: required key is missing",
			},
			{"sidecar", "  serviceName: \"huvo11a\"\n", "", "self.serviceName: required key is missing"},
			{
				"sidecar", "10.1.0.40:8109", "hall-a:8109",
				`network.listenAddresses.inbound: must be an IP address with a port, is "hall-a:8109"`,
			},
			{
				"sidecar", "10.2.0.35:8105", "10.2.0.35",
				`network.seedNodes: must be a list of IP addresses with ports, is "[10.1.0.45:8105 10.2.0.35 10.3.0.41:8105]"`,
			},
			{
				"sidecar", "- 7655", "- 7600",
				`network.internalPortRange: must be two ports in order, is "[7640 7600]"`,
			},
			{
				"sidecar", "heartbeatIntervalS: 1.5", "heartbeatIntervalS: 0",
				`provider.heartbeatIntervalS: must be seconds over 0, is "0"`,
			},
			{
				"sidecar", "ackTimeoutS: 5", "ackTimeoutS: .inf",
				`guarantees.bounds.ackTimeoutS: must be seconds from 0 on, is "+Inf"`,
			},
			{
				"sidecar", "revocationStrict: false", "revocationStrict: 0",
				`guarantees.bounds.revocationStrict: must be true or false, is "0"`,
			},
		} {
			data, err := os.ReadFile(filepath.Join("testdata", c.class+".yaml"))
			So(err, ShouldBeNil)
			So(string(data), ShouldContainSubstring, c.old)
			_, err = Parse([]byte(strings.Replace(string(data), c.old, c.new, 1)))
			if c.message == "" {
				So(err, ShouldBeNil)
				continue
			}
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldEqual, c.message)
			So(errs.KindOf(err), ShouldEqual, errs.Invalid)
		}
	})

	Convey("A file that is not YAML or is truncated gives a one-line error or complete settings", t, func() {
		data, err := os.ReadFile(filepath.Join("testdata", "core.yaml"))
		So(err, ShouldBeNil)
		texts := []string{"", "[1]", "self: [", "\x00\xff", "self:\n\t- a", "a: 1\na: 2"}
		for n := 0; n < len(data)-len("    recoveryS: 15\n"); n += 7 {
			texts = append(texts, string(data[:n]))
		}
		for _, text := range texts {
			if _, err := Parse([]byte(text)); err != nil {
				So(err.Error(), ShouldNotContainSubstring, "\n")
				continue
			}
			So(text, ShouldContainSubstring, "\n  bounds:")
		}
		_, err = ReadFile(filepath.Join("testdata", "none.yaml"))
		So(errs.KindOf(err), ShouldEqual, errs.Malformed)
	})
}
