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

// Fleet is the validated fleet file: how the sidecars of a fleet communicate with each other.
type Fleet struct {
	Path           string
	Name           string        // fleet name; a sidecar ignores datagrams that carry another fleet name
	Lease          time.Duration // lease duration; 0: derived from the number of sidecars
	ClockError     float64       // bound on the relative error of a clock's rate; 0: the default
	BytesPerSecond float64       // datagram bandwidth of the whole fleet; 0: the default of BytesPerSidecar applies

	Policy *FleetPolicy // nil: the fleet has no replicated policy
}

// FleetPolicy is the [policy] section of the fleet file: the policy that the sidecars replicate by consensus.
type FleetPolicy struct {
	FallbackPolicy []byte // TOML (key cut_off); a sidecar applies it while it may have missed a policy change
	StateDir       string // directory that outlives the process; "": the sidecar keeps no state on disk
}

const (
	defaultBytesPerSidecar = 2048 // bytes per second, unless the fleet file sets fleet_bytes_per_second

	// policyBytesPerSidecar is added to defaultBytesPerSidecar, in bytes per second, if the sidecars replicate a
	// policy: policy changes cause bursts of datagrams, most of all at the leader.
	policyBytesPerSidecar = 2048
)

// maxNameBytes is the maximum length of a fleet name.
const maxNameBytes = 64

// BytesPerSidecar returns how many bytes per second each sidecar may send in a fleet of the given number of sidecars.
func (f *Fleet) BytesPerSidecar(sidecars int) float64 {
	if f.BytesPerSecond == 0 && f.Policy != nil {
		return defaultBytesPerSidecar + policyBytesPerSidecar
	}
	if f.BytesPerSecond == 0 {
		return defaultBytesPerSidecar
	}
	return f.BytesPerSecond / float64(max(1, sidecars))
}

// ReadFleet reads the fleet file (TOML) and the policy file that the fleet file names. Errors name the line or the
// field; an unknown key is an error.
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

// resolve resolves relative paths against the directory of the fleet file, and replaces the name of the policy file
// in FallbackPolicy by the file's content.
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

// parseFleet parses a fleet file. FallbackPolicy of the result is the name of the policy file until resolve reads the
// policy file.
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
		return nil, fmt.Errorf("name: length is %d bytes, want 1 to %d: the name separates this fleet from other fleets",
			len(f.Name), maxNameBytes)
	}
	if file.Lease != "" {
		var err error
		if f.Lease, err = time.ParseDuration(file.Lease); err != nil || f.Lease < time.Second || f.Lease > time.Hour {
			return nil, fmt.Errorf("lease: %q is not a duration from \"1s\" to \"1h\"", file.Lease)
		}
	}
	if file.Clock != nil {
		if f.ClockError = *file.Clock; !(f.ClockError > 0 && f.ClockError <= 0.1) {
			return nil, fmt.Errorf("clock_error: %v is out of range, want above 0 and at most 0.1", f.ClockError)
		}
	}
	if file.Bytes != nil {
		if f.BytesPerSecond = *file.Bytes; !(f.BytesPerSecond >= 512 && f.BytesPerSecond <= 1e9) {
			return nil, fmt.Errorf("fleet_bytes_per_second: %v is out of range, want 512 to 1e9", f.BytesPerSecond)
		}
	}
	if p := file.Policy; p != nil {
		if p.CutOff == "" {
			return nil, errors.New("policy.cut_off: missing name of the file " +
				"with the policy that a sidecar applies while it may have missed a policy change")
		}
		f.Policy = &FleetPolicy{FallbackPolicy: []byte(p.CutOff), StateDir: p.State}
	}
	return f, nil
}
