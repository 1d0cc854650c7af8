package emu

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"
)

func TestDevMass(t *testing.T) {
	days := []struct {
		name string
		m    Mass
	}{
		{"calm", CalmMass},
		{"calm.72", func() Mass { m := CalmMass; m.Load = 0.72; return m }()},
		{"flood5", func() Mass { m := CalmMass; m.Burst = 1; m.Flood = 5; return m }()},
		{"heavy", func() Mass { m := CalmMass; m.Heavy = true; return m }()},
		{"tipped", func() Mass { m := CalmMass; m.Tipped = 1; m.Burst = 1; m.BurstFor = time.Second; return m }()},
		{"fifth", func() Mass { m := CalmMass; m.Tipped = .2; m.Burst = 1; m.BurstFor = time.Second; return m }()},
		{"slow.125", func() Mass { m := CalmMass; m.Slow = .125; m.Burst = 1; return m }()},
		{"few", func() Mass { m := CalmMass; m.Sidecars = 15; m.Servers = 10; return m }()},
		{"1000x60", func() Mass { m := CalmMass; m.Sidecars = 1000; m.Servers = 60; return m }()},
		{"3x3", func() Mass { m := CalmMass; m.Sidecars = 3; m.Servers = 3; return m }()},
	}
	const seeds = 3
	out := make([][seeds]Massed, len(days))
	var wg sync.WaitGroup
	sem := make(chan bool, 4)
	for i, d := range days {
		for seed := range seeds {
			wg.Go(func() {
				sem <- true
				defer func() { <-sem }()
				o, err := d.m.Run(uint64(seed)+1, nil)
				if err != nil {
					t.Error(d.name, seed, err)
				}
				out[i][seed] = o
			})
		}
	}
	wg.Wait()
	for i, d := range days {
		fmt.Printf("%-9s", d.name)
		sum := 0.0
		for _, o := range out[i] {
			g := .55*o.InTime + .45*o.Worst
			sum += g / seeds
			fmt.Printf(" | %.3f/%.3f tr%.2f p%.2f T%-3d r%-2.0f", o.InTime, o.Worst, o.Tries, o.Probes, o.Tipped, o.Recovery)
		}
		fmt.Printf(" || %.3f\n", sum)
	}
	if os.Getenv("SECS") != "" {
		for _, s := range out[0][1].Seconds {
			fmt.Printf("%d in %.2f ref %.2f load %.2f held %d tipped %d\n", s.Requests, s.InTime, s.Refused, s.Load, s.Held, s.Tipped)
		}
	}
}
