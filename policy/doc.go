// Package policy decides, for one client-side load balancer (a sidecar), when and where each request is sent,
// retried, refused or failed.
//
// A Balancer is single-threaded and deterministic: it has no goroutines, no clock and no I/O. The program that embeds
// it calls one method for each event and passes the current time; the Balancer acts through the Host that it was
// given. The API is in api.go, the decisions on requests in policy.go, the decisions on servers in servers.go, and
// the sizes of compartments, limits and arcs in sizing.go.
//
// # Calls
//
// Times are durations since a fixed moment that the embedding program chooses, and must never decrease. All calls of
// one Balancer come from one goroutine, in the order of the events: New, Start, List with the servers known so far,
// then Request, Outcome, Wake, List, Probed, ClientGone, StreamStarted and Reconfigure as they occur. Each Host.Send
// is followed by exactly one Outcome, even if the request is answered before the attempt ends. Each Host.Wake is
// followed by a call of Wake, which may be late. A request is answered once: by an Outcome with Finished set, or by
// Host.Refuse or Host.Fail.
//
// Invalid input does no harm. A request that names no class or tenant, or has no time left, is refused. An event of
// an unknown request, attempt or server is ignored, and so is a repeated event. For unusable settings, New and
// Reconfigure return an error that names the field; Reconfigure then changes nothing.
//
// # Rules
//
// Balancer.maySend checks rules 1 to 6 before every send. Balancer.closeIdle and Balancer.Wake implement rule 7.
//
//  1. A request has one answer, by its deadline. Nothing is sent for a request that is finished, streams its
//     answer, is past its deadline or has had MaxAttempts attempts.
//  2. A request has one attempt in flight at a time. A request that may have run is sent again only if its class
//     allows a repeat: Idempotent always; Deduplicated within the class's Scope and RepeatTime; NonIdempotent
//     never.
//  3. A server gets no request once the server list says that it drains or is deregistered.
//  4. Sends to a server in slow start are spaced, so that all balancers together do not overload it.
//  5. Requests of a class with InOrder that have the same key run one at a time, in order of arrival.
//  6. Attempts after a request's first stay within the retry budget.
//  7. Idle connections to a draining server are closed within Config.IdleCloseTime.
//
// # Servers
//
// Servers get turns by smooth weighted round robin: each server has a virtual time of its next turn, the server with
// the earliest one is picked, and its next turn is a gap later that is inversely proportional to its weight. A slow
// or failing server (see server.slowness), a server in slow start and a server of another zone have longer gaps. The
// gaps are bounded, so that the remaining turns show when a server has recovered. Servers of other zones keep some
// turns because a zone may have more traffic than its own servers can serve.
//
// A balancer does not give turns to all servers, but to an arc: each ready server is a section of a circle, as long
// as its weight, and the arc is a part of the circle. The arcs of the balancers start at evenly spread points, so
// that together they load all servers evenly. Without arcs, each of a thousand balancers with few requests would
// learn too little about every server. An arc is as long as the balancer's own traffic can feed, so that each server
// of the arc gets a turn often enough.
//
// A server's limit on attempts in flight is its share of the balancer's slots. The share is relative to the recent
// peak of the total weight: when servers leave or fail, the limits of the remaining servers grow little
// (maxShortageFactor), because the whole load of the others would overload them.
//
// # Capacity
//
// A slot is the right to have one attempt in flight. Each tenant has a compartment: a part of the balancer's slots
// and a short queue. By Little's law the mean number of attempts in flight is the request rate times the time that an
// attempt takes; slotHoldFraction of the latency target stands for that time.
package policy
