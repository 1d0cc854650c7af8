package healthgossip

import (
	"slices"
	"testing"
	"time"
)

func TestQuorumAndFading(t *testing.T) {
	b := New(10)
	for by, want := range []bool{false, false, true} {
		b.Receive(time.Second, by, []Server{7})
		b.Receive(time.Second, by, []Server{7}) // twice is once
		if got := b.Doubted(time.Second, 7); got != want {
			t.Errorf("%d say so: %v", by+1, got)
		}
	}
	if b.Doubted(time.Second, 8) || b.Doubted(time.Second+reportTTL+1, 7) {
		t.Error("another one, or what is long ago")
	}
	if Quorum(2) != 1 || Quorum(3) != 2 || Quorum(300) != quorum {
		t.Error("quorum")
	}
}

func TestOwn(t *testing.T) {
	b := New(10)
	b.RecordAttempt(time.Second, 1, false)
	if b.Unresponsive(time.Second) != nil {
		t.Error("one failure is said")
	}
	b.RecordAttempt(2*time.Second, 1, false)
	for s := range Server(10) {
		b.RecordAttempt(3*time.Second, 10+s, false)
		b.RecordAttempt(3*time.Second+time.Duration(s), 10+s, false)
	}
	if got := b.Unresponsive(4 * time.Second); !slices.Equal(got, []Server{19, 18, 17, 16}) {
		t.Errorf("%v", got)
	}
	for s := range Server(10) {
		b.RecordAttempt(4*time.Second, 10+s, true)
	}
	if got := b.Unresponsive(4 * time.Second); !slices.Equal(got, []Server{1}) {
		t.Errorf("%v, those that answer again are out of it", got)
	}
	if got := b.Unresponsive(2*time.Second + announceTime + 1); got != nil {
		t.Errorf("%v is said for ever", got)
	}
}

// Whatever is told, what is kept is bounded, and what fades makes room.
func TestBounds(t *testing.T) {
	b := New(1000)
	for i := range 100_000 {
		b.Receive(
			time.Duration(i), i%1000,
			[]Server{Server(i), Server(i + 1), Server(i + 2), Server(i + 3), Server(i + 4)},
		)
		b.RecordAttempt(time.Duration(i), Server(i), false)
	}
	if len(b.reports) > maxReported || len(b.failures) > maxOwn {
		t.Errorf("%d and %d are kept", len(b.reports), len(b.failures))
	}
	for by := range 50 {
		b.Receive(time.Minute, by, []Server{1 << 40})
	}
	if n := len(b.reports[1<<40]); n != maxReporters || !b.Doubted(time.Minute, 1<<40) {
		t.Errorf("%d who say so are kept", n)
	}
}
