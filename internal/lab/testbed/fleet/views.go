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

// Logged is how many processes have logged a text.
func (f *Fleet) Logged(text string) (n int) {
	for _, s := range f.Sidecars {
		if strings.Contains(s.Log(), text) {
			n++
		}
	}
	return n
}

// GoneAt is when each process logged that it holds a member for gone, since a moment.
func (f *Fleet) GoneAt(member int, since time.Time) []time.Time {
	return f.loggedAt(regexp.MustCompile(fmt.Sprintf(`(?m)^time=(\S+) .*peers: member" number=%d state=gone `,
		member)), since)
}

// loggedAt is when each process logged a line, its time the first group, the first time since a
// moment; those that did not have no part in it.
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

// View is what a process says that it knows.
type View struct {
	Contact  bool
	Session  string
	Sidecars int
	State    map[int]string // of the other members
	Of       map[int]string // sessions of theirs
	Out      map[int]bool
	Text     string
}

var (
	selfLine   = regexp.MustCompile(`(?m)^self \d+: (in|out of) contact.* session (\S+), (\d+) sidecars`)
	memberLine = regexp.MustCompile(`(?m)^member (\d+): (\w+) for (.*) session (\S+)$`)
)

// View asks a process; false: it does not say.
func (s *Sidecar) View() (v View, ok bool) {
	if !s.Runs() {
		return v, false
	}
	text, err := testbed.Operate(s.control(), "peers")
	head := selfLine.FindStringSubmatch(text)
	if err != nil || head == nil {
		return v, false
	}
	v = View{Contact: head[1] == "in", Session: head[2], State: make(map[int]string),
		Of: make(map[int]string), Out: make(map[int]bool), Text: text}
	v.Sidecars, _ = strconv.Atoi(head[3])
	for _, m := range memberLine.FindAllStringSubmatch(text, -1) {
		i, _ := strconv.Atoi(m[1])
		v.State[i], v.Of[i], v.Out[i] = m[2], m[4], strings.Contains(m[3], "over for good")
	}
	return v, true
}

// Agree says whether all processes that run are in contact, hold each other for alive under their
// present sessions, and those that don't live for gone or left; why says what is not so.
func (f *Fleet) Agree() (ok bool, why string) {
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
			} else if s.Runs() {
				silent = s.Number
			}
		})
	}
	if asked.Wait(); silent >= 0 {
		return false, fmt.Sprintf("%d says nothing", silent)
	}
	for i, v := range views {
		if !v.Contact {
			return false, fmt.Sprintf("%d is out of contact", i)
		}
		for j := range f.Sidecars {
			if other, lives := views[j]; i != j && lives && (v.State[j] != "alive" || v.Of[j] != other.Session) {
				return false, fmt.Sprintf("%d holds %d for %s under %s, it is there under %s", i, j,
					v.State[j], v.Of[j], other.Session)
			} else if i != j && !lives && v.State[j] != "gone" && v.State[j] != "left" {
				return false, fmt.Sprintf("%d holds %d for %s, it does not live", i, j, v.State[j])
			}
		}
	}
	return true, ""
}

// WaitForAgreement waits until all agree, and returns how long it took, or why they don't.
func (f *Fleet) WaitForAgreement(within time.Duration) (took time.Duration, why string) {
	for begun := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		ok, why := f.Agree()
		if took := time.Since(begun); ok {
			return took, ""
		} else if took > within {
			return took, why
		}
	}
}

// RequireAgreement is Settle where anything else is a failure.
func (f *Fleet) RequireAgreement(within time.Duration) time.Duration {
	f.t.Helper()
	took, why := f.WaitForAgreement(within)
	if why != "" {
		f.t.Fatalf("after %v: %s", took, why)
	}
	return took
}

// Dump writes what all processes logged, for a failure.
func (f *Fleet) Dump(to io.Writer) {
	for _, s := range f.Sidecars {
		fmt.Fprintf(to, "--- sidecar %d\n%s", s.Number, s.Log())
	}
}
