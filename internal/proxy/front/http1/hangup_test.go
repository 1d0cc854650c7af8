package http1

import (
	"fmt"
	"testing"

	"caperarch/internal/lab/testbed"
)

// A client that was taken for one that does not pipeline sends a request behind an open one and leaves: the open one is
// not worked on any longer, and the one behind it is not begun.
func TestHangupBehindUnreadRequest(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	for i := range 2 * maxUnpipelinedResponses {
		uri := fmt.Sprint("/safe/", i)
		c.send(get(uri))
		d.expectSubmitted(t, uri)[0].reply()
		c.expectResponse(200, "done "+uri)
	}
	c.send(get("/safe/a"))
	all := d.expectSubmitted(t, "/safe/a")
	c.send(get("/safe/b"))
	c.Close()
	for id := testbed.Wait(t, "the end of /safe/a", d.gone); id != all[0].id; {
		id = testbed.Wait(t, "the end of /safe/a", d.gone)
	}
	waitUntil(t, "nothing is open", func() bool { return d.target.OpenRequests() == 0 })
	for len(d.submitted) > 0 { // it may have been read ahead, and has to be gone then
		d.expectGone(t, d.expectSubmitted(t, "/safe/b")...)
	}
}
