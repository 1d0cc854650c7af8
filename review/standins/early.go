package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unframedEvery is the number of requests of which an affected upstream answers one without a length: x is below 0.03.
	unframedEvery = 34
	// unframedClients is the number of clients, and unframedTime is how long they send: for_s of garble.
	unframedClients, unframedTime = 60, 5 * time.Second
	// createdTime is how long the client of earlyCreated sends.
	createdTime = 5 * time.Second
	// longBody is the length of the requests' bodies. readBeforeAnswer is how much of one the upstream reads before it
	// answers early.
	longBody, readBeforeAnswer = 320 << 10, 96 << 10
	// lateReads is how long the upstream reads on after it has ended its answer.
	lateReads = 2 * time.Second
)

// readRequest reads the part of a body that an upstream wants before it answers: a part of it if early is set, all of
// it otherwise. It returns false if the sender broke off before.
func readRequest(r *http.Request, early bool) bool {
	if !early {
		return drainBody(r)
	}
	_, err := io.CopyN(io.Discard, r.Body, readBeforeAnswer)
	return err == nil
}

// earlyUnframed is the case of rule REFUSED: half of the upstreams answer one long request in unframedEvery before they
// have read the whole body, with an answer that has no length and ends with its connection. Without the disruption they
// read the whole body first.
func earlyUnframed(e *environment) (broken int, err error) {
	for _, u := range e.mesh.upstreams {
		affected := u.number%2 == 0
		var served atomic.Int64
		u.respond = func(u *upstream, c net.Conn, r *http.Request) bool {
			unframed := affected && served.Add(1)%unframedEvery == 0
			if !readRequest(r, unframed && e.trouble) {
				return false
			}
			id := r.Header.Get(attemptIDField)
			u.begin(id)
			if !unframed {
				return writeAnswer(c, http.StatusOK, u.answerFields(id), answerBody(id))
			}
			e.record.printf("upstream %s answers %s with 200 and no length; the body was read whole: %v", u.instance, id, !e.trouble)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+u.answerFields(id)+"Connection: close\r\n\r\n"+answerBody(id))
			_ = c.(*net.TCPConn).CloseWrite()
			_ = c.SetReadDeadline(time.Now().Add(lateReads))
			_, _ = io.Copy(io.Discard, r.Body) // reads on, so that the sender gets no reset
			return false
		}
	}
	answers := sendLong(e, unframedClients, unframedTime)
	return countRefusedButRun(e, answers)
}

// earlyCreated is the case of rule MIXED: an upstream answers a long request with 201 and a short body before it has
// read the whole request, keeps the connection and reads on. Without the disruption it reads the whole request first.
func earlyCreated(e *environment) (broken int, err error) {
	for _, u := range e.mesh.upstreams {
		u.respond = func(u *upstream, c net.Conn, r *http.Request) bool {
			if !readRequest(r, e.trouble) {
				return false
			}
			id := r.Header.Get(attemptIDField)
			u.begin(id)
			return writeAnswer(c, http.StatusCreated, u.answerFields(id), answerBody(id)) && drainBody(r)
		}
	}
	successes := 0
	for id, got := range sendLong(e, 1, createdTime) {
		if got.status/100 != 2 {
			continue
		}
		successes++
		if got.signature != signature(id) || got.body != answerBody(id) {
			broken++
			e.record.printf("MIXED broken: the success for request %s has the body %q, and the upstream sent %q",
				id, got.body, answerBody(id))
		}
	}
	if !e.trouble && successes == 0 {
		return 0, fmt.Errorf("no request was answered with success")
	}
	return broken, nil
}

// sendLong sends long non-idempotent requests by a number of clients for a time, and returns their answers by id.
func sendLong(e *environment, clients int, duration time.Duration) map[string]answer {
	end := time.Now().Add(duration)
	var mu sync.Mutex
	answers := make(map[string]answer)
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("order-%d-%d", client, i)
				sidecar := (client + i) % sidecarMachines
				e.record.printf("client: POST %s, %d bytes, to sidecar %d", id, longBody, sidecar)
				got := e.mesh.send(sidecar, writeHost, id, longBody)
				e.record.printf("client: %s: %v", id, got)
				mu.Lock()
				answers[id] = got
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return answers
}
