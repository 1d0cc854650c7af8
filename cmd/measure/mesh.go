package main

import (
	"fmt"
	"time"
)

// What the operators ask for, at the size that they expect (docs/CAPACITY.md).
const (
	meshControlCPU    = 0.025     // of a core, a sidecar, for control
	meshControlMemory = 256 << 20 // bytes, a sidecar
	meshControlBytes  = 3000.0    // a second, a sidecar, both ways together
	meshAppliedIn     = 14.0      // seconds until a change is in force everywhere
	meshAdded         = 0.49      // ms added to a call for 99 in 100
	meshSize          = 2400
	meshCoreMachines  = 13
)

const (
	// meshRoutes is how many routes the configuration has while the number of sidecars is varied.
	meshRoutes = 350
	// meshShare is the number of sidecars from which on those of a process share one configuration,
	// and keep no registry.
	meshShare = 1000
	// meshStabilizeTime is how long after the last sidecar has connected the core still sends
	// full registries, and more.
	meshStabilizeTime = 4 * time.Second
	// meshRequestInterval is how often a sidecar asks for tokens at least, where a tenant has a limit.
	meshRequestInterval = 250 * time.Millisecond
	// meshChanges are made one after the other: of 8 one brings a snapshot.
	meshChanges = 8
)

// measureMesh measures what the mesh's control costs by its size, what a change costs by its
// configuration's, and what the data path adds to a call.
func measureMesh(short bool) (string, []string, error) {
	sizes, windows, each, routes := []int{50, 100, 200, 400, 800}, 3, 5*time.Second, []int{25, 350, 2000}
	if short {
		sizes, windows, each, routes = []int{50, 100}, 1, 2*time.Second, []int{25}
	}
	binary, end, err := tempMeshd()
	if err != nil {
		return "", nil, err
	}
	defer end()
	var missed []string
	added, err := meshPath(binary, short)
	if err != nil {
		return "", nil, err
	}
	if added.median() > meshAdded {
		missed = append(missed, fmt.Sprintf("%.3f ms are added to the 99th percentile of calls, %.2f at most",
			added.median(), meshAdded))
	}
	for _, n := range routes {
		if err := meshByRoutes(binary, n); err != nil {
			return "", nil, fmt.Errorf("%d routes: %w", n, err)
		}
	}
	var last meshSized
	reached := 0
	points := map[string]*meshPoints{}
	for _, n := range sizes {
		s, err := meshBySize(binary, meshShape{members: 3, sidecars: n}, windows, each)
		if err != nil {
			return "", nil, fmt.Errorf("%d sidecars: %w", n, err)
		}
		last, reached = s, n
		for name, y := range s.fitted() {
			if points[name] == nil {
				points[name] = new(meshPoints)
			}
			points[name].add(float64(n), y)
		}
		missed = append(missed, s.missed(n)...)
	}
	printMeshFits(points)
	if !short {
		more, err := measureMoreMembers(binary, windows, each)
		if err != nil {
			return "", nil, err
		}
		missed = append(missed, more...)
	}
	return fmt.Sprintf("sidecars=%d bytes_s=%.0f ask_bytes_s=%.0f cpu_core=%.5f ask_cpu_core=%.5f "+
		"memory_mib=%.2f applied_s=%.3f added_p99_ms=%.3f",
		reached, last.bytes, last.tokenBytes, last.cpu, last.tokenCPU, last.memory/(1<<20), last.applied,
		added.median()), missed, nil
}

// measureMoreMembers measures meshes with more core members than three, and the large ones.
func measureMoreMembers(binary string, windows int, each time.Duration) (missed []string, err error) {
	for _, members := range []int{5, meshCoreMachines} {
		if _, err := meshBySize(binary, meshShape{members: members, sidecars: 400}, windows, each); err != nil {
			return nil, fmt.Errorf("%d members: %w", members, err)
		}
	}
	large, missed, err := measureMeshLarge(false)
	if err != nil {
		return nil, err
	}
	fmt.Println("meshlarge", large)
	return missed, nil
}

// missed names the bounds that a mesh of so many sidecars missed.
func (s meshSized) missed(n int) (missed []string) {
	miss := func(format string, args ...any) { missed = append(missed, fmt.Sprintf(format, args...)) }
	if y := s.bytes + s.tokenBytes; y > meshControlBytes {
		miss("%d sidecars: each moves %.0f bytes a second for control with the asks for tokens, %.0f at most", n,
			y, meshControlBytes)
	}
	if y := s.cpu + s.tokenCPU; y > meshControlCPU {
		miss("%d sidecars: each uses %.4f of a core for control with the asks for tokens, %.3f at most",
			n, y, meshControlCPU)
	}
	if s.memory > meshControlMemory {
		miss("%d sidecars: each holds %.0f bytes, %d at most", n, s.memory, meshControlMemory)
	}
	if s.applied > meshAppliedIn {
		miss("%d sidecars: a change is in force everywhere after %.2f s, %.0f at most", n, s.applied, meshAppliedIn)
	}
	return missed
}

// printMeshFits prints how what was measured grows with the number of sidecars.
func printMeshFits(points map[string]*meshPoints) {
	for _, f := range []struct {
		name, unit string
		scale      float64
	}{
		{"leader: CPU", "% of a core", 100}, {"other member: CPU", "% of a core", 100},
		{"leader: memory", "KiB", 1.0 / 1024}, {"other member: memory", "KiB", 1.0 / 1024},
		{"leader: bytes a second", "B", 1}, {"other member: bytes a second", "B", 1},
		{"leader: CPU for asks for tokens", "% of a core", 100},
		{"other member: CPU for asks for tokens", "% of a core", 100},
		{"sidecar: memory", "KiB", 1.0 / 1024}, {"change: CPU at the leader", "ms", 1000},
		{"change: in force at the last", "ms", 1000},
	} {
		if p := points[f.name]; p != nil {
			p.print(f.name, f.unit, f.scale)
		}
	}
}

// measureMeshLarge measures meshes of the size that the operators expect, as far as this machine
// bears them: it prints which it does not.
func measureMeshLarge(short bool) (string, []string, error) {
	binary, end, err := tempMeshd()
	if err != nil {
		return "", nil, err
	}
	defer end()
	shapes := []meshShape{
		{members: meshCoreMachines, sidecars: meshSize, called: 8, over: 30 * time.Second},
		{members: meshCoreMachines, sidecars: meshSize, over: 60 * time.Second},
		{members: 3, sidecars: meshSize, called: 8, over: 30 * time.Second},
	}
	if short {
		shapes = []meshShape{{members: 3, sidecars: 800, called: 8, over: 5 * time.Second}}
	}
	var missed []string
	borne := 0
	for _, shape := range shapes {
		s, err := meshBySize(binary, shape, 2, 5*time.Second)
		if err != nil {
			fmt.Printf("not borne here: %v: %v\n", shape, err)
			continue
		}
		borne++
		if s.applied > meshAppliedIn {
			missed = append(missed, fmt.Sprintf("%v: a change is in force everywhere after %.2f s, %.0f at most",
				shape, s.applied, meshAppliedIn))
		}
	}
	return fmt.Sprintf("shapes=%d borne=%d", len(shapes), borne), missed, nil
}
