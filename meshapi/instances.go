package meshapi

// The states of an upstream.
const (
	// StateReady means that it takes requests.
	StateReady = "ready"
	// StateDraining means that it finishes what is in flight and is sent nothing new.
	StateDraining = "draining"
)
