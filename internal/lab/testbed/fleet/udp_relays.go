package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/lab/testbed"
)

// udpRelays forwards the datagrams between sidecars. Sidecar i sends to the relay of sidecar j, and j receives the
// datagram from the relay of i. Each sidecar thus sees the others at addresses that differ from their own.
type udpRelays struct {
	size    int
	sockets []*net.UDPConn
	real    []*net.UDPAddr // the addresses of the sidecars themselves
	number  map[netip.Addr]int

	mu        sync.Mutex
	rng       *rand.Rand
	faults    Faults
	holdUntil time.Time // datagrams that are due before this moment are delayed beyond it

	Passed, Lost, Delayed, Duplicated, LargestDatagram atomic.Int64
	PassedBytes                                        atomic.Int64
}

// Faults are the faults of the network between sidecars.
type Faults struct {
	Loss, Duplicate float64
	Delay           time.Duration           // upper bound of random delays, which also reorder datagrams
	Cut             func(from, to int) bool // reports whether a link is cut; nil if none is
}

func newUDPRelays(t testbed.TB, ip func(i int) string, size int) *udpRelays {
	d := &udpRelays{size: size, number: make(map[netip.Addr]int), rng: rand.New(rand.NewPCG(1, 1))}
	for i := range size {
		relay := netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip(i), relayPort))
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(relay))
		if err != nil {
			t.Fatalf("fleet: listen for a UDP relay: %v", err)
		}
		d.sockets = append(d.sockets, c)
		d.real = append(d.real, net.UDPAddrFromAddrPort(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip(i), peerPort))))
		d.number[netip.MustParseAddr(ip(i))] = i
	}
	t.Cleanup(func() {
		for _, c := range d.sockets {
			c.Close()
		}
	})
	for to := range size {
		go d.read(to)
	}
	return d
}

// Break injects faults from now on.
func (d *udpRelays) Break(f Faults, seed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults, d.rng = f, rand.New(rand.NewPCG(seed, 3))
}

// Hold delays all datagrams until the duration t has passed.
func (d *udpRelays) Hold(t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holdUntil = time.Now().Add(t)
}

// drawDelays returns the delay of each copy of a datagram, or nil if the datagram is lost.
func (d *udpRelays) drawDelays(from, to int) (copies []time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.faults
	if f.Cut != nil && f.Cut(from, to) || d.rng.Float64() < f.Loss {
		d.Lost.Add(1)
		return nil
	}
	delay := time.Duration(0)
	if f.Delay > 0 {
		delay = time.Duration(d.rng.Int64N(int64(f.Delay)))
	}
	if left := time.Until(d.holdUntil); left > 0 {
		delay += left
	}
	if delay > 0 {
		d.Delayed.Add(1)
	}
	copies = append(copies, delay)
	if f.Duplicate > 0 && d.rng.Float64() < f.Duplicate {
		d.Duplicated.Add(1)
		copies = append(copies, delay+time.Duration(d.rng.Int64N(int64(time.Second))))
	}
	return copies
}

func (d *udpRelays) read(to int) {
	b := make([]byte, 1<<16)
	for {
		n, source, err := d.sockets[to].ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		from, known := d.number[source.Addr().Unmap()]
		if !known {
			continue
		}
		for last := d.LargestDatagram.Load(); int64(n) > last &&
			!d.LargestDatagram.CompareAndSwap(last, int64(n)); last = d.LargestDatagram.Load() {
		}
		for _, delay := range d.drawDelays(from, to) {
			d.Passed.Add(1)
			d.PassedBytes.Add(int64(n))
			if delay == 0 {
				_, _ = d.sockets[from].WriteToUDP(b[:n], d.real[to])
				continue
			}
			c := append([]byte(nil), b[:n]...)
			time.AfterFunc(delay, func() { _, _ = d.sockets[from].WriteToUDP(c, d.real[to]) })
		}
	}
}
