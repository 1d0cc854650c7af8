package controlplane

import (
	"flag"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

var (
	seed      = flag.Uint64("seed", 0, "play the history of this seed alone")
	histories = flag.Int("histories", 200, "how many are played")
)

const (
	// steps are those of one history.
	steps = 90
	// checkTimeout bounds the check of one history against the model.
	checkTimeout = 20 * time.Second
)

// TestRequestHistories plays operators that send change requests, and send them again, over a log whose
// leaders change and whose replicas lag, restart and catch up by snapshots, while answers are lost and
// copies arrive late. What the operators got must be what a single copy of the model could have
// answered.
func TestRequestHistories(t *testing.T) {
	first, n := uint64(1), *histories
	if *seed != 0 {
		first, n = *seed, 1
	}
	counts := new(answerCounts)
	for s := first; s < first+uint64(n) && !t.Failed(); s++ {
		t.Logf("seed %d", s)
		sim := newSimulation(t, s, counts)
		for range steps {
			sim.step()
		}
		sim.finish()
		model := requestModel(sim.requests, sim.start)
		if got := porcupine.CheckOperationsTimeout(model, sim.done, checkTimeout); got != porcupine.Ok {
			for _, op := range sim.done {
				t.Logf("%+v %+v", op, sim.requests[max(0, op.Input.(call).request)])
			}
			t.Fatalf("seed %d: %s", s, got)
		}
	}
	t.Logf("%d unclear, %d confirmed, %d rejected", counts[unclear], counts[confirmed], counts[rejected])
}
