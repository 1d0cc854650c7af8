package swim_test

import (
	"fmt"
	"testing"
	"time"

	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/swimsim"
)

// waitUntilSettled runs a simulated fleet until all members are in contact and their views are
// equal.
func waitUntilSettled(t *testing.T, net *swimsim.Net) {
	t.Helper()
	if !net.RunUntil(4*swim.LeaseFor(net.Size)+20*time.Second, func() bool {
		return net.InContact() == net.Size && net.Converged()
	}) {
		t.Fatalf(
			"seed %d: %d of %d members in contact after %v, views equal: %v", net.Seed, net.InContact(), net.Size,
			net.Now-time.Hour, net.Converged(),
		)
	}
}

func TestFleetSettlesAfterStart(t *testing.T) {
	for _, size := range []int{1, 2, 3, 5, 9, 40} {
		net := swimsim.New(swimsim.Config{Size: size, Seed: uint64(size)})
		start := net.Now
		waitUntilSettled(t, net)
		t.Logf("%d members settled after %v", size, net.Now-start)
	}
	_ = fmt.Sprint()
}
