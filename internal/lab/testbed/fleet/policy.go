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

// Two policies that tell by where requests go who goes by which: by the first alone nothing goes to
// Marked[0], by the second alone nothing to Marked[1], by both or cut off to neither.
const (
	CutOffPolicy = "out = [\"s-0\", \"s-1\"]\n[limits]\nopen = 40\n"
	marks        = 2
)

// Marked is the text of the n-th policy; they alternate.
func Marked(n int) string {
	return fmt.Sprintf("# %d\nout = [\"s-%d\"]\n[limits]\nopen = %d\n", n, n%marks, 50+n%40)
}

// PolicyView is what a process says of the fleet's policy.
type PolicyView struct {
	Committed, Active int
	Mode              string // one, both, cut off
	InProgress        bool
	Leader            int
	Text              string
}

var (
	holdsLine = regexp.MustCompile(`(?m)^version (\d+) holds`)
	goesLine  = regexp.MustCompile(
		`(?m)^this sidecar (?:goes by version (\d+)|goes by the stricter of versions \d+ and (\d+)|is cut off)`)
	leaderLine = regexp.MustCompile(`(?m)^log: .* leader (-?\d+)`)
)

// Policy asks a process; false: it does not say.
func (s *Sidecar) Policy() (v PolicyView, ok bool) {
	if !s.Runs() {
		return v, false
	}
	text, err := testbed.Operate(s.control(), "policy-show")
	goes, leader := goesLine.FindStringSubmatch(text), leaderLine.FindStringSubmatch(text)
	if err != nil || goes == nil || leader == nil {
		return v, false
	}
	v = PolicyView{Mode: "cut off", InProgress: !strings.Contains(text, "under way: nothing"), Text: text,
		Committed: -1}
	if holds := holdsLine.FindStringSubmatch(text); holds != nil {
		v.Committed, _ = strconv.Atoi(holds[1])
	}
	v.Leader, _ = strconv.Atoi(leader[1])
	switch {
	case goes[1] != "":
		v.Mode = "one"
		v.Active, _ = strconv.Atoi(goes[1])
	case goes[2] != "":
		v.Mode = "both"
		v.Active, _ = strconv.Atoi(goes[2])
	}
	return v, true
}

// Bootstrap begins the log by way of a process.
func (s *Sidecar) Bootstrap() error { return s.operate("policy-found") }

// Abort calls off what is under way.
func (s *Sidecar) Abort() error { return s.operate("policy-abort") }

func (s *Sidecar) operate(call string) error {
	_, err := s.ask(call)
	return err
}

// ask makes an operator's call; what it is told no for is an error.
func (s *Sidecar) ask(call string) (answer string, err error) {
	answer, err = testbed.Operate(s.control(), call)
	if err == nil && !strings.HasPrefix(answer, "200 ") {
		err = fmt.Errorf("%s", strings.TrimSpace(answer))
	}
	return answer, err
}

// upload hands a text over in pieces.
func (s *Sidecar) upload(raw []byte) error {
	for i := range program.UploadChunks(raw) {
		if err := s.operate("policy-text " + strings.Join(program.UploadChunkArgs(raw, i), " ")); err != nil {
			return err
		}
	}
	return nil
}

// Propose proposes a policy by way of a process, from the version that holds there. What it is told no for is an error.
func (s *Sidecar) Propose(text string) error {
	v, ok := s.Policy()
	if !ok {
		return fmt.Errorf("%d says nothing", s.Number)
	}
	raw := []byte(text)
	if err := s.upload(raw); err != nil {
		return err
	}
	return s.operate(fmt.Sprintf("policy-propose %s %d", policyrollout.Hash(raw), v.Committed))
}

// ActivePolicy says whether all processes that run go by one version that holds, with nothing under way;
// why says what is not so.
func (f *Fleet) ActivePolicy() (version int, why string) {
	version = -1
	for _, s := range f.Sidecars {
		v, ok := s.Policy()
		switch {
		case !s.Runs():
		case !ok:
			return 0, fmt.Sprintf("%d says nothing", s.Number)
		case v.Mode != "one" || v.InProgress || v.Active != v.Committed:
			return 0, fmt.Sprintf("%d goes by %s, %d: %s", s.Number, v.Mode, v.Active, v.Text)
		case version >= 0 && v.Committed != version:
			return 0, fmt.Sprintf("%d goes by %d, another by %d", s.Number, v.Committed, version)
		default:
			version = v.Committed
		}
	}
	return version, ""
}

// AwaitPolicy waits until all go by one version, a certain one or (-1) any, and returns it.
func (f *Fleet) AwaitPolicy(want int, within time.Duration) (version int, took time.Duration, why string) {
	for begun := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		version, why = f.ActivePolicy()
		if why == "" && want >= 0 && version != want {
			why = fmt.Sprintf("all go by version %d, not %d", version, want)
		}
		if took = time.Since(begun); why == "" || took > within {
			return version, took, why
		}
	}
}

// PolicySwitches looks, by what arrived at the upstreams alone, whether requests were let in by one marked
// policy while others still were by the other: each change of policy turns them from one marked
// upstream to the other once. It returns how often they turned between two moments.
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

// CountByStatus is how many clients got each status.
func (f *Fleet) CountByStatus() map[int]int {
	all := make(map[int]int)
	for _, x := range f.Answers.all() {
		all[x.status]++
	}
	delete(all, http.StatusOK)
	return all
}

// ActiveAt is when each process logged that it goes by one version, the first time since a moment.
func (f *Fleet) ActiveAt(version int, since time.Time) []time.Time {
	return f.loggedAt(regexp.MustCompile(fmt.Sprintf(`(?m)^time=(\S+) .*policy: goes by" mode=one version=%d `,
		version)), since)
}

// histories says where two processes have different outcomes of one version.
func (f *Fleet) histories() (broken []string) {
	first := make(map[string]string)
	for _, s := range f.Sidecars {
		text, err := testbed.Operate(s.control(), "policy-history")
		if err != nil || !s.Runs() {
			continue
		}
		for line := range strings.Lines(text) {
			version, outcome, ok := strings.Cut(line, " of ")
			if !ok {
				continue
			}
			if known, had := first[version]; had && known != outcome {
				broken = append(broken, fmt.Sprintf("%s: %d has %q, another %q", version, s.Number, outcome, known))
			}
			first[version] = outcome
		}
	}
	return broken
}

// PolicyTally is what became of a run in which the policy changed.
type PolicyTally struct {
	Tally
	Proposed, Refused, Turns int
	Lost                     bool // the log was, and was begun anew
	Settled                  time.Duration
}

// PlayPolicies has the fleet live through a plan, under load, while operators propose policies and
// call some off, and returns what was broken: by what arrived at the upstreams, by what processes
// hold of the log, and by the books of clients and upstreams.
func (f *Fleet) PlayPolicies(p *Plan, perSecond int) (tally PolicyTally, broken []string) {
	if err := f.Sidecars[0].Bootstrap(); err != nil {
		return tally, []string{err.Error()}
	}
	if _, _, why := f.AwaitPolicy(0, testbed.MaxWait); why != "" {
		return tally, []string{"no beginning: " + why}
	}
	if err := f.Sidecars[1].Propose(Marked(1)); err != nil {
		return tally, []string{err.Error()}
	}
	if _, _, why := f.AwaitPolicy(1, testbed.MaxWait); why != "" {
		return tally, []string{"no first policy: " + why}
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
			if err := by.Propose(Marked(n)); err == nil {
				tally.Proposed++
			} else if strings.HasPrefix(err.Error(), "400 ") {
				tally.Refused++
				continue
			} else {
				tally.Proposed++ // it may have been taken: the process went meanwhile
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
		// A majority of the voters was lost, maybe: an operator begins anew, which is refused while the log answers.
		tally.Lost = f.Sidecars[int(p.Seed)%len(f.Sidecars)].Bootstrap() == nil
		if _, took, why := f.AwaitPolicy(-1, 70*time.Second); why != "" {
			rules = append(rules, fmt.Sprintf("%v behind the end (begun anew %v): %s", took, tally.Lost, why))
		}
	}
	if tally.Turns = f.PolicySwitches(since, until); tally.Turns > tally.Proposed {
		rules = append(rules, fmt.Sprintf("requests turned %d times by %d proposals: two policies were gone by at once",
			tally.Turns, tally.Proposed))
	}
	return tally, append(rules, f.histories()...)
}

// Voters are those of the log, as a process knows them.
func (v *PolicyView) Voters() (all []int) {
	_, list, _ := strings.Cut(v.Text, ", voters")
	list, _, _ = strings.Cut(list, "\n")
	for _, word := range strings.Fields(list) {
		if i, err := strconv.Atoi(word); err == nil {
			all = append(all, i)
		}
	}
	return all
}

// Refused is how many clients were refused of those that have sent since a moment.
func (f *Fleet) Refused(since time.Time) (n int) {
	for _, x := range f.Answers.all() {
		if x.sent.After(since) && (x.status == http.StatusServiceUnavailable ||
			x.status == http.StatusTooManyRequests) {
			n++
		}
	}
	return n
}
