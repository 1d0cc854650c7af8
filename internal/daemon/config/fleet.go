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
	Name           string        // sidecars of another name are not heard
	Lease          time.Duration // 0: by the number of sidecars
	ClockError     float64       // greatest error of a clock's rate; 0: the usual
	BytesPerSecond float64       // a second over the whole fleet; 0: fleetBytes for each sidecar

	Policy *FleetPolicy // nil: the sidecars agree on no policy
}

// FleetPolicy is what the file says of the policy that the sidecars agree on.
type FleetPolicy struct {
	FallbackPolicy []byte // text of the policy by which one goes that may have missed something
	StateDir       string // folder that outlives the process; "": there is none
}

const (
	fleetBytes  = 2048 // what each sidecar may send a second where the operator doesn't say,
	policyBytes = 2048 // and as much again where sidecars agree on a policy: changes come in bursts, at the log's leader above all
)

const maxNameBytes = 64

// BytesPerSidecar is how many bytes a second one of so many sidecars may send.
func (f *Fleet) BytesPerSidecar(sidecars int) float64 {
	if f.BytesPerSecond == 0 && f.Policy != nil {
		return fleetBytes + policyBytes
	}
	if f.BytesPerSecond == 0 {
		return fleetBytes
	}
	return f.BytesPerSecond / float64(max(1, sidecars))
}

// ReadFleet reads the operator's file on the fleet (TOML). Unknown keys and values that can't be used: the
// error names line or field.
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
		beside := func(name string) string { // relative to the file
			if name == "" || filepath.IsAbs(name) {
				return name
			}
			return filepath.Join(filepath.Dir(path), name)
		}
		from := beside(string(f.Policy.FallbackPolicy))
		f.Policy.StateDir = beside(f.Policy.StateDir)
		if f.Policy.FallbackPolicy, err = os.ReadFile(from); err != nil {
			return nil, fmt.Errorf("%s: policy.cut_off: %w", path, err)
		}
		if _, err := policyrollout.Parse(f.Policy.FallbackPolicy); err != nil {
			return nil, fmt.Errorf("%s: policy.cut_off: %s: %w", path, from, err)
		}
	}
	return f, nil
}

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
		return nil, fmt.Errorf("name: %d characters, 1 to %d are needed: it tells this fleet's sidecars from others'", len(f.Name), maxNameBytes)
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
			return nil, errors.New("policy.cut_off: a file is needed, with the policy by which a sidecar goes that may have missed something")
		}
		f.Policy = &FleetPolicy{FallbackPolicy: []byte(p.CutOff), StateDir: p.State} // its name: it is read once this file's own place is known
	}
	return f, nil
}
