package swim_test

import (
	"fmt"
	"testing"
	"time"

	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/swimsim"
)

func settled(t *testing.T, n *swimsim.Net) {
	t.Helper()
	if !n.RunUntil(4*swim.LeaseFor(n.Size)+20*time.Second, func() bool { return n.InContact() == n.Size && n.Converged() }) {
		t.Fatalf(
			"seed %d: %d of %d in contact after %v, agree %v", n.Seed, n.InContact(), n.Size,
			n.Now-time.Hour, n.Converged(),
		)
	}
}

func TestSettles(t *testing.T) {
	for _, size := range []int{1, 2, 3, 5, 9, 40} {
		n := swimsim.New(swimsim.Config{Size: size, Seed: uint64(size)})
		begun := n.Now
		settled(t, n)
		t.Logf("%d: %v", size, n.Now-begun)
	}
	_ = fmt.Sprint()
}
