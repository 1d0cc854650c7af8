// Package wire implements the simulator's binary protocol: frames, records, server lists and the settings of an
// instance. A Reader reads batches of events, and a Reply collects the actions in response to a batch. Neither is safe
// for concurrent use. Each record consists of a code and fields in little-endian byte order. Times are floating-point
// numbers of milliseconds.
package wire

import (
	"math"
	"time"
)

// Codes of the events that the simulator sends. A comment gives the name in the protocol if it differs.
const (
	EvProbeResult     = 1000 // CheckResult
	EvServerList      = 1010 // Manifest
	EvCrash           = 1020 // CrashNow
	EvResponseHeaders = 1030 // Headers
	EvHeard           = 1040 // not used
	EvListUpdate      = 1050 // Fleet
	EvAttemptEnded    = 1060 // Finished
	EvTimer           = 1070 // Wake
	EvRequest         = 1080 // Ask
	EvClientGone      = 1090 // ClientLeft
	EvInstanceStart   = 1100 // OpenInstance
)

// Codes of the actions in a reply. A comment gives the name in the protocol if it differs.
const (
	ActSendAttempt   = 1000 // CallOut
	ActRefuse        = 1010 // PushBack
	ActFail          = 1020 // Lose
	ActCancelAttempt = 1030 // Recall
	ActSetTimer      = 1040 // SetAlarm
	ActProbe         = 1050 // Inspect
	ActCloseIdle     = 1060 // Release
	ActLog           = 1080 // WriteLog
	ActCrash         = 1090 // Die
	ActWatchList     = 1100 // Tail
)

// Endings of an attempt or a probe.
const (
	EndServed         = 100
	EndErrored        = 301
	EndRejected       = 302 // TurnedAway: the server did not process the request
	EndTimedOut       = 303
	EndNoConnection   = 304
	EndConnectionLost = 305 // Broken
	EndCancelled      = 306
	EndNotSent        = 307
)

// Kinds of list updates.
const (
	ListFull   = 1
	ListDelta  = 2
	ListCached = 3
	ListFailed = 4
)

// Flags of a request, with their names in the protocol.
const (
	FlagHasWork = 1 // Hint
	FlagRetry   = 2 // Repeat
)

// States of a server. A comment gives the name in the protocol if it differs.
const (
	StateDeregistered = 0 // Gone
	StateReady        = 1
	StateDraining     = 2
)

// Millis converts milliseconds to a duration. The result is limited to ±2^62 ns; NaN is converted to 0.
func Millis(ms float64) time.Duration {
	const limit = 1 << 62
	ns := math.Round(ms * 1e6)
	switch {
	case ns != ns:
		return 0
	case ns > limit:
		return limit
	case ns < -limit:
		return -limit
	}
	return time.Duration(ns)
}

// ToMillis converts a duration to milliseconds.
func ToMillis(d time.Duration) float64 { return float64(d) / 1e6 }
