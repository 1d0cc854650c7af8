package healthgossip

import (
	"slices"
	"testing"
	"time"
)

func TestQuorumAndFading(t *testing.T) {
	b := New(10)
	for by, want := range []bool{false, false, true} {
		b.Heard(time.Second, by, []Server{7})
		b.Heard(time.Second, by, []Server{7}) // twice is once
		if got := b.Doubted(time.Second, 7); got != want {
			t.Errorf("%d say so: %v", by+1, got)
		}
	}
	if b.Doubted(time.Second, 8) || b.Doubted(time.Second+fadeTime+1, 7) {
		t.Error("another one, or what is long ago")
	}
	if Quorum(2) != 1 || Quorum(3) != 2 || Quorum(300) != quorum {
		t.Error("quorum")
	}
}

func TestOwn(t *testing.T) {
	b := New(10)
	b.Ended(time.Second, 1, false)
	if b.Silent(time.Second) != nil {
		t.Error("one failure is said")
	}
	b.Ended(2*time.Second, 1, false)
	for s := range Server(10) {
		b.Ended(3*time.Second, 10+s, false)
		b.Ended(3*time.Second+time.Duration(s), 10+s, false)
	}
	if got := b.Silent(4 * time.Second); !slices.Equal(got, []Server{19, 18, 17, 16}) {
		t.Errorf("%v", got)
	}
	for s := range Server(10) {
		b.Ended(4*time.Second, 10+s, true)
	}
	if got := b.Silent(4 * time.Second); !slices.Equal(got, []Server{1}) {
		t.Errorf("%v, those that answer again are out of it", got)
	}
	if got := b.Silent(2*time.Second + sayTime + 1); got != nil {
		t.Errorf("%v is said for ever", got)
	}
}

// Whatever is told, what is kept is bounded, and what fades makes room.
func TestBounds(t *testing.T) {
	b := New(1000)
	for i := range 100_000 {
		b.Heard(time.Duration(i), i%1000, []Server{Server(i), Server(i + 1), Server(i + 2), Server(i + 3), Server(i + 4)})
		b.Ended(time.Duration(i), Server(i), false)
	}
	if len(b.heard) > heardMost || len(b.own) > ownMost {
		t.Errorf("%d and %d are kept", len(b.heard), len(b.own))
	}
	for by := range 50 {
		b.Heard(time.Minute, by, []Server{1 << 40})
	}
	if n := len(b.heard[1<<40]); n != byMost || !b.Doubted(time.Minute, 1<<40) {
		t.Errorf("%d who say so are kept", n)
	}
}
