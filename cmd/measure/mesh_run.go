package main

import (
	"caperarch/internal/lab/testbed/hollow"
	"caperarch/internal/mesh/rpc"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// meshRun is a running mesh: core members, and a child process with sidecars that have no data path (package hollow).
type meshRun struct {
	core     *meshCore
	fleet    *process
	control  string // address of the fleet's HTTP server
	sidecars int
	leader   int
}

// meshUse is the use of resources per second over a period. Leader and follower are the roles after meshStabilizeTime.
// Values of followers are the mean of all members but the leader.
type meshUse struct {
	sidecarCPU, leaderCPU, followerCPU          float64 // cores; all sidecars together
	sidecarIn, sidecarOut                       float64 // bytes, all sidecars together
	leaderBytes, followerBytes                  float64 // bytes read and written, from and to network and disk
	sidecarMemory, leaderMemory, followerMemory float64 // bytes of resident memory at the end of the period
	renewals, tokenRequests, failed             float64
	seconds                                     float64
}

// minus returns the use in excess of the use while idle.
func (u meshUse) minus(idle meshUse) meshUse {
	u.sidecarCPU -= idle.sidecarCPU
	u.leaderCPU -= idle.leaderCPU
	u.followerCPU -= idle.followerCPU
	u.sidecarIn -= idle.sidecarIn
	u.sidecarOut -= idle.sidecarOut
	u.leaderBytes -= idle.leaderBytes
	u.followerBytes -= idle.followerBytes
	return u
}

// meshShape is the size of a mesh to measure.
type meshShape struct {
	members, sidecars int
	calledServices    int           // number of services whose instances each sidecar receives; 0: all
	startOver         time.Duration // period over which the sidecars start; 0: all at once
}

func (m meshShape) String() string {
	s := fmt.Sprintf("%d members, %d sidecars", m.members, m.sidecars)
	if m.calledServices > 0 {
		s += fmt.Sprintf(" that receive %d services each", m.calledServices)
	}
	return s
}

// startMeshRun starts core members, applies a configuration and starts sidecars. It returns once all sidecars have the
// configuration and meshStabilizeTime has passed.
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
		Tenants: meshTenantNames()[:3], ShareConfig: sidecars > meshShareConfigAbove, StartOver: shape.startOver,
		CalledServices: shape.calledServices}
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
			(cfg.ShareConfig || shape.calledServices > 0 || report.MinUpstreams == sidecars) {
			break
		}
		if time.Since(begun) > shape.startOver+3*meshStartTimeout {
			return nil, fmt.Errorf("after %v only %d of %d sidecars are connected, %d have the "+
				"configuration; the fewest upstreams that a sidecar knows are %d",
				time.Since(begun), report.Connected, sidecars,
				report.Versions[core.version].Count, report.MinUpstreams)
		}
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Printf("%v, %d routes, started over %v: all up after %.1f s\n", shape, routes, shape.startOver,
		time.Since(begun).Seconds())
	time.Sleep(meshStabilizeTime)
	r.leader, err = core.reportedLeader()
	return r, err
}

func (r *meshRun) report() (*hollow.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return rpc.Get[hollow.Report](ctx, r.core.client, "http://"+r.control+"/report")
}

// measureUse returns the use of resources per second while f runs.
func (r *meshRun) measureUse(f func() error) (u meshUse, err error) {
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
			if k.in, k.out, err = ioBytes(p.cmd.Process.Pid); err != nil {
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
	u.renewals, u.tokenRequests, u.failed = float64(is.Renewals-was.Renewals)/u.seconds,
		float64(is.Requests-was.Requests)/u.seconds, float64(is.FailedRequests-was.FailedRequests)/u.seconds
	others := float64(len(r.core.members) - 1)
	for i := range all {
		cpu := (after[i].cpu - before[i].cpu).Seconds() / u.seconds
		in, out := (after[i].in-before[i].in)/u.seconds, (after[i].out-before[i].out)/u.seconds
		switch i {
		case 0:
			u.sidecarCPU, u.sidecarIn, u.sidecarOut, u.sidecarMemory = cpu, in, out, float64(after[i].rss)
		case 1 + r.leader:
			u.leaderCPU, u.leaderBytes, u.leaderMemory = cpu, in+out, float64(after[i].rss)
		default:
			u.followerCPU += cpu / others
			u.followerBytes += (in + out) / others
			u.followerMemory += float64(after[i].rss) / others
		}
	}
	return u, nil
}

// idleUse returns the use of resources in each of several windows without configuration changes.
func (r *meshRun) idleUse(windows int, windowLength time.Duration) (all []meshUse, err error) {
	for range windows {
		u, err := r.measureUse(func() error { time.Sleep(windowLength); return nil })
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

// meshChange holds the results of configuration changes: times in ms, and the size of the body in bytes.
type meshChange struct {
	answered, afterAnswer, arrived, applied samples
	size                                    float64
	used                                    meshUse // per second, in excess of the use while idle
}

// changes makes n changes. Each change starts once the previous change is in force on all sidecars.
func (r *meshRun) changes(n int, idle meshUse,
	change func(i int) (sent, answered time.Time, size int, err error)) (m meshChange, err error) {
	used, err := r.measureUse(func() error {
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
				if time.Since(sent) > 3*meshStartTimeout {
					return fmt.Errorf("version %d is in force on only %d of %d sidecars after %v",
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
	m.used = used.minus(idle)
	return m, err
}

// requestTokens makes each sidecar request tokens at an interval. It returns the use of resources meanwhile, and the
// median and the 99th percentile of the requests' durations in ms.
func (r *meshRun) requestTokens(every, windowLength time.Duration) (u meshUse, p50, p99 float64, err error) {
	tell := func(every time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return get(ctx, r.core.client, "http://"+r.control+"/ask?every="+every.String())
	}
	if err := tell(every); err != nil {
		return u, 0, 0, err
	}
	time.Sleep(time.Second)
	if u, err = r.measureUse(func() error { time.Sleep(windowLength); return nil }); err != nil {
		return u, 0, 0, err
	}
	report, err := r.report()
	if err != nil {
		return u, 0, 0, err
	}
	if u.failed > 0 {
		fmt.Printf("last failure of a token request: %.300s\n", report.RequestError)
	}
	return u, report.RequestP50, report.RequestP99, tell(0)
}

// get sends a GET request and discards the body of the response.
func get(ctx context.Context, client *http.Client, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s responded with status %s, want 200 OK", url, answer.Status)
	}
	return nil
}
