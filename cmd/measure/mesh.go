package main

import (
	"fmt"
	"time"
)

// Bounds that operators require at the expected size of the mesh (docs/CAPACITY.md), and that size.
const (
	meshControlCPU      = 0.025     // cores per sidecar for control traffic
	meshControlMemory   = 256 << 20 // bytes per sidecar
	meshControlBytes    = 3000.0    // bytes per second and sidecar, sent and received
	meshMaxApplySeconds = 14.0      // seconds until a change is in force on all sidecars
	meshMaxAddedP99     = 0.49      // ms added to the 99th percentile of call durations
	meshSize            = 2400      // sidecars
	meshCoreMachines    = 13
)

const (
	// meshRoutes is the number of routes in the configuration while the number of sidecars is varied.
	meshRoutes = 350
	// meshShareConfigAbove is the number of sidecars above which the sidecars of a process share one configuration
	// and keep no registry.
	meshShareConfigAbove = 1000
	// meshStabilizeTime is the wait after the last sidecar has connected. During that time the core still sends full
	// registries and other initial data.
	meshStabilizeTime = 4 * time.Second
	// meshRequestInterval is the longest interval at which a sidecar requests tokens for tenants with limits.
	meshRequestInterval = 250 * time.Millisecond
	// meshChanges is the number of changes that are made one after the other. The
	// replicated log is compacted into a snapshot after 8 entries, so one of the changes causes a snapshot.
	meshChanges = 8
)

// measureMesh measures the cost of the mesh's control traffic by the number of sidecars, the cost of a configuration
// change by the number of routes, and the latency that the data path adds to a call.
func measureMesh(short bool) (string, []string, error) {
	sizes, windows, windowLength, routes := []int{50, 100, 200, 400, 800}, 3, 5*time.Second, []int{25, 350, 2000}
	if short {
		sizes, windows, windowLength, routes = []int{50, 100}, 1, 2*time.Second, []int{25}
	}
	binary, end, err := tempMeshd()
	if err != nil {
		return "", nil, err
	}
	defer end()
	var missed []string
	added, err := measureMeshPath(binary, short)
	if err != nil {
		return "", nil, err
	}
	if added.median() > meshMaxAddedP99 {
		missed = append(missed, fmt.Sprintf("the mesh adds %.3f ms to the 99th percentile of calls, want at most %.2f",
			added.median(), meshMaxAddedP99))
	}
	for _, n := range routes {
		if err := measureMeshRoutes(binary, n); err != nil {
			return "", nil, fmt.Errorf("%d routes: %w", n, err)
		}
	}
	var last meshSizeResult
	reached := 0
	points := map[string]*meshPoints{}
	for _, n := range sizes {
		s, err := measureMeshSize(binary, meshShape{members: 3, sidecars: n}, windows, windowLength)
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
		more, err := measureMoreMembers(binary, windows, windowLength)
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

// measureMoreMembers measures meshes with more than three core members, and the large meshes.
func measureMoreMembers(binary string, windows int, windowLength time.Duration) (missed []string, err error) {
	for _, members := range []int{5, meshCoreMachines} {
		if _, err := measureMeshSize(binary, meshShape{members: members, sidecars: 400}, windows, windowLength); err != nil {
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

// missed returns a line for each bound that a mesh of n sidecars missed.
func (s meshSizeResult) missed(n int) (missed []string) {
	miss := func(format string, args ...any) { missed = append(missed, fmt.Sprintf(format, args...)) }
	if y := s.bytes + s.tokenBytes; y > meshControlBytes {
		miss("%d sidecars: each transfers %.0f bytes/s of control traffic with token requests, want at most %.0f", n,
			y, meshControlBytes)
	}
	if y := s.cpu + s.tokenCPU; y > meshControlCPU {
		miss("%d sidecars: each uses %.4f cores for control traffic with token requests, want at most %.3f",
			n, y, meshControlCPU)
	}
	if s.memory > meshControlMemory {
		miss("%d sidecars: each uses %.0f bytes of memory, want at most %d", n, s.memory, meshControlMemory)
	}
	if s.applied > meshMaxApplySeconds {
		miss("%d sidecars: a change is in force everywhere after %.2f s, want at most %.0f",
			n, s.applied, meshMaxApplySeconds)
	}
	return missed
}

// printMeshFits prints linear fits of the measured values by the number of sidecars.
func printMeshFits(points map[string]*meshPoints) {
	for _, f := range []struct {
		name, unit string
		scale      float64
	}{
		{"leader: CPU", "% of a core", 100}, {"other member: CPU", "% of a core", 100},
		{"leader: memory", "KiB", 1.0 / 1024}, {"other member: memory", "KiB", 1.0 / 1024},
		{"leader: bytes per second", "B", 1}, {"other member: bytes per second", "B", 1},
		{"leader: CPU for token requests", "% of a core", 100},
		{"other member: CPU for token requests", "% of a core", 100},
		{"sidecar: memory", "KiB", 1.0 / 1024}, {"change: CPU at the leader", "ms", 1000},
		{"change: in force at the last", "ms", 1000},
	} {
		if p := points[f.name]; p != nil {
			p.print(f.name, f.unit, f.scale)
		}
	}
}

// measureMeshLarge measures meshes of the size that operators expect. It prints which of them can't be run on this
// machine.
func measureMeshLarge(short bool) (string, []string, error) {
	binary, end, err := tempMeshd()
	if err != nil {
		return "", nil, err
	}
	defer end()
	shapes := []meshShape{
		{members: meshCoreMachines, sidecars: meshSize, calledServices: 8, startOver: 30 * time.Second},
		{members: meshCoreMachines, sidecars: meshSize, startOver: 60 * time.Second},
		{members: 3, sidecars: meshSize, calledServices: 8, startOver: 30 * time.Second},
	}
	if short {
		shapes = []meshShape{{members: 3, sidecars: 800, calledServices: 8, startOver: 5 * time.Second}}
	}
	var missed []string
	completed := 0
	for _, shape := range shapes {
		s, err := measureMeshSize(binary, shape, 2, 5*time.Second)
		if err != nil {
			fmt.Printf("could not be run on this machine: %v: %v\n", shape, err)
			continue
		}
		completed++
		if s.applied > meshMaxApplySeconds {
			missed = append(missed, fmt.Sprintf("%v: a change is in force everywhere after %.2f s, want at most %.0f",
				shape, s.applied, meshMaxApplySeconds))
		}
	}
	return fmt.Sprintf("shapes=%d borne=%d", len(shapes), completed), missed, nil
}
