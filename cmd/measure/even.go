package main

import (
	"fmt"
	"math"
	"time"

	"caperarch/internal/lab/emulator"
	"caperarch/internal/lab/loadspread"
)

// Bounds that operators require with 300 sidecars.
const (
	evenVariance = 0.5  // variance over mean of requests per upstream in windows of 10 s; random choice gives 1
	evenGreatest = 1.25 // largest number of requests of an upstream over the mean
)

// measureEven measures in virtual time how evenly many sidecars with little traffic each distribute their requests.
func measureEven(short bool) (string, []string, error) {
	days, seeds := []emulator.SpreadRun{
		{Sidecars: 40, Servers: 40, RatePerSidecar: 4}, {Sidecars: 24, Servers: 12, RatePerSidecar: 5},
		{Sidecars: 300, Servers: 60, RatePerSidecar: 1}, {Sidecars: 300, Servers: 60, RatePerSidecar: 4},
		{Sidecars: 300, Servers: 60, RatePerSidecar: 10}, {Sidecars: 300, Servers: 200, RatePerSidecar: 4},
		{Sidecars: 300, Servers: 60, RatePerSidecar: 4, Heavy: true}, {Sidecars: 1000, Servers: 60, RatePerSidecar: 1},
		{Sidecars: 5000, Servers: 200, RatePerSidecar: 1},
	}, uint64(5)
	if short {
		days, seeds = days[:4], 2
	}
	var missed []string
	worst := 0.0
	for _, d := range days {
		d.Until = 70 * time.Second
		var brief, long, greatest, alike, chance, chanceMost, limit samples
		for seed := range seeds {
			all, weights, err := d.Run(seed)
			if err != nil {
				return "", nil, err
			}
			from, window := 10*time.Second, 10*time.Second
			brief.add(loadspread.Measure(all, weights, from, d.Until, time.Second).Variance)
			now := loadspread.Measure(all, weights, from, d.Until, window)
			long.add(now.Variance)
			greatest.add(now.Greatest)
			r := loadspread.Measure(loadspread.Random(all, weights, seed), weights, from, d.Until, window)
			chance.add(r.Variance)
			chanceMost.add(r.Greatest)
			limit.add(loadspread.Measure(loadspread.RoundRobin(all, weights), weights, from, d.Until, window).Variance)
			if len(all) < 100_000 {
				alike.add(loadspread.Coincidence(all, weights, 50*time.Millisecond))
			}
		}
		fmt.Printf("%d sidecars at %.0f/s before %d, heavy %v: variance over mean %v in 1 s, %v in 10 s "+
			"(chance %v, one round robin %v); greatest over mean %v (chance %v); alike within 50 ms %v\n",
			d.Sidecars, d.RatePerSidecar, d.Servers, d.Heavy, brief, long, chance, limit, greatest, chanceMost, alike)
		if d.Sidecars == 300 {
			worst = max(worst, long.median())
			if long.median() > evenVariance || greatest.median() > evenGreatest {
				missed = append(missed, fmt.Sprintf("%d sidecars at %.0f/s before %d, heavy %v: variance %.2f, "+
					"greatest %.2f; want at most %v and %v", d.Sidecars, d.RatePerSidecar, d.Servers, d.Heavy, long.median(),
					greatest.median(), evenVariance, evenGreatest))
			}
		}
	}
	return fmt.Sprintf("seeds=%d worst_variance_10s=%.2f", seeds, worst), missed, nil
}

// measureEvenReal is like measureEven with real processes. It also measures earlierBinary, if set.
func measureEvenReal(short bool) (string, []string, error) {
	binary, end, err := tempDaemon()
	if err != nil {
		return "", nil, err
	}
	defer end()
	var missed []string
	worst := 0.0
	days, warm, length, rounds := []evenReal{
		{sidecars: 300, nodes: 60, each: 4}, {sidecars: 300, nodes: 60, each: 4, dead: 0.1, peers: true},
		{sidecars: 300, nodes: 60, each: 4, dead: 0.1}, {sidecars: 300, nodes: 60, each: 4, heavy: true},
	}, 20*time.Second, 30*time.Second, uint64(1)
	if short {
		days, warm, length = []evenReal{{sidecars: 40, nodes: 12, each: 4}}, 3*time.Second, 10*time.Second
	}
	for _, d := range days {
		var now, then evenResult
		for d.seed = range rounds {
			if err := d.run(binary, warm, length, &now); err != nil {
				return "", nil, err
			}
			if earlierBinary != "" && !d.peers {
				if err := d.run(earlierBinary, warm, length, &then); err != nil {
					return "", nil, err
				}
			}
		}
		name := fmt.Sprintf("real, %d processes at %.0f/s before %d, heavy %v, %.0f%% dead, peers %v",
			d.sidecars, d.each, d.nodes, d.heavy, 100*d.dead, d.peers)
		fmt.Printf("%s: %v\n", name, &now)
		if len(then.long) > 0 {
			fmt.Printf("  the release before: %v\n", &then)
		}
		worst = max(worst, now.long.median())
		if !short && (now.long.median() > evenVariance || now.greatest.median() > evenGreatest) {
			missed = append(missed, fmt.Sprintf("%s: variance %.2f, greatest %.2f; want at most %v and %v", name,
				now.long.median(), now.greatest.median(), evenVariance, evenGreatest))
		}
	}
	return fmt.Sprintf("worst_variance_10s=%.2f", worst), missed, nil
}

const (
	evenMaxRecovery = 3 * time.Second // longest time until an affected upstream has half of its share of requests again
	evenMaxHerd     = 1.0             // largest-over-mean ratio of the worst second, relative to random choice
	eventFleets     = 3               // fleets that run in parallel
)

// measureEvenEvents measures the distribution of requests after events that all sidecars notice at about the same time,
// in virtual time and with real processes under faults.
func measureEvenEvents(short bool) (string, []string, error) {
	day, e, seeds := emulator.SpreadRun{Sidecars: 300, Servers: 60, RatePerSidecar: 4, Until: 70 * time.Second},
		evenReal{sidecars: 60, nodes: 12, each: 6, peers: true}, uint64(5)
	if short {
		seeds = 1
	}
	var missed []string
	worst, longest := 0.0, time.Duration(0)
	report := func(where, name string, all []emulator.EventResult) {
		var herd, idle, back samples
		for _, b := range all {
			herd.add(b.Worst / b.Chance)
			idle.add(b.Idle)
			if b.Recovery < 0 {
				back.add(math.Inf(1))
			} else {
				back.add(b.Recovery.Seconds())
			}
		}
		fmt.Printf("%s, %s: greatest over mean in the worst second, over chance's %v; idle %v; back after %v s\n",
			where, name, herd, idle, back)
		worst, longest = max(worst, herd.median()),
			max(longest, time.Duration(min(back.median(), 999)*float64(time.Second)))
		if herd.median() > evenMaxHerd || idle.median() > 0.01 || back.median() > evenMaxRecovery.Seconds() {
			missed = append(missed, fmt.Sprintf("%s, %s: herd %.2f, idle %.3f, back after %.0f s", where,
				name, herd.median(), idle.median(), back.median()))
		}
	}
	for _, event := range emulator.SpreadEvents(day.Servers) {
		var all []emulator.EventResult
		for seed := range seeds {
			day.Event = &event
			arrivals, _, err := day.Run(seed)
			if err != nil {
				return "", nil, err
			}
			all = append(all, event.Evaluate(arrivals, day.Servers, day.Until, seed))
		}
		report("virtual", event.Name, all)
	}
	if !short {
		binary, end, err := tempDaemon()
		if err != nil {
			return "", nil, err
		}
		defer end()
		seen, err := evenEvents(binary, e, eventFleets)
		if err != nil {
			return "", nil, err
		}
		for _, event := range emulator.SpreadEvents(e.nodes) {
			report(fmt.Sprintf("real, %d processes", e.sidecars), event.Name, []emulator.EventResult{seen[event.Name]})
		}
	}
	return fmt.Sprintf("seeds=%d herd=%.2f back=%.0f", seeds, worst, longest.Seconds()), missed, nil
}
