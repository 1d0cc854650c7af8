package main

import (
	"fmt"
	"time"

	"caperarch/internal/fleet/peer"
	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/swimsim"
)

// virtualFleet returns a fleet in virtual time that has run for two leases and 20 s.
func virtualFleet(size int, seed uint64, loss float64) *swimsim.Net {
	n := swimsim.New(swimsim.Config{Size: size, Seed: seed, Loss: loss, Bytes: peer.Size, BytesPerSecond: 2048,
		MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond})
	n.Run(2*swim.LeaseFor(size) + 20*time.Second)
	return n
}

// crashKnown crashes members one after the other. It returns, for each, the seconds until 95% of the other members
// counted it as dead, or -1 for more than 30 s.
func crashKnown(n *swimsim.Net, crashes int) (took samples) {
	for k := range crashes {
		i := (k*37 + 5) % n.Size
		known, need := 0, (n.Size-1)*95/100
		n.OnChange = func(_ int, c swim.Change) {
			if c.Member == i && c.State == swim.Dead {
				known++
			}
		}
		begun := n.Now
		n.Crash(i)
		if n.RunUntil(30*time.Second, func() bool { return known >= need }) {
			took.add((n.Now - begun).Seconds())
		} else {
			took.add(-1)
		}
		n.OnChange = nil
		n.Boot(i)
		n.Run(5 * time.Second)
	}
	return took
}

// quietHour runs a fleet of living members for a period of virtual time. It returns the numbers of suspicions, of false
// alarms and of lost contacts, and the bytes and datagrams sent per second and member.
func quietHour(n *swimsim.Net, d time.Duration, starved bool) (suspected, gone, lapsed int, bytes, datagrams float64) {
	first := make(map[[2]int]time.Duration) // counts a false alarm once, whatever the number of members that receive it
	n.OnChange = func(node int, c swim.Change) {
		switch {
		case c.Member == node && !c.Contact:
			lapsed++
		case c.State == swim.Suspect && c.Accuser == node:
			suspected++
		case c.State == swim.Dead:
			key := [2]int{c.Member, int(c.Session.Sequence)}
			if _, known := first[key]; !known {
				first[key] = n.Now
				gone++
			}
		}
	}
	for _, m := range n.Nodes {
		m.Bytes, m.Sends = 0, 0
	}
	if starved { // one member in ten is repeatedly stopped for 50 ms to 650 ms
		for i := 0; i < n.Size; i += 10 {
			var again func()
			again = func() {
				n.Stop(i, 50*time.Millisecond+time.Duration(n.Rng.Int64N(int64(600*time.Millisecond))))
				n.After(time.Second+time.Duration(n.Rng.Int64N(int64(2*time.Second))), again)
			}
			n.After(time.Second, again)
		}
	}
	n.Run(d)
	n.OnChange = nil
	for _, m := range n.Nodes {
		bytes += float64(m.Bytes) / d.Seconds() / float64(n.Size)
		datagrams += float64(m.Sends) / d.Seconds() / float64(n.Size)
	}
	return suspected, gone, lapsed, bytes, datagrams
}

// contactAfterStart returns the time from a simultaneous start of all members until 95% of them are in contact.
func contactAfterStart(size int, seed uint64) time.Duration {
	n := swimsim.New(swimsim.Config{Size: size, Seed: seed, MinDelay: time.Millisecond,
		MaxDelay: 20 * time.Millisecond})
	in, need := 0, max(1, size*95/100)
	n.OnChange = func(node int, c swim.Change) {
		if c.Member == node && c.Contact {
			in++
		} else if c.Member == node {
			in--
		}
	}
	begun := n.Now
	n.RunUntil(10*swim.LeaseFor(size), func() bool { return in >= need })
	return n.Now - begun
}

// measureVast measures membership of a fleet of thousands in virtual time. The views of 2,000 members take 1 GiB.
func measureVast(short bool) (string, []string, error) {
	size := 2000 // 5,000 members took 7 GiB and did not finish in 12 minutes
	if short {
		size = 500
	}
	n := virtualFleet(size, 1, 0)
	in := n.InContact()
	_, gone, lapsed, bytes, datagrams := quietHour(n, 20*time.Second, false)
	known := crashKnown(n, 3)
	fmt.Printf("virtual, %d sidecars: lease %v, %d in contact two leases and 20 s after a start; %d "+
		"false alarms and %d losses of contact in 20 s, %.0f bytes in %.1f datagrams per second and member; a crash "+
		"known to 95%% after %v s\n",
		size, swim.LeaseFor(size), in, gone, lapsed, bytes, datagrams, known)
	var missed []string
	if gone > 0 || known.at(0) < 0 {
		missed = append(missed, "a living member was declared dead, or a crash was not known within 30 s")
	}
	return fmt.Sprintf("sidecars=%d in_contact=%d known=%.2f bytes=%.0f", size, in, known.max(), bytes), missed, nil
}
