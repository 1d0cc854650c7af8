package emulator

import (
	"reflect"
	"testing"
	"time"
)

// played is a case's fleet from a seed, played up to a time with no rule broken; edit changes it before.
func played(t *testing.T, c *Case, seed uint64, edit func(*Config), until time.Duration) *Fleet {
	t.Helper()
	f, err := c.Fleet(seed, edit)
	if err != nil {
		t.Fatal(err)
	}
	f.Start()
	f.Run(until)
	if err := f.Err(); err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	return f
}

// Guards against anything in it that is not drawn from the seed: a map's order, a clock.
func TestTheSameSeedIsTheSameDay(t *testing.T) {
	play := func(seed uint64) []Bucket {
		return played(t, &Cases[0], seed, func(c *Config) { c.Sidecars = 10 }, 18*time.Second).Buckets()
	}
	one, two := play(3), play(3)
	if !reflect.DeepEqual(one, two) {
		t.Fatal("two runs of one seed differ")
	}
	if reflect.DeepEqual(one, play(4)) {
		t.Fatal("another seed is the same day")
	}
}

// Every request of a calm fleet is answered in time, once: what came is what became of it.
func TestACalmFleetServesAll(t *testing.T) {
	c := Case{Name: "calm", Load: 0.4, Until: strainEnds, set: func(*Fleet, *Config) {}}
	f := played(t, &c, 1, nil, 10*time.Second)
	requests, ended, inTime := 0, 0, 0
	for _, b := range f.Buckets()[:70] {
		requests += b.Requests
		inTime += b.InTime
		ended += b.InTime + b.Late + b.Refused + b.Failed
	}
	if ended != requests || float64(inTime) < 0.99*float64(requests) {
		t.Fatalf("%d requests, %d ended, %d in time", requests, ended, inTime)
	}
}

// Work is kept: a server of two cores serves what two cores can, and no more.
func TestAServerServesWhatItsCoresCan(t *testing.T) {
	c := Case{Name: "over", Load: 1.5, Until: strainEnds, set: func(*Fleet, *Config) {}}
	f := played(t, &c, 2, nil, 13*time.Second)
	done, capacity := 0.0, 0.0
	for _, b := range f.Buckets()[20:100] {
		done += float64(b.InTime+b.Late) * (b.Work / float64(max(1, b.Requests)))
		capacity += b.Capacity / 10
	}
	if done > 1.05*capacity || done < 0.5*capacity {
		t.Fatalf("%.1f s of work served of %.1f that the servers can do", done, capacity)
	}
}
