package replicatedstate

import "caperarch/internal/fleet/policyrollout"

// Event is a change that is logged.
type Event struct {
	Kind EventKind
	policyrollout.Ref
	By     int
	Why    string
	Active policyrollout.Active
}

// EventKind is the kind of an Event, in the words of the log lines.
type EventKind string

// The kinds of events. A change of policy that the log applied has the words of policyrollout.Kind.
const (
	ChangeCommitted EventKind = "taken"
	ChangeAborted   EventKind = "called off"
	ChangeRejected  EventKind = "refused" // a proposal that the log does not accept
	ActiveChanged   EventKind = "goes by"
	LeaderStarted   EventKind = "leads"
	LogReset        EventKind = "log"   // another log replaces the last one
	EntryUnreadable EventKind = "entry" // of a newer version of the program: this sidecar is cut off
)
