package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/proxy/strictconfig"
)

// Fleet is the operator's file on what the sidecars of a fleet have to do with one another, checked whole.
type Fleet struct {
	Path           string
	Name           string        // datagrams of sidecars with another name are ignored
	Lease          time.Duration // 0: derived from the number of sidecars
	ClockError     float64       // bound on the relative error of a clock's rate; 0: the default
	BytesPerSecond float64       // of the whole fleet; 0: fleetBytes for each sidecar

	Policy *FleetPolicy // nil: none
}

// FleetPolicy is the file's section on the policy that the sidecars agree on.
type FleetPolicy struct {
	FallbackPolicy []byte // TOML (cut_off), applied by a sidecar that may have missed a change
	StateDir       string // folder that outlives the process; "": none
}

const (
	fleetBytes  = 2048 // per second and sidecar, unless the operator's file says otherwise
	policyBytes = 2048 // on top if sidecars agree on a policy: changes come in bursts, above all at the leader
)

// maxNameBytes bounds the name of a fleet.
const maxNameBytes = 64

// BytesPerSidecar is how many bytes per second each of so many sidecars may send.
func (f *Fleet) BytesPerSidecar(sidecars int) float64 {
	if f.BytesPerSecond == 0 && f.Policy != nil {
		return fleetBytes + policyBytes
	}
	if f.BytesPerSecond == 0 {
		return fleetBytes
	}
	return f.BytesPerSecond / float64(max(1, sidecars))
}

// ReadFleet reads the operator's fleet file (TOML) and the policy file that it names. Errors, among them
// unknown keys, name the line or the field.
func ReadFleet(path string) (*Fleet, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f, err := parseFleet(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	f.Path = path
	if f.Policy != nil {
		if err := f.Policy.resolve(path); err != nil {
			return nil, fmt.Errorf("%s: policy.cut_off: %w", path, err)
		}
	}
	return f, nil
}

// resolve makes paths relative to the fleet file, and reads the policy file in place of its name.
func (p *FleetPolicy) resolve(fleetFile string) error {
	resolvePath := func(name string) string {
		if name == "" || filepath.IsAbs(name) {
			return name
		}
		return filepath.Join(filepath.Dir(fleetFile), name)
	}
	p.StateDir = resolvePath(p.StateDir)
	policyFile := resolvePath(string(p.FallbackPolicy))
	var err error
	if p.FallbackPolicy, err = os.ReadFile(policyFile); err != nil {
		return err
	}
	if _, err := policyrollout.Parse(p.FallbackPolicy); err != nil {
		return fmt.Errorf("%s: %w", policyFile, err)
	}
	return nil
}

// parseFleet parses a fleet file. Its FallbackPolicy is still the name of the policy file.
func parseFleet(raw []byte) (*Fleet, error) {
	var file struct {
		Name  string
		Lease string
		Clock *float64 `toml:"clock_error"`
		Bytes *float64 `toml:"fleet_bytes_per_second"`

		Policy *struct {
			CutOff string `toml:"cut_off"`
			State  string
		}
	}
	if err := strictconfig.DecodeTOML(raw, &file); err != nil {
		return nil, err
	}
	f := &Fleet{Name: file.Name}
	if f.Name == "" || len(f.Name) > maxNameBytes {
		return nil, fmt.Errorf("name: %d characters, 1 to %d are needed: it tells this fleet's sidecars from others'",
			len(f.Name), maxNameBytes)
	}
	if file.Lease != "" {
		var err error
		if f.Lease, err = time.ParseDuration(file.Lease); err != nil || f.Lease < time.Second || f.Lease > time.Hour {
			return nil, fmt.Errorf("lease: %q is no time from \"1s\" to \"1h\"", file.Lease)
		}
	}
	if file.Clock != nil {
		if f.ClockError = *file.Clock; !(f.ClockError > 0 && f.ClockError <= 0.1) {
			return nil, fmt.Errorf("clock_error: %v is not above 0 and at most 0.1", f.ClockError)
		}
	}
	if file.Bytes != nil {
		if f.BytesPerSecond = *file.Bytes; !(f.BytesPerSecond >= 512 && f.BytesPerSecond <= 1e9) {
			return nil, fmt.Errorf("fleet_bytes_per_second: %v is not within 512 and 1e9", f.BytesPerSecond)
		}
	}
	if p := file.Policy; p != nil {
		if p.CutOff == "" {
			return nil, errors.New("policy.cut_off: a file is needed, " +
				"with the policy by which a sidecar goes that may have missed something")
		}
		f.Policy = &FleetPolicy{FallbackPolicy: []byte(p.CutOff), StateDir: p.State}
	}
	return f, nil
}
