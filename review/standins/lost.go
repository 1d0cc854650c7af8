package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// uploadClients is the number of clients of uploadLost, each of which sends one long request after the other.
	uploadClients = 60
	// uploadWork is how long an upstream works on a long request, from the moment when it has read readBeforeAnswer bytes
	// of the body.
	uploadWork = 50 * time.Millisecond
)

// uploadLost is the case of rule REFUSED: all upstreams begin work on a long request once they have read a part of its
// body, read the rest when the work is done, and answer then. For lossTime, half of them lose one answer in lossEvery: the
// connection is reset when the work is done. Without the disruption no answer is lost.
func uploadLost(e *environment) (broken int, err error) {
	for _, u := range e.mesh.upstreams {
		losesAnswers := u.number%2 == 0
		var served atomic.Int64
		u.respond = func(u *upstream, c net.Conn, r *http.Request) bool {
			if !readRequest(r, true) {
				return false
			}
			id := r.Header.Get(attemptIDField)
			u.begin(id)
			time.Sleep(uploadWork)
			if e.trouble && losesAnswers && served.Add(1)%lossEvery == 0 {
				e.record.printf("upstream %s: its answer to %s is lost, the connection is reset", u.instance, id)
				_ = c.(*net.TCPConn).SetLinger(0) // closing sends a reset
				return false
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return false
			}
			return writeAnswer(c, http.StatusOK, u.answerFields(id), answerBody(id))
		}
	}
	answers := sendLong(e, uploadClients, lossTime)
	return countRefusedButRun(e, answers)
}

// countRefusedButRun returns how many requests were answered with a status that promises that the request has not run
// and never will, although an upstream began work on it.
func countRefusedButRun(e *environment, answers map[string]answer) (broken int, err error) {
	executed := make(map[string]bool)
	for _, run := range e.mesh.executions() {
		executed[run.id] = true
	}
	byStatus := make(map[int]int)
	for id, got := range answers {
		byStatus[got.status]++
		switch got.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
			http.StatusMisdirectedRequest:
			if executed[id] {
				broken++
				e.record.printf("REFUSED broken: request %s has run, and its client was told %d: it has not", id, got.status)
			}
		}
	}
	e.record.printf("answers by status (0: none): %v", byStatus)
	if len(executed) == 0 {
		return 0, fmt.Errorf("no request reached an upstream")
	}
	return broken, nil
}
