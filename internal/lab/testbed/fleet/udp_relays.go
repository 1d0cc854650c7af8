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

// udpRelays carries the datagrams between sidecars. Sidecar i sends to j's relay; j gets it from
// i's: so each finds the others at addresses that are not their own.
type udpRelays struct {
	size    int
	sockets []*net.UDPConn
	real    []*net.UDPAddr
	number  map[netip.Addr]int

	mu    sync.Mutex
	rng   *rand.Rand
	fault Faults
	held  time.Time // what comes before then goes on at that moment

	Passed, Lost, Delayed, Doubled, Longest atomic.Int64
	PassedBytes                             atomic.Int64
}

// Faults are what goes wrong between two sidecars.
type Faults struct {
	Loss, Duplicate float64
	Delay           time.Duration           // at most; it differs, so that some overtake others
	Cut             func(from, to int) bool // nil: none
}

func newUDPRelays(t testbed.TB, ip func(i int) string, size int) *udpRelays {
	d := &udpRelays{size: size, number: make(map[netip.Addr]int), rng: rand.New(rand.NewPCG(1, 1))}
	for i := range size {
		relay := netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip(i), relayPort))
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(relay))
		if err != nil {
			t.Fatalf("fleet: a relay: %v", err)
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

// Break has faults from now on.
func (d *udpRelays) Break(f Faults, seed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault, d.rng = f, rand.New(rand.NewPCG(seed, 3))
}

// Hold keeps all datagrams back for a while; they then arrive at once.
func (d *udpRelays) Hold(t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = time.Now().Add(t)
}

// fate says what becomes of a datagram: how long each copy of it takes.
func (d *udpRelays) fate(from, to int) (copies []time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.fault
	if f.Cut != nil && f.Cut(from, to) || d.rng.Float64() < f.Loss {
		d.Lost.Add(1)
		return nil
	}
	delay := time.Duration(0)
	if f.Delay > 0 {
		delay = time.Duration(d.rng.Int64N(int64(f.Delay)))
	}
	if left := time.Until(d.held); left > 0 {
		delay += left
	}
	if delay > 0 {
		d.Delayed.Add(1)
	}
	copies = append(copies, delay)
	if f.Duplicate > 0 && d.rng.Float64() < f.Duplicate {
		d.Doubled.Add(1)
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
		for last := d.Longest.Load(); int64(n) > last &&
			!d.Longest.CompareAndSwap(last, int64(n)); last = d.Longest.Load() {
		}
		for _, delay := range d.fate(from, to) {
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
