// Package bulkhead decides how much one balancer of many may have out at servers that all share. It is free of I/O; time is passed in.
//
// Three hundred balancers, walled each for itself, hold several times what the servers bear: a burst, and all servers worked slower for
// the rest of the day. Nobody sees the sum, so what each gives up as servers fill is a part of its own traffic.
package bulkhead

import (
	"math"
	"time"

	"caperarch/internal/proxy/ratemeter"
)

const (
	crowdAt = 0.17 // answers take this share of the aim: from here on room shrinks
	steep   = 2.0  // with this power of what they take more; and Little's law has the rate fall with one power more
	usual   = 2.0  // so many times what one's own traffic holds where servers are not crowded,
	chance  = 2.0  // and so many standard deviations of such a count

	within = 1.5 // so much more for a tenant that holds less than its share

	rateOver = 10 * time.Second // one's own traffic is measured over about this long
	begin    = 1.0              // s for which it is taken for the even one
	answers  = 8.0              // that tell how crowded it is now, or fewer:
	each     = 0.06             // s that one stands for
	calm     = 0.1              // share of the aim that answers take to begin with
)

// Wall is one balancer's. It is used from one goroutine.
type Wall struct {
	Even float64 // attempts that one balancer has out where all have the same traffic and servers are not crowded

	hold    float64         // s for which one is out then
	first   ratemeter.Meter // tries; further ones would have refusals bring room
	crowd   float64         // logarithm of the share of the aim that answers take: few long ones say nothing of the servers
	crowdAt time.Duration   // when that was taken
}

// New makes one whose attempts are out for hold seconds each where servers are not crowded.
func New(hold float64) Wall {
	return Wall{hold: hold, crowd: math.Log(calm), first: ratemeter.Meter{Over: rateOver}}
}

// Came takes that a client's first try came.
func (w *Wall) Came(now time.Duration) {
	w.first.Came(now)
}

// Took takes that an answer, or the lack of one, took such a share of its aim. Where few come each tells more.
func (w *Wall) Took(now time.Duration, share float64) {
	part := min(0.5, max(1, (now-w.crowdAt).Seconds()/each)/answers)
	w.crowd += (math.Log(max(share, 1e-3)) - w.crowd) * part
	w.crowdAt = now
}

// Crowded says that answers are slow enough for room to shrink.
func (w *Wall) Crowded() bool { return w.crowd > math.Log(crowdAt) }

// Room is how many attempts the balancer may have out before it sends one more, at least one. Who has less than the even part may hold what
// that needs. A tenant that holds less than its share of the room, and used of it, is let in beyond: one that floods can't take the others'.
func (w *Wall) Room(now time.Duration, share float64, used int) float64 {
	came, seconds := w.first.Lately(now)
	own := usual * max(w.Even, (came*w.hold+w.Even*begin)/(seconds+begin))
	room := (own + chance*math.Sqrt(own)) * math.Exp(-steep*(w.crowd-math.Log(crowdAt)))
	if float64(used+1) < share*room {
		room *= within
	}
	return max(1, room)
}
