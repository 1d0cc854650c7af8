package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperarch/internal/mesh/headers"
	"caperarch/internal/proxy/call"
)

// workload is what a client sends.
type workload int

const (
	nonIdempotentOneByOne workload = iota
	idempotentPipelined
)

// verify looks from outside at what clients got and what ran, once all is over.
func (m *mesh) verify(all []clientResult, w workload) error {
	mayRepeat := w == idempotentPipelined
	m.upstreamLog.Lock()
	defer m.upstreamLog.Unlock()
	for id, n := range m.upstreamLog.executions {
		if n > 1 && !mayRepeat {
			return fmt.Errorf("%s ran %d times", id, n)
		}
	}
	for _, got := range all {
		ran := m.upstreamLog.executions[got.id]
		ownSuccess := got.body == bodyOf(got.id) && got.signature == signatureOf(got.id) && ran > 0
		statusLine := fmt.Sprintf("HTTP/1.1 %d ", got.status)
		ownFailure := strings.Contains(m.upstreamLog.written[got.id], statusLine)
		switch {
		case got.status == 0:
		case got.responseID == "" && got.status == http.StatusRequestTimeout: // the head was incomplete
		case got.responseID != got.id:
			return fmt.Errorf("%s got the response of %q", got.id, got.responseID)
		case got.status/100 == 2 && !ownSuccess:
			return fmt.Errorf("%s got a success that is not its own, ran %d times: %+v", got.id, ran, got)
		case got.status/100 != 2 && got.signature != "" && !ownFailure:
			return fmt.Errorf("%s got a failure with the upstream's signature: %+v", got.id, got)
		case promisesNotExecuted(got.status) && ran > 0 && !mayRepeat:
			return fmt.Errorf("%s got %d, which says not executed, and ran", got.id, got.status)
		}
	}
	return nil
}

// promisesNotExecuted reports whether a status tells a client that its request did not run.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// playTrace sends requests to a mesh with a fault. It says what clients got, after all that was
// delayed has arrived, and how many bytes passed on the first link of each kind.
func playTrace(
	t *testing.T, p faultPlan, upstreams upstreamBehavior, w workload, ids ...string,
) (all []clientResult, sizes map[string][2]int, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, p, upstreams, frontBodyBytes)
		if w == idempotentPipelined {
			all = m.sendPipelined(ids...)
		} else {
			all = m.sendOneByOne(ids...)
		}
		time.Sleep(4 * freezeTime)
		synctest.Wait()
		err = m.verify(all, w)
		sizes = make(map[string][2]int)
		for _, kind := range []string{"client", "gate", "upstream"} {
			sizes[kind] = m.memory.bytesOfFirstLink(kind)
		}
		m.close()
	})
	return all, sizes, err
}

var faults = map[string]fault{
	"reset": resetLink, "silence": silentLink, "freeze": freezeLink,
	"freeze of the gate": freezeGate, "freeze of the caller's sidecar": freezeCaller,
}

// faultAtEveryByte sends requests with a fault at every byte, or every few, of each link that they
// take, in both directions.
func faultAtEveryByte(
	t *testing.T, upstreams upstreamBehavior, w workload, step int, ids ...string,
) {
	t.Helper()
	_, withoutFault, err := playTrace(t, faultPlan{}, upstreams, w, ids[:1]...)
	if err != nil {
		t.Fatal(err)
	}
	for kind, sizes := range withoutFault {
		for name, fault := range faults {
			t.Run(kind+" "+name, func(t *testing.T) {
				t.Parallel()
				statuses := map[int]int{}
				for direction, size := range sizes {
					for at := 0; at <= size; at += step {
						p := faultPlan{kind, direction, at, fault}
						all, _, err := playTrace(t, p, upstreams, w, ids...)
						if err != nil {
							t.Fatalf("%+v: %v", p, err)
						}
						statuses[all[0].status]++
					}
				}
				t.Log(statuses)
			})
		}
	}
}

// A non-idempotent request and its response meet a fault at every byte; another request follows.
func TestNonIdempotentWithFaultAtEveryByte(t *testing.T) {
	for _, c := range []struct {
		name      string
		upstreams upstreamBehavior
		step      int
		ids       []string
	}{
		{"runs", nil, 1, []string{"a", "b"}},
		{"one upstream rejects", oneRejects, 5, []string{"a", "b"}},
		{"long bodies", nil, 3989, []string{"long", "long b"}},
		{"both reject", bothReject, 5, []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			faultAtEveryByte(t, c.upstreams, nonIdempotentOneByOne, c.step, c.ids...)
		})
	}
}

// Four idempotent requests that are sent at once meet a fault: each has its own response, in its place.
func TestPipelinedWithFaultAtEveryByte(t *testing.T) {
	faultAtEveryByte(t, nil, idempotentPipelined, 1, "a", "b", "c", "d")
}

// Upstreams write what belongs to no request, or is incomplete, on connections that are used again.
func TestStrayResponsesReachNobody(t *testing.T) {
	ran := func(out func(id string, n int) (string, bool)) upstreamBehavior {
		return func(_, id string, n int) (bool, string, bool) {
			text, goesOn := out(id, n)
			return true, text, goesOn
		}
	}
	large := strings.Repeat("x", call.MaxBufferedBody+1)
	for _, c := range []struct {
		name      string
		upstreams upstreamBehavior
		want      int // what each of three requests gets; 0: no complete response
	}{
		{"twice", ran(func(id string, _ int) (string, bool) {
			return successOf(id) + successOf(id), true
		}), 200},
		{"an older one first", ran(func(id string, _ int) (string, bool) {
			return successOf("z") + successOf(id), true
		}), 200},
		{"an older rejection first", ran(func(id string, _ int) (string, bool) {
			return rejectionOf("z") + successOf(id), true
		}), 200},
		{"a rejection without an id first", ran(func(id string, _ int) (string, bool) {
			return strings.Replace(rejectionOf(id), idField(id), "", 1) + successOf(id), true
		}), 200},
		{"interim responses first", ran(func(id string, _ int) (string, bool) {
			hints := "HTTP/1.1 103 Early Hints\r\n" + idField(id) + "\r\n"
			return "HTTP/1.1 100 Continue\r\n\r\n" + hints + successOf(id), true
		}), 200},
		{"no id", ran(func(id string, _ int) (string, bool) {
			return strings.Replace(successOf(id), idField(id), "", 1), false
		}), 502},
		{"another id", ran(func(string, int) (string, bool) {
			return successOf("z"), false
		}), 502},
		{"its id twice", ran(func(id string, _ int) (string, bool) {
			return successOf(id, idField(id)), false
		}), 502},
		{"another id beside its own", ran(func(id string, _ int) (string, bool) {
			return successOf(id, idField("z")), false
		}), 502},
		{"no response", ran(func(string, int) (string, bool) {
			return "no answer\r\n", true
		}), 502},
		{"bytes after it", ran(func(id string, _ int) (string, bool) {
			return successOf(id) + "more", true
		}), 200},
		{"cut in the body", ran(func(id string, _ int) (string, bool) {
			return successOf(id)[:len(successOf(id))-1], false
		}), 502},
		{"no length, cut", ran(func(id string, _ int) (string, bool) {
			return strings.Replace(strings.TrimSuffix(successOf(id), id), "Content-Length: 5\r\n", "", 1), false
		}), 502},
		{"chunks, cut", ran(func(id string, _ int) (string, bool) {
			head := strings.TrimSuffix(successOf(id), "ran "+id)
			head = strings.Replace(head, "Content-Length: 5", "Transfer-Encoding: chunked", 1)
			return head + "5\r\nran " + id + "\r\n", false
		}), 0},
		{"a failure, then a success", ran(func(id string, _ int) (string, bool) {
			return strings.Replace(successOf(id), "200 OK", "500 Internal Server Error", 1) + successOf(id), true
		}), 500},
		{"a status of rejection without the field that proves it", ran(func(id string, _ int) (string, bool) {
			return strings.Replace(successOf(id), "200 OK", "503 Service Unavailable", 1), true
		}), 502},
		{"created, with a long body that is cut", ran(func(id string, _ int) (string, bool) {
			signature := headers.Signature + ": " + signatureOf(id) + "\r\n"
			length := fmt.Sprintf("Content-Length: %d\r\n", len(large))
			return "HTTP/1.1 201 Created\r\n" + idField(id) + signature + length + "\r\n" + large[1:], false
		}), 0},
		{"a rejection twice, and then it runs", func(_, id string, n int) (bool, string, bool) {
			if n < 2 { // once at each
				return false, rejectionOf(id) + pauseMark + rejectionOf(id), true
			}
			return true, successOf(id), true
		}, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			all, _, err := playTrace(t, faultPlan{}, c.upstreams, nonIdempotentOneByOne, "a", "b", "c")
			for _, got := range all {
				if err != nil || got.status != c.want {
					t.Fatalf("%+v: %v", all, err)
				}
			}
		})
	}
}

// What the front of a gate rejects by itself, without asking its engine, is in the gate's attempt log.
func TestFrontRejectionIsRecordedByTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, faultPlan{}, nil, 3) // less than a body
		defer m.close()
		all := m.sendOneByOne("a")
		synctest.Wait()
		err := m.verify(all, nonIdempotentOneByOne)
		if err != nil || all[0].status != http.StatusServiceUnavailable {
			t.Errorf("%+v: %v", all, err)
		}
		for i, in := range m.gates {
			if n := in.gate.AttemptLog().Size(); n != 1 {
				t.Errorf("the log of gate %d has %d requests", i, n)
			}
		}
	})
}
