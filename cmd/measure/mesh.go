package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"caperarch/internal/lab/testbed/hollow"
	"caperarch/internal/mesh/rpc"
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
	// meshShare is the number of sidecars from which on they share one charter in their process, and hold no catalogue.
	meshShare = 1000
	// meshSettle is how long after all have come the core still sends whole catalogues, and more.
	meshSettle = 4 * time.Second
	// meshIdle is how often a sidecar asks for tokens at least, where a tenant has a limit.
	meshIdle = 250 * time.Millisecond
	// meshChanges are made one after the other: of 8 one brings a snapshot.
	meshChanges = 8
)

// meshRun is one mesh of hollow sidecars, and what it used.
type meshRun struct {
	core      *meshCore
	fleet     *process
	control   string // of the fleet
	sidecars  int
	sequencer int
}

// meshUse is what was used over a while, a second; of members by their role when the core had
// calmed down, the mean of those that were no sequencer.
type meshUse struct {
	sidecarCPU, sequencerCPU, followerCPU       float64 // of a core; of all sidecars together
	sidecarIn, sidecarOut                       float64 // bytes, of all sidecars together
	sequencerBytes, followerBytes               float64 // both ways, disk too
	sidecarMemory, sequencerMem, followerMemory float64 // bytes held at the end
	renewals, asks, failed                      float64
	seconds                                     float64
}

// less takes what is used anyway off.
func (u meshUse) less(quiet meshUse) meshUse {
	u.sidecarCPU -= quiet.sidecarCPU
	u.sequencerCPU -= quiet.sequencerCPU
	u.followerCPU -= quiet.followerCPU
	u.sidecarIn -= quiet.sidecarIn
	u.sidecarOut -= quiet.sidecarOut
	u.sequencerBytes -= quiet.sequencerBytes
	u.followerBytes -= quiet.followerBytes
	return u
}

// meshShape is a mesh to be measured.
type meshShape struct {
	members, sidecars int
	called            int           // services that each sidecar hears of; 0: all
	over              time.Duration // in which the sidecars come; 0: all at once
}

func (m meshShape) String() string {
	s := fmt.Sprintf("%d members, %d sidecars", m.members, m.sidecars)
	if m.called > 0 {
		s += fmt.Sprintf(" that each hear of %d services", m.called)
	}
	return s
}

// startMeshRun starts core members, a configuration and sidecars, and returns once all of them have
// it and the core has calmed down.
func startMeshRun(c cleanups, binary string, shape meshShape, routes int) (*meshRun, error) {
	sidecars := shape.sidecars
	core, err := startMeshCore(c, binary, shape.members)
	if err != nil {
		return nil, err
	}
	if _, _, _, err := core.replace(meshResources(routes)); err != nil {
		return nil, err
	}
	cfg := hollow.Config{Count: sidecars, Services: meshServices, Seeds: core.seeds(), Zones: meshZones,
		Tenants: meshTenantNames()[:3], ShareConfig: sidecars > meshShare, StartOver: shape.over,
		CalledServices: shape.called}
	raw, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	r := &meshRun{core: core, sidecars: sidecars}
	if r.fleet, err = startChild([]string{"GOMAXPROCS=2"}, "hollow", string(raw)); err != nil {
		return nil, err
	}
	c.Cleanup(r.fleet.kill)
	line, err := r.fleet.line("hollow ")
	if err != nil {
		return nil, err
	}
	r.control = strings.TrimPrefix(line, "hollow ")
	begun := time.Now()
	for {
		report, err := r.report()
		if err != nil {
			return nil, err
		}
		if report.Connected == sidecars && report.Versions[core.version].Count == sidecars &&
			(cfg.ShareConfig || shape.called > 0 || report.MinUpstreams == sidecars) {
			break
		}
		if time.Since(begun) > shape.over+3*meshUp {
			return nil, fmt.Errorf("after %v %d of %d sidecars are connected, %d have the "+
				"configuration, one knows %d upstreams", time.Since(begun), report.Connected, sidecars,
				report.Versions[core.version].Count, report.MinUpstreams)
		}
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Printf("%v, %d routes, started over %v: all up after %.1f s\n", shape, routes, shape.over,
		time.Since(begun).Seconds())
	time.Sleep(meshSettle)
	r.sequencer, err = core.sequencer()
	return r, err
}

func (r *meshRun) report() (*hollow.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return rpc.Get[hollow.Report](ctx, r.core.client, "http://"+r.control+"/report")
}

// while tells what is used while f runs, a second of it.
func (r *meshRun) while(f func() error) (u meshUse, err error) {
	type count struct {
		cpu     time.Duration
		rss     int64
		in, out float64
	}
	all := append([]*process{r.fleet}, r.core.members...)
	read := func() (counts []count, report *hollow.Report, err error) {
		if report, err = r.report(); err != nil {
			return nil, nil, err
		}
		for _, p := range all {
			var k count
			if k.cpu, k.rss, err = usage(p.cmd.Process.Pid); err != nil {
				return nil, nil, err
			}
			if k.in, k.out, err = bytesOf(p.cmd.Process.Pid); err != nil {
				return nil, nil, err
			}
			counts = append(counts, k)
		}
		return counts, report, nil
	}
	before, was, err := read()
	if err != nil {
		return u, err
	}
	from := time.Now()
	if err := f(); err != nil {
		return u, err
	}
	u.seconds = time.Since(from).Seconds()
	after, is, err := read()
	if err != nil {
		return u, err
	}
	u.renewals, u.asks, u.failed = float64(is.Renewals-was.Renewals)/u.seconds,
		float64(is.Requests-was.Requests)/u.seconds, float64(is.FailedRequests-was.FailedRequests)/u.seconds
	others := float64(len(r.core.members) - 1)
	for i := range all {
		cpu := (after[i].cpu - before[i].cpu).Seconds() / u.seconds
		in, out := (after[i].in-before[i].in)/u.seconds, (after[i].out-before[i].out)/u.seconds
		switch i {
		case 0:
			u.sidecarCPU, u.sidecarIn, u.sidecarOut, u.sidecarMemory = cpu, in, out, float64(after[i].rss)
		case 1 + r.sequencer:
			u.sequencerCPU, u.sequencerBytes, u.sequencerMem = cpu, in+out, float64(after[i].rss)
		default:
			u.followerCPU += cpu / others
			u.followerBytes += (in + out) / others
			u.followerMemory += float64(after[i].rss) / others
		}
	}
	return u, nil
}

// quiet is what is used while nothing is changed, window by window.
func (r *meshRun) quiet(windows int, each time.Duration) (all []meshUse, err error) {
	for range windows {
		u, err := r.while(func() error { time.Sleep(each); return nil })
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

// meshChange is what changes took: times in ms, bodies in bytes.
type meshChange struct {
	answered, afterAnswer, arrived, applied spread
	size                                    float64
	used                                    meshUse // a second, above what is used anyway
}

// changes makes changes one after the other, each once the one before is in force everywhere.
func (r *meshRun) changes(n int, quiet meshUse,
	change func(i int) (sent, answered time.Time, size int, err error)) (m meshChange, err error) {
	used, err := r.while(func() error {
		for i := range n {
			sent, answered, size, err := change(i)
			if err != nil {
				return err
			}
			m.size = float64(size)
			var a hollow.Arrival
			for {
				report, err := r.report()
				if err != nil {
					return err
				}
				if a = report.Versions[r.core.version]; a.Count >= r.sidecars {
					break
				}
				if time.Since(sent) > 3*meshUp {
					return fmt.Errorf("version %d is in force at %d of %d sidecars after %v",
						r.core.version, a.Count, r.sidecars, time.Since(sent))
				}
				time.Sleep(20 * time.Millisecond)
			}
			ms := func(nano int64, from time.Time) float64 { return float64(nano-from.UnixNano()) / 1e6 }
			m.answered.add(answered.Sub(sent).Seconds() * 1000)
			m.afterAnswer.add(ms(a.LastApplied, answered))
			m.arrived.add(ms(a.LastArrived, sent))
			m.applied.add(ms(a.LastApplied, sent))
		}
		return nil
	})
	m.used = used.less(quiet)
	return m, err
}

// asking has all sidecars ask for tokens once in so long and tells what that uses.
func (r *meshRun) asking(every, each time.Duration) (u meshUse, p50, p99 float64, err error) {
	tell := func(every time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return get(ctx, r.core.client, "http://"+r.control+"/ask?every="+every.String())
	}
	if err := tell(every); err != nil {
		return u, 0, 0, err
	}
	time.Sleep(time.Second)
	if u, err = r.while(func() error { time.Sleep(each); return nil }); err != nil {
		return u, 0, 0, err
	}
	report, err := r.report()
	if err != nil {
		return u, 0, 0, err
	}
	if u.failed > 0 {
		fmt.Printf("the ask for tokens that failed last: %.300s\n", report.RequestError)
	}
	return u, report.RequestP50, report.RequestP99, tell(0)
}

// meshPoints are figures by size, to be fitted.
type meshPoints struct{ x, y []float64 }

func (p *meshPoints) add(x, y float64) { p.x, p.y = append(p.x, x), append(p.y, y) }

// fit is the line of least squares, with the part of the variance that it explains.
func (p *meshPoints) fit() (at0, slope, explained float64) {
	n := float64(len(p.x))
	var mx, my, xx, xy, yy float64
	for i := range p.x {
		mx, my = mx+p.x[i]/n, my+p.y[i]/n
	}
	for i := range p.x {
		dx, dy := p.x[i]-mx, p.y[i]-my
		xx, xy, yy = xx+dx*dx, xy+dx*dy, yy+dy*dy
	}
	if xx == 0 || yy == 0 {
		return my, 0, 0
	}
	return my - xy/xx*mx, xy / xx, xy * xy / (xx * yy)
}

func (p *meshPoints) print(what, unit string, scale float64) {
	if len(p.x) < 2 {
		return
	}
	at0, slope, explained := p.fit()
	fmt.Printf("slope: %s: %.4g %s + %.4g %s for each sidecar; explains %.3f of the variance over %d sizes\n", what,
		at0*scale, unit, slope*scale, unit, explained, len(p.x))
}

// measureMesh measures what the mesh's control costs by its size, what a change costs by its
// configuration's, and what the data path adds to a call.
func measureMesh(short bool) (string, []string, error) {
	sizes, windows, each, routes := []int{50, 100, 200, 400, 800}, 3, 5*time.Second, []int{25, 350, 2000}
	if short {
		sizes, windows, each, routes = []int{50, 100}, 1, 2*time.Second, []int{25}
	}
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return "", nil, err
	}
	defer os.RemoveAll(dir)
	binary, err := buildMeshd(dir)
	if err != nil {
		return "", nil, err
	}
	var missed []string
	miss := func(format string, args ...any) { missed = append(missed, fmt.Sprintf(format, args...)) }
	added, err := meshPath(binary, short)
	if err != nil {
		return "", nil, err
	}
	if added.median() > meshAdded {
		miss("%.3f ms are added to the 99th percentile of calls, %.2f at most", added.median(), meshAdded)
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
		for name, y := range s.fitted(n) {
			if points[name] == nil {
				points[name] = new(meshPoints)
			}
			points[name].add(float64(n), y)
		}
		if y := s.bytes + s.askBytes; y > meshControlBytes {
			miss("%d sidecars: each moves %.0f bytes a second for control with the asks for tokens, %.0f at most", n,
				y, meshControlBytes)
		}
		if y := s.cpu + s.askCPU; y > meshControlCPU {
			miss("%d sidecars: each uses %.4f of a core for control with the asks for tokens, %.3f at most",
				n, y, meshControlCPU)
		}
		if s.memory > meshControlMemory {
			miss("%d sidecars: each holds %.0f bytes, %d at most", n, s.memory, meshControlMemory)
		}
		if s.applied > meshAppliedIn {
			miss("%d sidecars: a change is in force everywhere after %.2f s, %.0f at most", n, s.applied, meshAppliedIn)
		}
	}
	for _, f := range []struct {
		name, unit string
		scale      float64
	}{
		{"sequencer: CPU", "% of a core", 100}, {"other member: CPU", "% of a core", 100},
		{"sequencer: memory", "KiB", 1.0 / 1024}, {"other member: memory", "KiB", 1.0 / 1024},
		{"sequencer: bytes a second", "B", 1}, {"other member: bytes a second", "B", 1},
		{"sequencer: CPU for asks for tokens", "% of a core", 100},
		{"other member: CPU for asks for tokens", "% of a core", 100},
		{"sidecar: memory", "KiB", 1.0 / 1024}, {"change: CPU at the sequencer", "ms", 1000},
		{"change: in force at the last", "ms", 1000},
	} {
		if p := points[f.name]; p != nil {
			p.print(f.name, f.unit, f.scale)
		}
	}
	if !short {
		for _, members := range []int{5, meshCoreMachines} {
			if _, err := meshBySize(binary, meshShape{members: members, sidecars: 400}, windows, each); err != nil {
				return "", nil, fmt.Errorf("%d members: %w", members, err)
			}
		}
		large, more, err := measureMeshLarge(false)
		if err != nil {
			return "", nil, err
		}
		fmt.Println("meshlarge", large)
		missed = append(missed, more...)
	}
	return fmt.Sprintf("sidecars=%d bytes_s=%.0f ask_bytes_s=%.0f cpu_core=%.5f ask_cpu_core=%.5f "+
		"memory_mib=%.2f applied_s=%.3f added_p99_ms=%.3f",
		reached, last.bytes, last.askBytes, last.cpu, last.askCPU, last.memory/(1<<20), last.applied,
		added.median()), missed, nil
}

// meshSized is what a mesh of one size used: of one sidecar, and of members by role.
type meshSized struct {
	bytes, askBytes, cpu, askCPU, memory, applied float64
	quiet, asked                                  meshUse
	change                                        float64 // seconds of the sequencer's processor for one change
	shared                                        bool
}

func (s meshSized) fitted(n int) map[string]float64 {
	all := map[string]float64{
		"sequencer: CPU": s.quiet.sequencerCPU, "other member: CPU": s.quiet.followerCPU,
		"sequencer: memory": s.quiet.sequencerMem, "other member: memory": s.quiet.followerMemory,
		"sequencer: bytes a second": s.quiet.sequencerBytes, "other member: bytes a second": s.quiet.followerBytes,
		"change: CPU at the sequencer": s.change, "change: in force at the last": s.applied,
	}
	// else they were turned away: the cost is not that of a mesh that serves them
	if s.asked.failed < 0.01*s.asked.asks {
		all["sequencer: CPU for asks for tokens"] = s.asked.sequencerCPU
		all["other member: CPU for asks for tokens"] = s.asked.followerCPU
	}
	if !s.shared {
		all["sidecar: memory"] = s.memory
	}
	return all
}

// meshBySize measures a mesh of one size.
func meshBySize(binary string, shape meshShape, windows int, each time.Duration) (s meshSized, err error) {
	c := newCleanups()
	defer c.end()
	r, err := startMeshRun(c, binary, shape, meshRoutes)
	if err != nil {
		return s, err
	}
	n := float64(shape.sidecars)
	all, err := r.quiet(windows, each)
	if err != nil {
		return s, err
	}
	var cpu, in, out, sequencer, follower spread
	for _, u := range all {
		cpu.add(u.sidecarCPU / n * 100)
		in.add(u.sidecarIn / n)
		out.add(u.sidecarOut / n)
		sequencer.add(u.sequencerCPU * 100)
		follower.add(u.followerCPU * 100)
	}
	s.quiet, s.shared = all[len(all)-1], shape.sidecars > meshShare
	s.bytes, s.cpu, s.memory = in.median()+out.median(), cpu.median()/100, s.quiet.sidecarMemory/n
	s.quiet.sequencerCPU, s.quiet.followerCPU = sequencer.median()/100, follower.median()/100
	kind := shape.String()
	fmt.Printf("%s, quiet: a sidecar: in %v B/s, out %v B/s, %v %% of a core, %.2f renewals/s, %.2f MiB%s\n", kind,
		in, out, cpu, s.quiet.renewals/n, s.memory/(1<<20),
		map[bool]string{true: " (charter shared, no catalogue)"}[s.shared])
	fmt.Printf("%s, quiet: sequencer %v %% of a core, %.1f MiB, %.0f B/s; another member %v %%, %.1f MiB, %.0f B/s\n",
		kind, sequencer, s.quiet.sequencerMem/(1<<20), s.quiet.sequencerBytes, follower,
		s.quiet.followerMemory/(1<<20), s.quiet.followerBytes)
	m, err := r.changes(meshChanges, s.quiet, func(i int) (time.Time, time.Time, int, error) {
		return r.core.update(i, 3)
	})
	if err != nil {
		return s, err
	}
	s.applied, s.change = m.applied.median()/1000, m.used.sequencerCPU*m.used.seconds/meshChanges
	m.print(kind+", change of one route", n, meshChanges)
	asked, p50, p99, err := r.asking(meshIdle, each)
	if err != nil {
		return s, err
	}
	s.asked = asked.less(s.quiet)
	s.askBytes, s.askCPU = (s.asked.sidecarIn+s.asked.sidecarOut)/n, s.asked.sidecarCPU/n
	fmt.Printf("%s, an ask for tokens every %v from each: %.0f/s answered, %.0f/s failed, p50 %.2f p99 "+
		"%.2f ms; a sidecar more: %.0f B/s, %.3f %% of a core; sequencer more: %.1f %%, another member "+
		"more: %.1f %%; members hold %.1f and %.1f MiB\n",
		kind, meshIdle, s.asked.asks, s.asked.failed, p50, p99, s.askBytes, s.askCPU*100,
		s.asked.sequencerCPU*100, s.asked.followerCPU*100, s.asked.sequencerMem/(1<<20), s.asked.followerMemory/(1<<20))
	return s, nil
}

func (m meshChange) print(kind string, sidecars float64, changes int) {
	of := func(v float64) float64 { return v * m.used.seconds / float64(changes) }
	fmt.Printf("%s: body %.0f B; answered after %v ms; come to the last sidecar after %v, in force "+
		"there after %v ms, which is %v ms behind the answer; CPU of one: sequencer %.1f, another "+
		"member %.1f, a sidecar %.3f ms; a sidecar's bytes in %.0f, out %.0f\n",
		kind, m.size, m.answered, m.arrived, m.applied, m.afterAnswer, of(m.used.sequencerCPU)*1000,
		of(m.used.followerCPU)*1000, of(m.used.sidecarCPU)*1000/sidecars, of(m.used.sidecarIn)/sidecars,
		of(m.used.sidecarOut)/sidecars)
}

// meshByRoutes measures changes of a configuration of so many routes, before a hundred sidecars.
func meshByRoutes(binary string, routes int) error {
	const sidecars = 100
	c := newCleanups()
	defer c.end()
	r, err := startMeshRun(c, binary, meshShape{members: 3, sidecars: sidecars}, routes)
	if err != nil {
		return err
	}
	quiet, err := r.quiet(1, 3*time.Second)
	if err != nil {
		return err
	}
	m, err := r.changes(meshChanges, quiet[0], func(i int) (time.Time, time.Time, int, error) {
		return r.core.update(i, 3)
	})
	if err != nil {
		return err
	}
	m.print(fmt.Sprintf("%d routes, change of one", routes), sidecars, meshChanges)
	m, err = r.changes(2, quiet[0], func(i int) (time.Time, time.Time, int, error) {
		again := meshResources(routes)
		again[len(again)-1] = meshRoute(routes-1, 4+i)
		return r.core.replace(again)
	})
	if err != nil {
		return err
	}
	m.print(fmt.Sprintf("%d routes, the whole put anew", routes), sidecars, 2)
	after, err := r.quiet(1, time.Second)
	if err != nil {
		return err
	}
	fmt.Printf("%d routes: a sidecar holds %.2f MiB, the sequencer %.1f, another member %.1f\n", routes,
		after[0].sidecarMemory/sidecars/(1<<20), after[0].sequencerMem/(1<<20), after[0].followerMemory/(1<<20))
	return nil
}

// measureMeshLarge measures meshes of the size that the operators expect, as far as this machine
// bears them: what it does not bear is told.
func measureMeshLarge(short bool) (string, []string, error) {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return "", nil, err
	}
	defer os.RemoveAll(dir)
	binary, err := buildMeshd(dir)
	if err != nil {
		return "", nil, err
	}
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
