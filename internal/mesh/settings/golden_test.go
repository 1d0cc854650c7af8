package settings

import (
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// everyKey returns the settings in the testdata file with every key of a machine class, except for the fields that
// depend on the class. The values of the bounds are numbered from first, so that two fields cannot be confused.
func everyKey(class string, first int) *Settings {
	second := func(n int) time.Duration { return time.Duration(first+n) * time.Second }
	number := func(n int) float64 { return float64(first + n) }
	s := &Settings{
		Self: Self{
			Zone: "hall-a", Region: "kochi", CountedInQuorum: true, FirstStart: true, MachineClass: class,
		},
		Network: Network{
			InternalPortRange: PortRange{First: 7640, Last: 7655},
			SeedNodes:         []string{"10.1.0.45:8105", "10.2.0.35:8105", "10.3.0.41:8105"},
			Zones:             map[string]string{"hall-a": "kochi", "hall-b": "idukki", "hall-c": "kochi"},
		},
		Provider: Provider{DiscoverySource: "seeds", EntryType: "static", HeartbeatInterval: 1500 * time.Millisecond},
		Guarantees: Guarantees{
			Contracts:      Contracts{"base", "drain", "config", "cost", "retry", "recover", "tenants", "quota"},
			FaultTolerance: FaultTolerance{Machines: first + 2, Zones: first + 3, Regions: first + 4},
			Bounds: Bounds{
				SeedLag: second(5), AddressReuse: second(6), ContactWindow: second(7), AckTimeout: second(8),
				CatchUp: second(9), DrainTimeout: second(10), GracePeriod: second(11),
				LossSlack: second(12) + 500*time.Millisecond, ConfigApply: second(13), RollbackSlack: second(14),
				MaxSkew: second(15), RevocationStrict: true, Revocation: second(16),
				RetryBudgetRatio: number(17) + 0.5, RetryWindow: second(18), RetryBudgetSlack: number(19),
				QuotaWindow: second(20), QuotaOverage: number(21) + 0.5, QuotaSlack: number(22), Recovery: second(23),
			},
		},
	}
	s.Self.Limits = Limits{CPUCores: 2, BandwidthMbps: 999.5, DiskMB: first + 1}
	return s
}

func TestEveryKeyIsRead(t *testing.T) {
	core := everyKey("core", 200)
	core.Self.NodeName, core.Self.Role, core.Self.ServedRoles = "core-hall-a-1", "my-core", []string{"control_plane"}
	core.Self.IPAddress, core.Self.DataDirectory = "10.1.0.45", "/data/my-core"
	core.Self.Limits.CPUShare, core.Self.Limits.MemoryMB, core.Self.Limits.MaxOpenFiles = 0.24, 280, 4096
	core.Network.ListenAddresses = ListenAddresses{ControlPlane: "10.1.0.45:8105"}

	sidecar := everyKey("sidecar", 100)
	sidecar.Self.NodeName, sidecar.Self.Role, sidecar.Self.ServedRoles = "sidecar-hall-a-1", "my-sidecar", []string{"sidecar"}
	sidecar.Self.IPAddress, sidecar.Self.DataDirectory = "10.1.0.40", "/data/my-sidecar"
	sidecar.Self.AppAddress, sidecar.Self.ServiceName = "10.1.0.40:8103", "huvo11a"
	sidecar.Self.Limits.CPUShare, sidecar.Self.Limits.MemoryMB, sidecar.Self.Limits.MaxOpenFiles = 0.32, 284, 4100
	sidecar.Network.ListenAddresses = ListenAddresses{
		Inbound: "10.1.0.40:8109", Outbound: "10.1.0.40:8106", Readiness: "10.1.0.40:8100", ControlPlane: "10.1.0.40:8105",
	}

	for class, want := range map[string]*Settings{"core": core, "sidecar": sidecar} {
		t.Setenv("CAPERARCH_BOOT", filepath.Join("testdata", class+"_every_key.yaml"))
		got, err := Load()
		if err != nil {
			t.Fatalf("%s: %v", class, err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: the settings are\n%+v, want\n%+v", class, got, want)
		}
	}
	// A new key must be added to this test and its testdata files.
	if field := firstZero(reflect.ValueOf(*sidecar), "Settings"); field != "" {
		t.Errorf("field %s is zero, want a value for every field in the settings files of this test", field)
	}
}

// firstZero returns the path of the first field with a zero value, or "" if there is none.
func firstZero(v reflect.Value, path string) string {
	if v.IsZero() {
		return path
	}
	if v.Kind() != reflect.Struct {
		return ""
	}
	for i := range v.NumField() {
		if field := firstZero(v.Field(i), path+"."+v.Type().Field(i).Name); field != "" {
			return field
		}
	}
	return ""
}
