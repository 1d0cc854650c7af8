// Package control answers operators: one line a connection, one answer.
package control

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"
)

// MaxLineBytes bounds a call in bytes, its line end left out.
const MaxLineBytes = 512

// Verb is what is asked for.
type Verb string

// The calls.
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

// arguments is how many each call has.
var arguments = map[Verb]int{
	Health: 0, Counters: 0, Cordon: 1, Uncordon: 1, Peers: 0,
	PolicyText: 4, PolicyPropose: 2, PolicyShow: 0, PolicyHistory: 0, PolicyAbort: 0, PolicyFound: 0,
	WorkPlan: 1, WorkShow: 0, WorkDone: 1, WorkPause: 1, WorkResume: 1, WorkCancel: 1,
}

// Call is one line, read.
type Call struct {
	Verb      Verb
	Arguments []string // as many as the call has
}

// Parse reads a line without its end. An error says what is wrong with it, in one line and without repeating what might break it.
func Parse(line []byte) (Call, error) {
	if len(line) > MaxLineBytes {
		return Call{}, fmt.Errorf("a call has %d bytes at most", MaxLineBytes)
	}
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	if i := bytes.IndexFunc(line, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f || r == utf8.RuneError }); i >= 0 {
		return Call{}, fmt.Errorf("byte %d is no text", i+1)
	}
	words := strings.Fields(string(line))
	if len(words) == 0 {
		return Call{}, fmt.Errorf("no call: one of %s is needed", verbs)
	}
	c := Call{Verb: Verb(words[0])}
	need, known := arguments[c.Verb]
	switch given := len(words) - 1; {
	case !known:
		return Call{}, fmt.Errorf("unknown call: one of %s is needed", verbs)
	case given < need && (c.Verb == Cordon || c.Verb == Uncordon):
		return Call{}, fmt.Errorf("%s needs the id of an upstream", c.Verb)
	case given < need:
		return Call{}, fmt.Errorf("%s has %d words behind it, %d are needed", c.Verb, given, need)
	case given > need:
		return Call{}, fmt.Errorf("%s has %d words behind it, %d are needed", c.Verb, given, need)
	}
	c.Arguments = words[1:]
	return c, nil
}

const verbs = "health, counters, cordon ID, uncordon ID, peers, policy-show, policy-history, policy-abort, policy-found, work-show, work-done TURN, work-pause PLAN, work-resume PLAN, work-cancel PLAN"
