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
	// lossTime is how long answers are lost: for_s of answer_lost. One answer in lossEvery is lost, at half of the
	// upstreams: x = 0.05 and share = 0.5.
	lossTime, lossEvery = 4 * time.Second, 20
	// calmTime is the time between the last lost answer and the first long request. It is longer than contactWindow.
	calmTime = 4 * time.Second
	// lossClients is the number of clients that send short requests during lossTime, every lossPause each.
	lossClients, lossPause = 6, 2 * time.Millisecond
	// resetOrders is the number of long requests, and orderBody is the length of their bodies. The upstream answers a
	// request with a longer body than readOfOrder once it has read that much.
	resetOrders, orderBody, readOfOrder = 60, 60 << 10, 16 << 10
)

// earlyReset is the case of rule TWICE: for a few seconds, half of the upstreams lose one answer in twenty by a reset of
// the connection. After that, nothing is disturbed, and non-idempotent requests with long bodies arrive, which all
// upstreams answer before they have read the whole body. Without the disruption no answer is lost before.
func earlyReset(e *environment) (broken int, err error) {
	var losing atomic.Bool
	for _, u := range e.mesh.upstreams {
		losesAnswers := u.number%2 == 0
		var served atomic.Int64
		u.respond = func(u *upstream, c net.Conn, r *http.Request) bool {
			id := r.Header.Get(attemptIDField)
			if r.ContentLength > readOfOrder {
				if _, err := io.CopyN(io.Discard, r.Body, readOfOrder); err != nil {
					return false
				}
				u.begin(id)
				return writeAnswer(c, http.StatusOK, u.answerFields(id), answerBody(id)) && drainBody(r)
			}
			if !drainBody(r) {
				return false
			}
			u.begin(id)
			if losesAnswers && losing.Load() && served.Add(1)%lossEvery == 0 {
				e.record.printf("upstream %s resets the connection instead of an answer to %s", u.instance, id)
				_ = c.(*net.TCPConn).SetLinger(0) // closing sends a reset
				return false
			}
			return writeAnswer(c, http.StatusOK, u.answerFields(id), answerBody(id))
		}
	}
	losing.Store(e.trouble)
	sendShort(e, lossTime)
	losing.Store(false)
	time.Sleep(calmTime)
	for i := range resetOrders {
		id := fmt.Sprintf("order-%d", i)
		e.record.printf("client: POST %s, %d bytes, to sidecar %d", id, orderBody, i%sidecarMachines)
		got := e.mesh.send(i%sidecarMachines, writeHost, id, orderBody)
		e.record.printf("client: %s: %v", id, got)
	}
	runs := make(map[string]int)
	for _, run := range e.mesh.executions() {
		runs[run.id]++
	}
	for id, n := range runs {
		if n > 1 {
			broken++
			e.record.printf("TWICE broken: the non-idempotent request %s, which its client sent once, was run %d times", id, n)
		}
	}
	if len(runs) == 0 {
		return 0, fmt.Errorf("no request reached an upstream")
	}
	return broken, nil
}

// sendShort sends short non-idempotent requests to all sidecars for a time. Each client keeps its connection.
func sendShort(e *environment, duration time.Duration) {
	var clients sync.WaitGroup
	defer clients.Wait()
	end := time.Now().Add(duration)
	for number := range lossClients {
		clients.Go(func() {
			c := keptConn{mesh: e.mesh, sidecar: number % sidecarMachines}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("short-%d-%d", number, i)
				got := c.send(writeHost, id, shortBody)
				e.record.printf("client: POST %s: status %d", id, got.status)
				time.Sleep(lossPause)
			}
		})
	}
}
