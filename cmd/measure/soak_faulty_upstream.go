package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"caperarch/internal/lab/soak"
	"caperarch/internal/mesh/headers"
)

const (
	// soakMaxEarlyBytes is the largest number of bytes of a request's body after which an upstream begins work.
	soakMaxEarlyBytes = 96 << 10
	// soakEarlyServiceTime is the longest service time of a request that is begun before the end of its body. Meanwhile
	// the upstream does not notice that its connection ends, so the time is far below responseSlack.
	soakEarlyServiceTime = 60 * time.Millisecond
	// soakReadOn is how long an upstream reads on after an answer that it wrote before the end of the body.
	soakReadOn = time.Second
)

// upstreamBehavior is how an upstream processes a request whose body it may not have read completely.
type upstreamBehavior int

const (
	servesEarlyStart upstreamBehavior = iota // begins before the end of the body, and answers after it
	answersEarly                             // answers with success before the end of the body, and reads on
	answersUnframed                          // answers early and without a length, and ends the connection
	shedsEarly                               // rejects the request before the end of its body, without running it
	losesAnswer                              // runs the request and resets the connection
	fails                                    // runs the request and answers with 500
	failsSpoiled                             // like fails, with a number that is no status in place of 500
)

// behaviorWeights are the shares of the behaviors, in percent. The remaining requests are served as usual.
var behaviorWeights = []struct {
	behavior upstreamBehavior
	percent  int
}{
	{servesEarlyStart, 35}, {answersEarly, 15}, {answersUnframed, 4}, {shedsEarly, 4}, {losesAnswer, 8}, {fails, 3},
	{failsSpoiled, 5},
}

// spoiledStatuses take the place of a status in a spoiled answer. None of them is a status of HTTP.
var spoiledStatuses = []string{"000", "099", "020", "600", "999"}

// drawBehavior draws the behavior for a request. It returns false if the request is served as usual.
func drawBehavior() (behavior upstreamBehavior, drawn bool) {
	n := rand.IntN(100)
	for _, w := range behaviorWeights {
		if n -= w.percent; n < 0 {
			return w.behavior, true
		}
	}
	return 0, false
}

// earlyRun is the execution of a request that may have begun before the end of the request's body.
type earlyRun struct {
	upstream *soakUpstream
	w        http.ResponseWriter
	r        *http.Request
	id       string
	body     []byte // bytes that were read
	record   soak.Run
}

// serveWithBehavior processes a request with the given behavior, and records the execution.
func (u *soakUpstream) serveWithBehavior(w http.ResponseWriter, r *http.Request, behavior upstreamBehavior) {
	run := &earlyRun{upstream: u, w: w, r: r, id: r.Header.Get(headers.AttemptID)}
	if !run.readEarly() {
		return // the sender aborted the request before the upstream began
	}
	fields := w.Header()
	fields[headers.Instance], fields[headers.AttemptID] = []string{u.instance()}, []string{run.id}
	if behavior == shedsEarly {
		fields[headers.NotExecuted] = []string{"1"}
		run.answerAndReadOn(http.StatusServiceUnavailable, "")
		return
	}
	fields[headers.Signature] = []string{soakSignature(run.id)}
	run.begin()
	run.finish(behavior)
}

// readEarly reads the part of the body that the upstream needs to begin, and reports whether it arrived.
func (e *earlyRun) readEarly() bool {
	wanted := int64(soakMaxEarlyBytes)
	if e.r.ContentLength >= 0 {
		wanted = min(wanted, e.r.ContentLength)
	}
	var err error
	e.body, err = io.ReadAll(io.LimitReader(e.r.Body, rand.Int64N(wanted+1)))
	return err == nil
}

// readRest reads the rest of the body, and reports whether the body is complete.
func (e *earlyRun) readRest() bool {
	rest, err := io.ReadAll(e.r.Body)
	e.body = append(e.body, rest...)
	return err == nil
}

// begin starts the execution.
func (e *earlyRun) begin() {
	now := e.upstream.rig.since()
	e.record = soak.Run{
		ID: e.id, Upstream: e.upstream.number, Arrived: now, PlannedEnd: now, Ended: now,
		Service: soakServiceOf(e.upstream.number), Instance: e.upstream.instance(),
		Altered: e.r.RequestURI != e.r.Header.Get(soakPathField),
	}
}

// finish executes the request, records the execution and answers it.
func (e *earlyRun) finish(behavior upstreamBehavior) {
	switch behavior {
	case answersEarly:
		e.recordEnd(true)
		e.answerAndReadOn([]int{http.StatusOK, http.StatusCreated}[rand.IntN(2)], soakBody(e.id, e.r.URL.Path))
		return
	case answersUnframed:
		e.recordEnd(true)
		e.answerUnframed()
		return
	}
	time.Sleep(rand.N(soakEarlyServiceTime))
	if behavior == losesAnswer {
		e.recordEnd(false)
		e.reset()
		return
	}
	complete := e.readRest()
	e.recordEnd(complete && behavior == servesEarlyStart)
	switch {
	case !complete:
	case behavior == fails:
		e.answer(http.StatusInternalServerError, "failed")
	case behavior == failsSpoiled:
		e.answerSpoiled()
	default:
		e.answer(http.StatusOK, soakBody(e.id, e.r.URL.Path))
	}
}

// recordEnd records the execution, right before its answer, which is a success or not.
func (e *earlyRun) recordEnd(success bool) {
	e.record.Ended = e.upstream.rig.since()
	e.record.Failed = !success
	e.record.Altered = e.record.Altered || !e.isUnaltered()
	e.upstream.rig.recordRun(e.record)
}

// isUnaltered reports whether the bytes that were read are those that the client has sent.
func (e *earlyRun) isUnaltered() bool {
	length, err := strconv.Atoi(e.r.Header.Get(soakLengthField))
	return err == nil && len(e.body) <= length && string(e.body) == soakRequestBody(e.id, length)[:len(e.body)]
}

// answer writes a complete answer.
func (e *earlyRun) answer(status int, body string) {
	e.w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	e.w.WriteHeader(status)
	_, _ = io.WriteString(e.w, body)
}

// answerAndReadOn writes a complete answer although a part of the body may be unread, and reads on.
func (e *earlyRun) answerAndReadOn(status int, body string) {
	if int64(len(e.body)) == e.r.ContentLength {
		e.answer(status, body)
		return
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	e.writeAndReadOn(e.rawAnswer(strconv.Itoa(status), body, length))
}

// writeAndReadOn writes an answer and reads on, so that the sender of the body receives no reset.
func (e *earlyRun) writeAndReadOn(answer string) {
	conn := e.hijack()
	if conn == nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, answer)
	_ = conn.SetReadDeadline(time.Now().Add(soakReadOn))
	_, _ = io.Copy(io.Discard, conn)
}

// rawAnswer returns an answer with any text as its status. Each of the fields ends in CR and LF.
func (e *earlyRun) rawAnswer(status, body string, fields ...string) string {
	text := "HTTP/1.1 " + status + " X\r\n"
	for name, values := range e.w.Header() {
		text += fmt.Sprintf("%s: %s\r\n", name, values[0])
	}
	for _, field := range fields {
		text += field
	}
	return text + "\r\n" + body
}

// answerUnframed writes an answer that ends with its connection.
func (e *earlyRun) answerUnframed() {
	text := e.rawAnswer("200", soakBody(e.id, e.r.URL.Path), "Connection: close\r\n")
	conn := e.hijack()
	if conn == nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(soakReadOn))
	_, _ = io.Copy(io.Discard, conn) // so that the sender receives no reset
}

// answerSpoiled writes a failure whose status is spoiled.
func (e *earlyRun) answerSpoiled() {
	const body = "failed"
	status := spoiledStatuses[rand.IntN(len(spoiledStatuses))]
	text := e.rawAnswer(status, body, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
	if conn := e.hijack(); conn != nil {
		_, _ = io.WriteString(conn, text)
		conn.Close()
	}
}

// reset resets the connection.
func (e *earlyRun) reset() {
	if conn := e.hijack(); conn != nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// hijack takes the connection over from the server. It returns nil if the connection has ended.
func (e *earlyRun) hijack() net.Conn {
	conn, _, err := http.NewResponseController(e.w).Hijack()
	if err != nil {
		return nil
	}
	return conn
}
