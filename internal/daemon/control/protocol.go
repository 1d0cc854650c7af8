// Package control serves operators' control calls over TCP. A connection carries one call, which is one line of text,
// and receives one response. A Handler executes the calls; the Server limits the number of callers, the size of a call
// and the time that a call takes.
package control

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"
)

// MaxLineBytes is the maximum length of a call without its line end.
const MaxLineBytes = 512

// Verb is the first word of a call.
type Verb string

// Verbs of the control calls.
const (
	Health   Verb = "health"
	Counters Verb = "counters"
	Cordon   Verb = "cordon"
	Uncordon Verb = "uncordon"
	Peers    Verb = "peers"

	PolicyText    Verb = "policy-text"
	PolicyPropose Verb = "policy-propose"
	PolicyShow    Verb = "policy-show"
	PolicyHistory Verb = "policy-history"
	PolicyAbort   Verb = "policy-abort"
	PolicyFound   Verb = "policy-found"

	WorkPlan   Verb = "work-plan"
	WorkShow   Verb = "work-show"
	WorkDone   Verb = "work-done"
	WorkPause  Verb = "work-pause"
	WorkResume Verb = "work-resume"
	WorkCancel Verb = "work-cancel"
)

// argumentCounts is the number of arguments that each verb takes.
var argumentCounts = map[Verb]int{
	Health: 0, Counters: 0, Cordon: 1, Uncordon: 1, Peers: 0,
	PolicyText: 4, PolicyPropose: 2, PolicyShow: 0, PolicyHistory: 0, PolicyAbort: 0, PolicyFound: 0,
	WorkPlan: 1, WorkShow: 0, WorkDone: 1, WorkPause: 1, WorkResume: 1, WorkCancel: 1,
}

// Call is a parsed control call.
type Call struct {
	Verb      Verb
	Arguments []string // argumentCounts[Verb] arguments
}

// Parse parses a call without its line end. The text of an error is one line. It does not quote the input, because the
// input may contain control characters that break the line.
func Parse(line []byte) (Call, error) {
	if len(line) > MaxLineBytes {
		return Call{}, fmt.Errorf("a call has %d bytes at most", MaxLineBytes)
	}
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	if i := bytes.IndexFunc(line, notText); i >= 0 {
		return Call{}, fmt.Errorf("byte %d is no text", i+1)
	}
	fields := strings.Fields(string(line))
	if len(fields) == 0 {
		return Call{}, fmt.Errorf("no call: one of %s is needed", callUsage)
	}
	c := Call{Verb: Verb(fields[0])}
	need, known := argumentCounts[c.Verb]
	switch given := len(fields) - 1; {
	case !known:
		return Call{}, fmt.Errorf("unknown call: one of %s is needed", callUsage)
	case given < need && (c.Verb == Cordon || c.Verb == Uncordon):
		return Call{}, fmt.Errorf("%s needs the id of an upstream", c.Verb)
	case given != need:
		return Call{}, fmt.Errorf("%s has %d words behind it, %d are needed", c.Verb, given, need)
	}
	c.Arguments = fields[1:]
	return c, nil
}

// notText reports whether r is not allowed in a call.
func notText(r rune) bool {
	return r < ' ' && r != '\t' || r == 0x7f || r == utf8.RuneError
}

// callUsage lists the calls that operators make by hand. Only the caperarch command makes the other calls.
const callUsage = "health, counters, cordon ID, uncordon ID, peers, " +
	"policy-show, policy-history, policy-abort, policy-found, " +
	"work-show, work-done TURN, work-pause PLAN, work-resume PLAN, work-cancel PLAN"
