package bulkhead

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever comes, in whatever order, with a clock that stands still or jumps: there is room for one, no room is endless or no number, and
// slower answers never bring more of it.
func TestRoomStaysSane(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(rapid.Float64Range(0, 600).Draw(t, "hold"))
		w.EvenShare = rapid.Float64Range(0, 1e9).Draw(t, "even")
		now := time.Hour
		for range rapid.IntRange(0, 100).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Hour)).Draw(t, "passes"))
			if rapid.Bool().Draw(t, "came") {
				w.RecordRequest(now)
			} else {
				w.RecordLatency(now, rapid.Float64Range(0, 1000).Draw(t, "took"))
			}
			room := w.Limit(now, 1, 1<<20)
			if !(room >= 1) || math.IsInf(room, 0) {
				t.Fatalf("room for %v", room)
			}
			slower := w
			slower.RecordLatency(now, math.Exp(w.congestion)*10+1)
			if more := slower.Limit(now, 1, 1<<20); more > room {
				t.Fatalf("room for %v, after a slower answer for %v", room, more)
			}
		}
	})
}

// What all of a fleet may hold once servers are crowded is bounded by what they asked for before, whoever asked: heavy ones have more
// room than light ones, and both less than two fifths of it where answers take twice as long.
func TestRoomFollowsOnesOwnTraffic(t *testing.T) {
	room := func(rate, took float64) float64 {
		w := New(0.06)
		w.EvenShare = 1.2
		now := time.Hour
		for range int(60 * rate) {
			now += time.Duration(float64(time.Second) / rate)
			w.RecordRequest(now)
			w.RecordLatency(now, took)
		}
		return w.Limit(now, 1, 1<<20)
	}
	light, heavy := room(4, 0.2), room(100, 0.2)
	if light > 6 || heavy < 2*light || heavy > 24 {
		t.Errorf("room for %.1f at 4 requests a second, %.1f at 100", light, heavy)
	}
	if l, h := room(4, 0.4), room(100, 0.4); l > 0.4*light || h > 0.4*heavy {
		t.Errorf("room for %.1f and %.1f, where answers take twice as long for %.1f and %.1f", light, heavy, l, h)
	}
}

// One long answer among quick ones is no crowd, slow ones are.
func TestOneLongAnswerIsNoCrowd(t *testing.T) {
	w := New(0.06)
	now := time.Hour
	for i := range 100 {
		now += 50 * time.Millisecond
		took := 0.1
		if i%10 == 0 {
			took = 1
		}
		w.RecordLatency(now, took)
		if w.Congested() && i > 20 {
			t.Fatalf("crowded at answer %d, nine of ten are quick", i)
		}
	}
	for range 16 {
		now += 50 * time.Millisecond
		w.RecordLatency(now, 0.4)
	}
	if !w.Congested() {
		t.Fatal("not crowded after 16 slow answers")
	}
}

// Guards against ten seconds in which a balancer that has just begun takes itself for an average one: seven in ten are killed in a release,
// and heavy ones refused a fifth for as long as that.
func TestOneThatJustBeganKnowsItsTrafficSoon(t *testing.T) {
	old, begun := New(0.06), New(0.06)
	old.EvenShare, begun.EvenShare = 0.3, 0.3
	now := time.Hour
	for i := range 4000 {
		now += 10 * time.Millisecond
		old.RecordRequest(now)
		if i >= 3800 { // two seconds before
			begun.RecordRequest(now)
		}
	}
	if b, o := begun.Limit(now, 1, 1<<20), old.Limit(now, 1, 1<<20); b < 0.7*o {
		t.Errorf("room for %.1f two seconds after it began, %.1f for one that knows", b, o)
	}
}

// Guards against a tenant that floods and takes all of the room: the other is let in up to its share.
func TestAFloodLeavesTheOthersTheirs(t *testing.T) {
	w := New(0.06)
	w.EvenShare = 3
	room := w.Limit(time.Hour, 0.2, 1<<20)
	out := int(room) + 1 // the flood's
	if float64(out) < w.Limit(time.Hour, 0.2, out) || float64(out) >= w.Limit(time.Hour, 0.8, 0) {
		t.Errorf("%d out: room for %.1f, for the other tenant %.1f", out, room, w.Limit(time.Hour, 0.8, 0))
	}
}
