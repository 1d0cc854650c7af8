package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"caperarch/internal/lab/emulator"
	"caperarch/internal/proxy/admission"
	"caperarch/internal/proxy/admission/weighed"
)

// strainGates are the admission algorithms to compare: the module's current algorithm, its previous one, and others.
var strainGates = []struct {
	name string
	make func(rng *rand.Rand) admission.Gate
}{
	{"module", nil},
	{"ratio", func(rng *rand.Rand) admission.Gate { return admission.NewRatio(rng) }},
	{"sre K=2 2s", func(rng *rand.Rand) admission.Gate { return weighed.NewSRE(rng, 2, 2*time.Second) }},
	{"sre K=1.5 10s", func(rng *rand.Rand) admission.Gate { return weighed.NewSRE(rng, 1.5, 10*time.Second) }},
	{"aimd", func(*rand.Rand) admission.Gate { return weighed.NewAIMD() }},
	{"gradient", func(*rand.Rand) admission.Gate { return weighed.NewGradient() }},
	{"codel", func(*rand.Rand) admission.Gate { return weighed.NewCoDel() }},
	{"none", func(*rand.Rand) admission.Gate { return all{} }},
}

// all is a gate that admits every request.
type all struct{}

// Admit admits every request.
func (all) Admit(time.Duration, float64) bool { return true }

// AttemptStarted does nothing.
func (all) AttemptStarted(time.Duration) {}

// AttemptEnded does nothing.
func (all) AttemptEnded(time.Duration, admission.AttemptEnd) {}

// measureStrain runs the cases of overload in virtual time, with each of the admission algorithms.
func measureStrain(short bool) (string, []string, error) {
	seeds, gates := 5, strainGates
	if short {
		seeds, gates = 2, strainGates[:2]
	}
	var missed []string
	worst := 0.0
	for i := range emulator.Cases {
		s := &emulator.Cases[i]
		fmt.Println(s.Name)
		var lines []series
		for _, g := range gates {
			f := make(metrics)
			for seed := range seeds {
				o, err := s.Run(uint64(seed+1), g.make)
				if err != nil {
					return "", nil, fmt.Errorf("%s, %s, seed %d: %w", s.Name, g.name, seed+1, err)
				}
				f.add("earned", o.Earned)
				f.add("after", o.After)
				f.add("recovery", o.Recovery)
				f.add("quiet", o.OtherTenant)
				f.add("attempts", o.Attempts)
				f.add("swing", o.Swing)
				if seed == 0 {
					lines = append(lines, strainLines(g.name, o.Series, len(lines) == 0)...)
				}
			}
			fmt.Printf("  %-14s earned %v, after %v, recovery %v s, other tenant %v, attempts %v, swing %v\n", g.name,
				f["earned"], f["after"], f["recovery"], f["quiet"], f["attempts"], f["swing"])
			if g.make == nil {
				worst = max(worst, f["recovery"].median())
				if f["recovery"].median() > 1 {
					missed = append(missed,
						fmt.Sprintf("%s: %.1f s until no request is refused, want at most 1 s",
							s.Name, f["recovery"].median()))
				}
			}
		}
		name := "strain-" + strings.NewReplacer(" ", "-", ",", "").Replace(s.Name) + ".svg"
		if err := plotLines(name, s.Name, "share", lines...); err != nil {
			return "", nil, err
		}
	}
	return fmt.Sprintf("recovery_worst_s=%.1f cases=%d seeds=%d", worst, len(emulator.Cases), seeds), missed, nil
}

// strainLines returns lines for a plot of a run, with a point per half second: the share of requests that were
// throttled and, if capacity is set, the capacity relative to its maximum.
func strainLines(name string, buckets []emulator.Bucket, capacity bool) (lines []series) {
	const each = 5
	turned, able := series{name + ": turned away", 0.5, nil}, series{"capacity", 0.5, nil}
	most := 0.0
	for _, b := range buckets {
		most = max(most, b.Capacity)
	}
	for i := 0; i+each <= len(buckets); i += each {
		throttled, asked, sum := 0, 0, 0.0
		for _, b := range buckets[i : i+each] {
			throttled, asked, sum = throttled+b.Throttled, asked+b.Requests, sum+b.Capacity
		}
		turned.values = append(turned.values, float64(throttled)/float64(max(1, asked)))
		able.values = append(able.values, sum/each/most)
	}
	if capacity {
		lines = append(lines, able)
	}
	return append(lines, turned)
}
