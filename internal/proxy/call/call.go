// Package call has the words that fronts, the engine and transports share: a request on its way, its
// final answer, the end of an attempt, a list of servers. It knows no protocol and does nothing.
package call

import (
	"hash/fnv"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"caperarch/policy"
)

// BodyLimit is how many bytes of a body are held whole, either way, so that a request can be sent again and an answer that breaks off was none.
const MaxBufferedBody = 64 << 10

// Message is a request as it goes on to a server, but for its time-out. An attempt may still read it after
// the request's answer, so nothing in it changes once it is handed over.
type Message struct {
	Method         string
	URI            string // as the client sent it; gRPC: the full method name
	Host           string
	Header         http.Header // end-to-end ones
	Body           []byte
	Upload         *Upload       // HTTP: what of the body is passed on as it comes; nil: Body is all of it
	Stream         bool          // its answer may be passed on while it still comes: see Result.Stream
	StreamDeadline time.Duration // a stream: when its client gives it up, on the clock of the engine; 0: only by Close
	Format         string        // gRPC: the content subtype; "" is proto
}

// Kind is which of the three final answers a request had.
type Kind int

// The final answers. A refusal says that trying again is harmless, a failure promises nothing.
const (
	Served Kind = iota
	Refused
	Failed
)

// Answer is the final answer of a request.
type Answer struct {
	Kind            Kind
	RetryAfter      time.Duration // refused: when to come back; 0: no advice
	RejectedByFront bool          // refused by the front alone: no engine had it
	TimedOut        bool          // failed: an attempt had no answer in time
	Status          int           // served: the protocol's own figure (HTTP 200; a gRPC status code)
	Header          http.Header   // served: the server's answer, as are the next three
	Trailer         http.Header
	Body            []byte
	Stream          Stream  // where Message.Stream was set and the answer still comes
	LastResult      *Result // failed: the server's own word in the last attempt that brought one; else nil
}

// Stream is an answer that has begun and is its client's now. The transport that made it closes it
// when Close is called or the server ends it; its attempt ends then, not before.
type Stream interface {
	// Close gives the answer up. It may be called more than once, from any goroutine.
	Close()
}

// Result is the end of an attempt or, with Stream set, the beginning of an answer that is passed on while
// it comes: then the end follows in a second Result, but for Carried ones.
type Result struct {
	Ending   policy.Ending
	Status   int // the protocol's own figure, where a whole answer came
	Header   http.Header
	Trailer  http.Header
	Body     []byte
	Load     policy.Load
	Stream   Stream
	Detached bool // with Stream: the attempt has ended with the answer's beginning, and no second Result follows. A slow client holds no place that others need.

	// After has something called once nothing of a Carried answer comes any more. It is to be asked before the function that the Result is handed to returns; nil: the transport can't tell.
	OnStreamEnd func(end func())
}

// Attempt is one attempt under way.
type Attempt interface {
	// Cancel gives the attempt up; its end still comes, soon. If its request is not yet on the way it
	// will not be sent. It may be called more than once, and never waits.
	Cancel()
}

// Server is a server at an address, as a transport reaches it. One that comes to a gone one's address is
// another Server. Its methods never wait, and are called from one goroutine.
type Server interface {
	// Send starts an attempt that is given up at until, a time of the clock that the transport was made with.
	// Its end goes to done once, from any goroutine but never before Send has returned.
	// NoConnection, TurnedAway and NotSent may only be said where it is known not to have run.
	Send(m *Message, until time.Duration, done func(Result)) Attempt
	// Probe asks for a load report, for as long as a connection may take. The result goes to told once.
	Probe(told func(ok bool, load policy.Load))
	// CloseIdle closes the connections that nothing is under way on.
	CloseIdle()
	// Leave takes that the server is no longer listed: what is under way goes on, nothing is kept.
	Deregister()
}

// Transport is a way to servers.
type Transport interface {
	// Server is a server at an address (host and port), which nothing was opened to yet.
	Server(address string) Server
	// Counters are figures for the log.
	Counters() map[string]int
}

// Listing is one answer of discovery.
type ServerList struct {
	Version   int64
	Full      bool // all servers; else those that changed
	Servers   []policy.Server
	Addresses map[policy.ServerID]string
	Names     map[policy.ServerID]string // as people call them, where that is known
}

// ServerID names a server by a hash of its instance id (FNV-1a, 64 bits): the same at every sidecar and
// after a restart, as the module spreads the sidecars over the servers by the order of their ids.
func ServerID(instance string) policy.ServerID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, instance) // a hash takes everything
	return policy.ServerID(h.Sum64())
}

// RouteKey is what a request's route key is to the module; "" is 0, nothing in particular.
func RouteKey(key string) uint64 {
	if key == "" {
		return 0
	}
	return uint64(ServerID(key))
}

// EndToEnd copies the headers that are meant for the other end, not for this connection (RFC 9110, 7.6.1).
func EndToEndHeaders(from http.Header) http.Header {
	to := make(http.Header, len(from)+2)
	for name, values := range from {
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(textproto.TrimString(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Content-Length", "X-Server-Load",
	} {
		delete(to, name)
	}
	if to["User-Agent"] == nil {
		to["User-Agent"] = nil // none was given, so none is made up
	}
	return to
}
