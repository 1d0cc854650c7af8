package fleet

import (
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"caperarch/internal/lab/testbed"
)

// Logged returns the number of processes that have logged a text.
func (f *Fleet) Logged(text string) (n int) {
	for _, s := range f.Sidecars {
		if strings.Contains(s.Log(), text) {
			n++
		}
	}
	return n
}

// MemberGoneAt returns when each process first logged after a moment that a member is gone.
func (f *Fleet) MemberGoneAt(member int, since time.Time) []time.Time {
	return f.loggedAt(regexp.MustCompile(fmt.Sprintf(`(?m)^time=(\S+) .*peers: member" number=%d state=gone `,
		member)), since)
}

// loggedAt returns when each process first logged a matching line after a moment. The first group of the pattern is the
// time of the line. Processes that logged no such line are left out.
func (f *Fleet) loggedAt(line *regexp.Regexp, since time.Time) (at []time.Time) {
	for _, s := range f.Sidecars {
		for _, m := range line.FindAllStringSubmatch(s.Log(), -1) {
			if t, err := time.Parse(time.RFC3339, m[1]); err == nil && t.After(since) {
				at = append(at, t)
				break
			}
		}
	}
	return at
}

// View is a process's report of the fleet's membership.
type View struct {
	Contact  bool
	Session  string
	Sidecars int
	State    map[int]string // states of the other members
	Sessions map[int]string // sessions of the other members
	Out      map[int]bool   // members whose session has ended for this process
	Text     string
}

var (
	selfLine   = regexp.MustCompile(`(?m)^self \d+: (in|out of) contact.* session (\S+), (\d+) sidecars`)
	memberLine = regexp.MustCompile(`(?m)^member (\d+): (\w+) for (.*) session (\S+)$`)
)

// View asks a process for its view. It returns false if the process doesn't answer.
func (s *Sidecar) View() (v View, ok bool) {
	if !s.Running() {
		return v, false
	}
	text, err := testbed.Operate(s.control(), "peers")
	head := selfLine.FindStringSubmatch(text)
	if err != nil || head == nil {
		return v, false
	}
	v = View{Contact: head[1] == "in", Session: head[2], State: make(map[int]string),
		Sessions: make(map[int]string), Out: make(map[int]bool), Text: text}
	v.Sidecars, _ = strconv.Atoi(head[3])
	for _, m := range memberLine.FindAllStringSubmatch(text, -1) {
		i, _ := strconv.Atoi(m[1])
		v.State[i], v.Sessions[i], v.Out[i] = m[2], m[4], strings.Contains(m[3], "over for good")
	}
	return v, true
}

// Converged reports whether all running processes are in contact, see each other as alive in their present sessions,
// and see all others as gone or left. If not, why says what differs.
func (f *Fleet) Converged() (ok bool, why string) {
	views := make(map[int]View)
	var mu sync.Mutex
	var asked sync.WaitGroup
	silent := -1
	for _, s := range f.Sidecars {
		asked.Go(func() {
			v, ok := s.View()
			mu.Lock()
			defer mu.Unlock()
			if ok {
				views[s.Number] = v
			} else if s.Running() {
				silent = s.Number
			}
		})
	}
	if asked.Wait(); silent >= 0 {
		return false, fmt.Sprintf("sidecar %d does not answer", silent)
	}
	for i, v := range views {
		if !v.Contact {
			return false, fmt.Sprintf("sidecar %d is out of contact", i)
		}
		for j := range f.Sidecars {
			if other, running := views[j]; i != j && running &&
				(v.State[j] != "alive" || v.Sessions[j] != other.Session) {
				return false, fmt.Sprintf("sidecar %d sees sidecar %d as %s in session %s, but it runs in session %s",
					i, j, v.State[j], v.Sessions[j], other.Session)
			} else if i != j && !running && v.State[j] != "gone" && v.State[j] != "left" {
				return false, fmt.Sprintf("sidecar %d sees sidecar %d as %s, but it does not run", i, j, v.State[j])
			}
		}
	}
	return true, ""
}

// WaitForAgreement waits until the views have converged. It returns how long this took and, after a time-out, why they
// have not.
func (f *Fleet) WaitForAgreement(within time.Duration) (took time.Duration, why string) {
	for started := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		ok, why := f.Converged()
		if took := time.Since(started); ok {
			return took, ""
		} else if took > within {
			return took, why
		}
	}
}

// RequireAgreement is like WaitForAgreement, but fails the test after a time-out.
func (f *Fleet) RequireAgreement(within time.Duration) time.Duration {
	f.t.Helper()
	took, why := f.WaitForAgreement(within)
	if why != "" {
		f.t.Fatalf("fleet: views don't agree after %v: %s", took, why)
	}
	return took
}

// Dump writes the logs of all processes, for a failed test.
func (f *Fleet) Dump(to io.Writer) {
	for _, s := range f.Sidecars {
		fmt.Fprintf(to, "--- sidecar %d\n%s", s.Number, s.Log())
	}
}
