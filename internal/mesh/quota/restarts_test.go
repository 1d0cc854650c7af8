package quota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// largeFleetRestarts define which sidecars restart at a time of the scenario.
var largeFleetRestarts = []struct {
	name     string
	restarts func(s *simulation, at time.Duration, sidecar int) bool
}{
	{"all sidecars, three times within four seconds", func(_ *simulation, at time.Duration, _ int) bool {
		return at == 12*second || at == 14*second || at == 16*second
	}},
	{"one sidecar every 100 ms", func(s *simulation, at time.Duration, sidecar int) bool {
		return at > 6*second && at%(100*ms) == 0 && int(at/(100*ms))%len(s.limiters) == sidecar
	}},
	{"a third of the sidecars every second", func(s *simulation, at time.Duration, _ int) bool {
		return at > 6*second && at%second == 0 && s.rng.IntN(3) == 0
	}},
}

func TestLargeFleetKeepsLimitsThroughRestarts(t *testing.T) {
	for _, c := range largeFleetRestarts {
		Convey("A surging tenant keeps its limit while some of 82 sidecars restart: "+c.name, t, func() {
			for _, rank := range []int{0, 20, 60} {
				s, surging := newLargeFleet(uint64(rank+1)), tenantOfRank(rank)
				limit := s.limits[surging]
				s.limits = map[string]Limit{surging: limit}
				s.configure(0)
				s.demandFactor = surgeFrom(5*second, surging)
				s.onTick = func(now time.Duration) {
					for i := range s.limiters {
						if c.restarts(s, now-trafficStart, i) {
							s.restart(now, i)
							s.inFlightUntil[i] = 0
						}
					}
				}
				s.run(0, 22*second)
				message := fmt.Sprintf("rate %.0f over the limit", limit.Rate)
				SoMsg(message, s.excess(surging, limit), ShouldBeLessThanOrEqualTo, 0)
			}
		})
	}
}
