package main

import (
	"fmt"
	"time"
)

// turnawayBound is the largest ratio of the CPU time of a request that is rejected after its head to that of a served
// request.
const turnawayBound = 0.5

// measureTurnaway compares the CPU time of a request that is rejected after its head, because another request holds the
// only slot, to that of a served request.
func measureTurnaway(short bool) (string, []string, error) {
	served, err := newBench()
	if err != nil {
		return "", nil, err
	}
	defer served.close()
	full, err := newBenchOf("silent", 1, 2100)
	if err != nil {
		return "", nil, err
	}
	defer full.close()
	rounds, seconds := 7, 5.0
	if short {
		rounds, seconds = 5, 2.0
	}
	f := make(metrics)
	for round := range rounds {
		l := load{Nodes: served.addresses, Connections: 16, Seconds: seconds,
			Seed: uint64(time.Now().UnixNano()), Lenient: true}
		_, servedCPU, err := served.through(served.daemon, served.at, l)
		if err != nil {
			return "", nil, err
		}
		o, refusedCPU, err := full.through(full.daemon, full.at, l)
		if err != nil {
			return "", nil, err
		}
		if float64(o.Failed) < 0.99*float64(o.Requests) {
			return "", nil, fmt.Errorf("only %d of %d requests were rejected, want at least 99%%", o.Failed, o.Requests)
		}
		f.add("served", servedCPU)
		f.add("refused", refusedCPU)
		fmt.Printf("round %d: CPU per request served %.1f refused %.1f µs (%d refused)\n", round+1, servedCPU,
			refusedCPU, o.Failed)
	}
	ratio := f["refused"].over(f["served"])
	fmt.Println("CPU per request, rejected after the head over served:", ratio)
	var missed []string
	if ratio.median() > turnawayBound {
		missed = append(missed, fmt.Sprintf("a rejection uses %.2f of a served request's CPU time, want at most %.2f",
			ratio.median(), turnawayBound))
	}
	return fmt.Sprintf("cpu_ratio=%.3f refused_us=%.1f rounds=%d", ratio.median(), f["refused"].median(),
		rounds), missed, nil
}
