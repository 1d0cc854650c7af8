package controlplane

import (
	"flag"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

var (
	seed      = flag.Uint64("seed", 0, "run only the history with this seed")
	histories = flag.Int("histories", 200, "number of histories to run")
)

const (
	// stepsPerHistory is the number of simulation steps in one history.
	stepsPerHistory = 90
	// checkTimeout bounds the linearizability check of one history.
	checkTimeout = 20 * time.Second
)

// TestRequestHistories simulates operators that send and resend change requests to a replicated log. The
// leader changes, replicas lag behind, restart and catch up from snapshots, answers are lost, and copies
// of requests arrive late. The answers have to be linearizable: a single copy of the model could have
// given them.
func TestRequestHistories(t *testing.T) {
	first, count := uint64(1), *histories
	if *seed != 0 {
		first, count = *seed, 1
	}
	counts := new(answerCounts)
	for s := first; s < first+uint64(count) && !t.Failed(); s++ {
		t.Logf("seed %d", s)
		sim := newSimulation(t, s, counts)
		for range stepsPerHistory {
			sim.step()
		}
		sim.finish()
		model := requestModel(sim.requests, sim.start)
		if got := porcupine.CheckOperationsTimeout(model, sim.operations, checkTimeout); got != porcupine.Ok {
			for _, op := range sim.operations {
				t.Logf("%+v %+v", op, sim.requests[max(0, op.Input.(operationInput).request)])
			}
			t.Fatalf("seed %d: linearizability check returned %s", s, got)
		}
	}
	t.Logf("answers: %d undetermined, %d acknowledged, %d rejected",
		counts[undetermined], counts[acknowledged], counts[rejected])
}
