// Package wire implements the simulator's binary protocol: frames, records, server lists, and the settings that come
// with each instance. A Reader reads batches of events, a Reply collects the actions that answer one. Neither is safe
// for concurrent use. Each record has a code and its fields, little-endian; times are milliseconds as floating point.
package wire

import (
	"math"
	"time"
)

// Events that the simulator sends. A comment gives the protocol's own name where it is another one.
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

// Actions that answer them.
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

// How an attempt or a probe ended.
const (
	EndServed         = 100
	EndErrored        = 301
	EndRejected       = 302 // TurnedAway: it did not run
	EndTimedOut       = 303
	EndNoConnection   = 304
	EndConnectionLost = 305 // Broken
	EndCancelled      = 306
	EndNotSent        = 307
)

// Kinds of a list update.
const (
	ListFull   = 1
	ListDelta  = 2
	ListCached = 3
	ListFailed = 4
)

// Flags of a request.
const (
	FlagHasWork = 1 // Hint
	FlagRetry   = 2 // Repeat
)

// States of a server.
const (
	StateDeregistered = 0 // Gone
	StateReady        = 1
	StateDraining     = 2
)

// Millis turns milliseconds on the wire into a duration. It is clamped to what a duration can hold; a NaN is 0.
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

// ToMillis is the inverse of Millis.
func ToMillis(d time.Duration) float64 { return float64(d) / 1e6 }
