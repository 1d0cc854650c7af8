package http1

import "time"

const (
	restMost  = 120 * time.Millisecond // bounds what is learnt: connections that rest are held open beside those in use
	restTwice = 2                      // of the age at which one broke: the next close may come as much later again
	restFade  = 128                    // uses that stand, after which what was learnt is down to a third
)

// rest is how long a server's connections have to rest before they are used again, learnt from those that broke. A server that closes
// some time after its answer (a limit on requests or age, a restart) crosses what is written to it meanwhile, and nothing
// proves that such a request did not run. Resting longer has the close arrive first, where usable finds it. It
// does not help against a server that resets when the next request comes: there it stays at its bound and costs
// connections, at most rate x restMost.
type rest struct{ learnt time.Duration }

// least is how long a connection has to rest.
func (r *rest) least() time.Duration { return r.learnt }

// broke takes that a connection broke under a request that it was taken for after so long a rest.
func (r *rest) broke(rested time.Duration) {
	if rested <= restMost { // else it had rested for as long as it ever will
		r.learnt = min(restMost, max(r.learnt, restTwice*rested))
	}
}

// stood takes that one did not.
func (r *rest) stood() { r.learnt -= r.learnt / restFade }
