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

// meshRun is one mesh of hollow sidecars, and what it used.
type meshRun struct {
	core     *meshCore
	fleet    *process
	control  string // of the fleet
	sidecars int
	leader   int
}

// meshUse is what was used over a while, a second; of members by their role when the core had
// calmed down, the mean of those that did not lead.
type meshUse struct {
	sidecarCPU, leaderCPU, followerCPU          float64 // of a core; of all sidecars together
	sidecarIn, sidecarOut                       float64 // bytes, of all sidecars together
	leaderBytes, followerBytes                  float64 // both ways, disk too
	sidecarMemory, leaderMemory, followerMemory float64 // bytes held at the end
	renewals, tokenRequests, failed             float64
	seconds                                     float64
}

// less takes what is used anyway off.
func (u meshUse) less(idle meshUse) meshUse {
	u.sidecarCPU -= idle.sidecarCPU
	u.leaderCPU -= idle.leaderCPU
	u.followerCPU -= idle.followerCPU
	u.sidecarIn -= idle.sidecarIn
	u.sidecarOut -= idle.sidecarOut
	u.leaderBytes -= idle.leaderBytes
	u.followerBytes -= idle.followerBytes
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
		if time.Since(begun) > shape.over+3*meshStartTimeout {
			return nil, fmt.Errorf("after %v %d of %d sidecars are connected, %d have the "+
				"configuration, one knows %d upstreams", time.Since(begun), report.Connected, sidecars,
				report.Versions[core.version].Count, report.MinUpstreams)
		}
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Printf("%v, %d routes, started over %v: all up after %.1f s\n", shape, routes, shape.over,
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

// idleUse is what is used while nothing is changed, window by window.
func (r *meshRun) idleUse(windows int, each time.Duration) (all []meshUse, err error) {
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
	answered, afterAnswer, arrived, applied samples
	size                                    float64
	used                                    meshUse // a second, above what is used anyway
}

// changes makes changes one after the other, each once the one before is in force everywhere.
func (r *meshRun) changes(n int, idle meshUse,
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
				if time.Since(sent) > 3*meshStartTimeout {
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
	m.used = used.less(idle)
	return m, err
}

// requestTokens has all sidecars ask for tokens once in so long and tells what that uses.
func (r *meshRun) requestTokens(every, each time.Duration) (u meshUse, p50, p99 float64, err error) {
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

// get asks for a page and passes over what it says.
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
		return fmt.Errorf("%s answered %s", url, answer.Status)
	}
	return nil
}
