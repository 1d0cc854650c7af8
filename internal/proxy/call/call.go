// Package call defines the types that fronts, the engine and transports share: a request to forward, its final answer,
// the result of an attempt, and a list of servers. The package is independent of the protocol and starts no
// goroutines.
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

// MaxBufferedBody is the largest body of a request or an answer, in bytes, that is buffered. A request with a buffered
// body can be retried; an answer with a buffered body is passed on only when it is complete.
const MaxBufferedBody = 64 << 10

// Message is a request as it is forwarded to a server, except for its time-out. It must not change after it was handed
// over, as an attempt may still read it after the request was answered.
type Message struct {
	Method string
	URI    string // request target as the client sent it; gRPC: the full method name
	Host   string
	Header http.Header // end-to-end headers only
	Body   []byte
	Upload *Upload // HTTP: the part of the body that is streamed; nil: Body is the whole body
	Stream bool    // the answer may be streamed, see Result.Stream
	// StreamDeadline is the client's deadline for a streamed answer, on the engine's clock: the answer is aborted at that
	// time. 0: only Close aborts it.
	StreamDeadline time.Duration
	Format         string // gRPC: the content subtype; "" is proto
}

// Kind distinguishes the final answers of requests.
type Kind int

// The kinds of final answers. After Refused the client can retry safely; after Failed the request may have had an
// effect.
const (
	Served Kind = iota
	Refused
	Failed
)

// Answer is the final answer of a request.
type Answer struct {
	Kind            Kind
	RetryAfter      time.Duration // refused: delay before a retry; 0: not given
	RejectedByFront bool          // refused: the front rejected the request before the engine received it
	TimedOut        bool          // failed: an attempt was not answered in time
	Status          int           // served: status of the protocol (HTTP status or gRPC status code)
	Header          http.Header   // served: from the server's answer, like the next three fields
	Trailer         http.Header
	Body            []byte
	Stream          Stream  // served: the streamed answer; only if Message.Stream was set
	LastResult      *Result // failed: the last error answer of a server; nil: no server answered
}

// Stream is an answer that the client receives while the server sends it. Its attempt ends when Close is called or when
// the server ends the answer, unless the Result was Detached.
type Stream interface {
	// Close aborts the answer. It may be called more than once and from any goroutine.
	Close()
}

// Result is the result of an attempt. If Stream is set, it is the start of a streamed answer, and the end of the
// attempt follows in a second Result unless Detached is set.
type Result struct {
	Ending  policy.Ending
	Status  int // status of the protocol, if there was a complete answer
	Header  http.Header
	Trailer http.Header
	Body    []byte
	Load    policy.Load
	Stream  Stream
	// Detached says that the attempt ended when its streamed answer started, so that a slow client occupies no slot. No
	// second Result follows. It is set only together with Stream.
	Detached bool

	// OnStreamEnd sets a function that is called when a Detached answer has ended. It must be called before the function
	// that received the Result returns. nil: the transport does not report the end.
	OnStreamEnd func(end func())
}

// Limits are the time limits of an attempt, on the transport's clock.
type Limits struct {
	// SendBy is the time until which the request may be written; after it the attempt ends with NotSent. The transport
	// compares it with its clock right before the write, because time passes between the decision to send and the write
	// if a connection is slow to open, the request waits in a queue, or the process is suspended. SendBy is never later
	// than Until.
	SendBy time.Duration
	Until  time.Duration // the attempt times out at this time
}

// Within returns the Limits of an attempt that may be written at any time before its time-out.
func Within(until time.Duration) Limits { return Limits{SendBy: until, Until: until} }

// Attempt is an attempt in flight.
type Attempt interface {
	// Cancel cancels the attempt. The Result still follows, shortly afterwards. A request that has not been sent yet is
	// not sent. Cancel may be called more than once and does not block.
	Cancel()
}

// Server is a transport's access to a server at an address. A new server at the address of a deregistered server has
// its own Server. The methods do not block and are called from one goroutine.
type Server interface {
	// Send starts an attempt. It passes the Result to done, which is called from any goroutine after Send has returned:
	// once, or twice for a streamed answer (see Result). The endings NoConnection, NotProcessed and NotSent mean that the
	// request is known not to have run.
	Send(m *Message, limits Limits, done func(Result)) Attempt
	// Probe requests a load report, with the time-out of connection attempts. It calls done once with the result.
	Probe(done func(ok bool, load policy.Load))
	// CloseIdle closes the connections without a request in flight.
	CloseIdle()
	// Deregister reports that the server is no longer listed. Requests in flight continue; connections are closed when
	// their requests have ended.
	Deregister()
}

// Transport connects to servers.
type Transport interface {
	// Server returns the server at an address (host and port), without opening a connection.
	Server(address string) Server
	// Counters returns the transport's counters by name, for the log.
	Counters() map[string]int
}

// ServerList is a version of discovery's list of servers, or a change to the list.
type ServerList struct {
	Version   int64
	Full      bool // the list has all servers; otherwise only the changed servers
	Servers   []policy.Server
	Addresses map[policy.ServerID]string // host and port
	Names     map[policy.ServerID]string // instance IDs, as far as they are known
}

// ServerID returns the ID of a server: the 64-bit FNV-1a hash of its instance ID. The ID must be the same in all
// sidecars and after a restart, because the policy distributes the sidecars over the servers by the order of the
// servers' IDs.
func ServerID(instance string) policy.ServerID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, instance) // writing to a hash never fails
	return policy.ServerID(h.Sum64())
}

// RouteKey returns a route key as policy.Request.Key holds it: a hash, or 0 for the empty key, which means no key.
func RouteKey(key string) uint64 {
	if key == "" {
		return 0
	}
	return uint64(ServerID(key))
}

// EndToEndHeaders copies the end-to-end headers, without the connection-specific headers (RFC 9110, 7.6.1),
// Expect, Content-Length and X-Server-Load. If there
// is no User-Agent header, it adds an entry without values, so that net/http does not add its own User-Agent.
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
		to["User-Agent"] = nil
	}
	return to
}
