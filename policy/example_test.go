package policy_test

import (
	"fmt"
	"time"

	"caperarch/policy"
)

// sidecar is the program that embeds the Balancer: it carries out the decisions.
type sidecar struct{}

func (sidecar) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	fmt.Printf("send request %d, for at most %v\n", id, timeout)
}
func (sidecar) Refuse(id policy.RequestID, retryAfter time.Duration) {
	fmt.Printf("refuse request %d\n", id)
}
func (sidecar) Fail(id policy.RequestID)                { fmt.Printf("fail request %d\n", id) }
func (sidecar) Cancel(id policy.RequestID, attempt int) {}
func (sidecar) Wake(d time.Duration)                    {} // call b.Wake after d
func (sidecar) CloseIdleConnections(to policy.ServerID) {}
func (sidecar) Probe(to policy.ServerID)                {}
func (sidecar) WatchList()                              {}
func (sidecar) Log(line string)                         { fmt.Println(line) }

func Example() {
	b, err := policy.New(policy.Config{
		Balancers:   1,
		MaxAttempts: 2,
		Slots:       1,
		Classes: []policy.Class{{
			LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1, Effect: policy.NonIdempotent,
		}},
	}, 42, sidecar{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0) // since a moment that the program chooses
	b.Start(now)
	b.List(now, policy.ListFull, []policy.Server{{ID: 7, State: policy.Ready, Weight: 1}})
	for id := range policy.RequestID(3) { // one slot and one queue slot: request 2 is refused
		b.Request(now, policy.Request{ID: id, TimeLeft: 2 * time.Second})
	}
	now += 80 * time.Millisecond
	b.Outcome(now, policy.Outcome{ID: 0, Attempt: 0, Ending: policy.Served, Finished: true})
	// Output:
	// send request 0, for at most 1s
	// refuse request 2
	// send request 1, for at most 920ms
}
