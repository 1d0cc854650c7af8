package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	program "caperarch/internal/fleet"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/lab/testbed"
)

// Requests show which marked policy a sidecar applies: with one policy alone, no request goes to s-0; with the other
// alone, none goes to s-1; with both, or when cut off, none goes to either.
const (
	CutOffPolicy = "out = [\"s-0\", \"s-1\"]\n[limits]\nopen = 40\n"
	marks        = 2
)

// MarkedPolicy returns the text of the n-th policy. The excluded upstreams alternate.
func MarkedPolicy(n int) string {
	return fmt.Sprintf("# %d\nout = [\"s-%d\"]\n[limits]\nopen = %d\n", n, n%marks, 50+n%40)
}

// PolicyView is a process's report of the fleet's policy.
type PolicyView struct {
	Committed, Active int
	Mode              string // one, both or cut off
	InProgress        bool
	Leader            int
	Text              string
}

var (
	committedLine = regexp.MustCompile(`(?m)^version (\d+) holds`)
	activeLine    = regexp.MustCompile(
		`(?m)^this sidecar (?:goes by version (\d+)|goes by the stricter of versions \d+ and (\d+)|is cut off)`)
	leaderLine = regexp.MustCompile(`(?m)^log: .* leader (-?\d+)`)
)

// Policy asks a process for its view of the policy. It returns false if the process doesn't answer.
func (s *Sidecar) Policy() (v PolicyView, ok bool) {
	if !s.Running() {
		return v, false
	}
	text, err := testbed.Operate(s.control(), "policy-show")
	active, leader := activeLine.FindStringSubmatch(text), leaderLine.FindStringSubmatch(text)
	if err != nil || active == nil || leader == nil {
		return v, false
	}
	v = PolicyView{Mode: "cut off", InProgress: !strings.Contains(text, "under way: nothing"), Text: text,
		Committed: -1}
	if committed := committedLine.FindStringSubmatch(text); committed != nil {
		v.Committed, _ = strconv.Atoi(committed[1])
	}
	v.Leader, _ = strconv.Atoi(leader[1])
	switch {
	case active[1] != "":
		v.Mode = "one"
		v.Active, _ = strconv.Atoi(active[1])
	case active[2] != "":
		v.Mode = "both"
		v.Active, _ = strconv.Atoi(active[2])
	}
	return v, true
}

// Bootstrap begins a new log through a process.
func (s *Sidecar) Bootstrap() error { return s.operate("policy-found") }

// Abort cancels the policy change in progress.
func (s *Sidecar) Abort() error { return s.operate("policy-abort") }

func (s *Sidecar) operate(call string) error {
	_, err := s.callControl(call)
	return err
}

// callControl sends a command to the control address. A response other than 200 is an error.
func (s *Sidecar) callControl(call string) (response string, err error) {
	response, err = testbed.Operate(s.control(), call)
	if err == nil && !strings.HasPrefix(response, "200 ") {
		err = fmt.Errorf("%s", strings.TrimSpace(response))
	}
	return response, err
}

// upload sends a text in chunks.
func (s *Sidecar) upload(raw []byte) error {
	for i := range program.UploadChunks(raw) {
		if err := s.operate("policy-text " + strings.Join(program.UploadChunkArgs(raw, i), " ")); err != nil {
			return err
		}
	}
	return nil
}

// Propose proposes a policy through a process, based on the version that is committed there. A rejection is an error.
func (s *Sidecar) Propose(text string) error {
	v, ok := s.Policy()
	if !ok {
		return fmt.Errorf("sidecar %d does not answer", s.Number)
	}
	raw := []byte(text)
	if err := s.upload(raw); err != nil {
		return err
	}
	return s.operate(fmt.Sprintf("policy-propose %s %d", policyrollout.Hash(raw), v.Committed))
}

// ActivePolicy returns the version that all running processes apply and have committed, with no change in progress. If
// there is none, why says what differs.
func (f *Fleet) ActivePolicy() (version int, why string) {
	version = -1
	for _, s := range f.Sidecars {
		v, ok := s.Policy()
		switch {
		case !s.Running():
		case !ok:
			return 0, fmt.Sprintf("sidecar %d does not answer", s.Number)
		case v.Mode != "one" || v.InProgress || v.Active != v.Committed:
			return 0, fmt.Sprintf("sidecar %d applies mode %s, version %d: %s", s.Number, v.Mode, v.Active, v.Text)
		case version >= 0 && v.Committed != version:
			return 0, fmt.Sprintf("sidecar %d applies version %d, another version %d", s.Number, v.Committed, version)
		default:
			version = v.Committed
		}
	}
	return version, ""
}

// AwaitPolicy waits until all processes apply one version: the wanted version, or any if want is -1. It returns the
// version.
func (f *Fleet) AwaitPolicy(want int, within time.Duration) (version int, took time.Duration, why string) {
	for started := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		version, why = f.ActivePolicy()
		if why == "" && want >= 0 && version != want {
			why = fmt.Sprintf("all apply version %d, want %d", version, want)
		}
		if took = time.Since(started); why == "" || took > within {
			return version, took, why
		}
	}
}

// PolicySwitches checks by the arrivals at the upstreams whether two marked policies were applied at once: each policy
// change moves the requests from one marked upstream to the other exactly once. It returns how often they moved between
// two moments.
func (f *Fleet) PolicySwitches(since, until time.Time) (turns int) {
	last := ""
	for _, a := range f.ArrivalLog.All() {
		if a.At.Before(since) || a.At.After(until) || a.Node != f.Nodes[0].ID && a.Node != f.Nodes[1].ID ||
			a.Node == last {
			continue
		}
		if last != "" {
			turns++
		}
		last = a.Node
	}
	return turns
}

// CountByStatus returns the number of responses by status, except 200.
func (f *Fleet) CountByStatus() map[int]int {
	all := make(map[int]int)
	for _, x := range f.Answers.all() {
		all[x.status]++
	}
	delete(all, http.StatusOK)
	return all
}

// ActiveAt returns when each process first logged after a moment that it applies one version.
func (f *Fleet) ActiveAt(version int, since time.Time) []time.Time {
	return f.loggedAt(regexp.MustCompile(fmt.Sprintf(`(?m)^time=(\S+) .*policy: goes by" mode=one version=%d `,
		version)), since)
}

// compareHistories reports versions whose outcome differs between two processes.
func (f *Fleet) compareHistories() (violations []string) {
	first := make(map[string]string)
	for _, s := range f.Sidecars {
		text, err := testbed.Operate(s.control(), "policy-history")
		if err != nil || !s.Running() {
			continue
		}
		for line := range strings.Lines(text) {
			version, outcome, ok := strings.Cut(line, " of ")
			if !ok {
				continue
			}
			if known, had := first[version]; had && known != outcome {
				violations = append(violations,
					fmt.Sprintf("%s: sidecar %d has the outcome %q, another has %q", version, s.Number, outcome, known))
			}
			first[version] = outcome
		}
	}
	return violations
}

// PolicyTally is the result of a run with policy changes.
type PolicyTally struct {
	Tally
	Proposed, Refused, Turns int
	Lost                     bool // the log was lost, and a new one was begun
	Settled                  time.Duration
}

// PlayPolicies runs a fault plan under load while operators propose policies and cancel some of them. It returns the
// violations that follow from the arrivals at the upstreams, from the logs of the processes, and from the records of
// clients and upstreams.
func (f *Fleet) PlayPolicies(p *Plan, perSecond int) (tally PolicyTally, violations []string) {
	if err := f.Sidecars[0].Bootstrap(); err != nil {
		return tally, []string{err.Error()}
	}
	if _, _, why := f.AwaitPolicy(0, testbed.MaxWait); why != "" {
		return tally, []string{"policy version 0 not applied: " + why}
	}
	if err := f.Sidecars[1].Propose(MarkedPolicy(1)); err != nil {
		return tally, []string{err.Error()}
	}
	if _, _, why := f.AwaitPolicy(1, testbed.MaxWait); why != "" {
		return tally, []string{"policy version 1 not applied: " + why}
	}
	since, quit, done := time.Now(), make(chan struct{}), make(chan struct{})
	rng := rand.New(rand.NewPCG(p.Seed, 6))
	go func() {
		defer close(done)
		for n := 2; ; n++ {
			select {
			case <-quit:
				return
			case <-time.After(time.Duration(rng.Int64N(int64(3 * time.Second)))):
			}
			by := f.Sidecars[rng.IntN(len(f.Sidecars))]
			if err := by.Propose(MarkedPolicy(n)); err == nil {
				tally.Proposed++
			} else if strings.HasPrefix(err.Error(), "400 ") {
				tally.Refused++
				continue
			} else {
				tally.Proposed++ // the process may have accepted the proposal before it crashed
			}
			if rng.IntN(6) == 0 {
				time.Sleep(time.Duration(rng.Int64N(int64(300 * time.Millisecond))))
				_ = by.Abort()
			}
		}
	}()
	var rules []string
	tally.Tally, _, rules = f.play(p, perSecond, func() {
		close(quit)
		<-done
	})
	_, tally.Settled, _ = f.AwaitPolicy(-1, 20*time.Second)
	until := time.Now()
	if _, why := f.ActivePolicy(); why != "" {
		// A majority of the voters may be lost: an operator bootstraps a new log, which is rejected while the old log
		// has a leader.
		tally.Lost = f.Sidecars[int(p.Seed)%len(f.Sidecars)].Bootstrap() == nil
		if _, took, why := f.AwaitPolicy(-1, 70*time.Second); why != "" {
			rules = append(rules,
				fmt.Sprintf("policies differ %v after the last fault (new log: %v): %s", took, tally.Lost, why))
		}
	}
	if tally.Turns = f.PolicySwitches(since, until); tally.Turns > tally.Proposed {
		rules = append(rules,
			fmt.Sprintf("requests changed the upstream %d times with %d proposals: two policies were applied at once",
				tally.Turns, tally.Proposed))
	}
	return tally, append(rules, f.compareHistories()...)
}

// Voters returns the voters of the log that a process knows.
func (v *PolicyView) Voters() (all []int) {
	_, list, _ := strings.Cut(v.Text, ", voters")
	list, _, _ = strings.Cut(list, "\n")
	for _, field := range strings.Fields(list) {
		if i, err := strconv.Atoi(field); err == nil {
			all = append(all, i)
		}
	}
	return all
}

// Refused returns the number of requests that were sent after a moment and refused.
func (f *Fleet) Refused(since time.Time) (n int) {
	for _, x := range f.Answers.all() {
		if x.sent.After(since) && (x.status == http.StatusServiceUnavailable ||
			x.status == http.StatusTooManyRequests) {
			n++
		}
	}
	return n
}
