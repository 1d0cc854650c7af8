package replicatedstate

import "caperarch/internal/fleet/policyrollout"

// Event reports a change of the replicated state to the host.
type Event struct {
	Kind EventKind
	policyrollout.Ref
	Sidecar int                  // number of the sidecar that caused the event
	Reason  string               // why the change was aborted or rejected, or details of the event
	Active  policyrollout.Active // of ActiveChanged
}

// EventKind is the kind of an Event, spelled as in log lines.
type EventKind string

// The kinds of events. An applied step of a policy change has the text of its policyrollout.Kind.
const (
	ChangeCommitted EventKind = "taken"
	ChangeAborted   EventKind = "called off"
	ChangeRejected  EventKind = "refused" // a proposal that was invalid when its entry was applied
	ActiveChanged   EventKind = "goes by"
	LeaderStarted   EventKind = "leads"
	LogReset        EventKind = "log"   // the log was replaced by a log of another epoch
	EntryUnreadable EventKind = "entry" // an entry of a newer version of the program: this sidecar applies CutOff
)
