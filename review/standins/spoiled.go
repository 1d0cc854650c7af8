package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// spoilTime is how long answers are spoiled: for_s = 5.5 of garble. Its share of 0.35 is one of the four upstreams.
	spoilTime = 5500 * time.Millisecond
	// failEvery is the number of requests of which an upstream fails one: error_share = 0.004. firstFailure is the number of
	// the first one that it fails, so that a slow machine sees one, too.
	failEvery, firstFailure = 250, 125
	// spoilClients is the number of clients, and spoilPause is the time between two requests of one.
	spoilClients, spoilPause = 12, 8 * time.Millisecond
	// spoiledStatus takes the place of the digits of the status in a spoiled answer. It is no status of the protocol.
	spoiledStatus = "000"
)

// spoiledFailure is the case of rule MIXED: each upstream fails one request in failEvery and answers it with a status of 500,
// its stamp and a body. One upstream spoils these answers: zeros take the place of the digits of the status. Without the
// disruption no answer is spoiled.
func spoiledFailure(e *environment) (broken int, err error) {
	var failed sync.Map // ids of the requests that an upstream answered with a failure
	for _, u := range e.mesh.upstreams {
		spoils := e.trouble && u.number == 0
		var served atomic.Int64
		u.respond = func(u *upstream, c net.Conn, r *http.Request) bool {
			if !drainBody(r) {
				return false
			}
			id := r.Header.Get(attemptIDField)
			u.begin(id)
			if served.Add(1)%failEvery != firstFailure {
				return writeAnswer(c, http.StatusOK, u.answerFields(id), answerBody(id))
			}
			failed.Store(id, true)
			status := strconv.Itoa(http.StatusInternalServerError)
			if spoils {
				status = spoiledStatus
			}
			e.record.printf("upstream %s: request %s has failed; the status line of its answer has %s", u.instance, id, status)
			body := "failed: " + id
			_, err := fmt.Fprintf(c, "HTTP/1.1 %s Internal Server Error\r\n%sContent-Length: %d\r\n\r\n%s",
				status, u.answerFields(id), len(body), body)
			return err == nil
		}
	}
	answers := sendShortOrders(e)
	failures := 0
	failed.Range(func(key, _ any) bool {
		failures++
		id := key.(string)
		got := answers[id]
		e.record.printf("the client of %s, which has failed, received: %v", id, got)
		if got.status/100 == 2 {
			broken++
			e.record.printf("MIXED broken: the upstream answered %s with a failure, and its client received a success", id)
		}
		return true
	})
	if failures == 0 {
		return 0, fmt.Errorf("no request has failed")
	}
	return broken, nil
}

// sendShortOrders sends short non-idempotent requests to all sidecars for spoilTime, and returns their answers by id.
func sendShortOrders(e *environment) map[string]answer {
	end := time.Now().Add(spoilTime)
	var mu sync.Mutex
	answers := make(map[string]answer)
	var running sync.WaitGroup
	for client := range spoilClients {
		running.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("order-%d-%d", client, i)
				got := e.mesh.send((client+i)%sidecarMachines, writeHost, id, shortBody)
				e.record.printf("client: POST %s: status %d", id, got.status)
				mu.Lock()
				answers[id] = got
				mu.Unlock()
				time.Sleep(spoilPause)
			}
		})
	}
	running.Wait()
	return answers
}
