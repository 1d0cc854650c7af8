package peer

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"caperarch/internal/fleet/peer/peerpb"
	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inbox keeps what a link hands over.
type inbox struct {
	messages  chan swim.Message
	decisions chan []byte
}

func (i inbox) Contact(_ int, m *swim.Message)   { i.messages <- *m }
func (i inbox) Hint(int, []uint64)               {}
func (i inbox) Decision(_ int, raw []byte) error { i.decisions <- raw; return nil }

// socket is one that stands for another sidecar, or for a stranger.
func socket(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// open opens a link that is member 0 of a fleet, unless edit says another.
func open(t *testing.T, rate float64, edit func(c *Config), others ...netip.AddrPort) (*Link, inbox) {
	t.Helper()
	cfg := Config{
		Listen:         "127.0.0.1:0",
		Peers:          append([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")}, others...),
		Fleet:          "hives",
		Incarnation:    5,
		BytesPerSecond: rate,
		Now:            clock.SinceBoot,
	}
	if edit != nil {
		edit(&cfg)
	}
	l, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	in := inbox{make(chan swim.Message, 1000), make(chan []byte, 10)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Read(in)
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
	})
	return l, in
}

func datagram(t *testing.T, edit func(d *peerpb.Datagram)) []byte {
	t.Helper()
	m := &swim.Message{From: 1, Session: swim.Session{Incarnation: 7, Sequence: 2}, Kind: swim.Ping, Stamp: 12}
	d := &peerpb.Datagram{Fleet: FleetTag("hives"), From: 2, Life: 7, Contact: []*peerpb.Contact{encode(m)}}
	if edit != nil {
		edit(d)
	}
	raw, err := proto.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// What can't be read is counted by its cause, and what comes behind it is taken.
func TestDropsWhatItCannotRead(t *testing.T) {
	one, address := socket(t)
	_, other := socket(t)
	stranger, _ := socket(t)
	l, in := open(t, 1e4, nil, address, other)
	to := net.UDPAddrFromAddrPort(l.Address())
	whole := datagram(t, nil)
	long := datagram(t, func(d *peerpb.Datagram) { d.Decision = make([]byte, 200) })
	for _, b := range [][]byte{
		{}, make([]byte, 256), make([]byte, 257), make([]byte, 65507), whole[:len(whole)-1], append(slices.Clone(whole), 0xff), long[:100], append(long, make([]byte, 60)...),
		datagram(t, func(d *peerpb.Datagram) { d.Fleet++ }),
		datagram(t, func(d *peerpb.Datagram) { d.Form = formatVersion + 1 }),
		datagram(t, func(d *peerpb.Datagram) { d.From = 3 }),
		datagram(t, func(d *peerpb.Datagram) { d.From = 1 << 31 }),
		datagram(t, func(d *peerpb.Datagram) { d.From = 0 }),
	} {
		if _, err := one.WriteToUDP(b, to); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := stranger.WriteToUDP(whole, to); err != nil {
		t.Fatal(err)
	}
	if _, err := one.WriteToUDP(whole, to); err != nil {
		t.Fatal(err)
	}
	testbed.Until(t, "all to be read", func() bool { return l.Counters().Read == 15 })
	if m := testbed.Wait(t, "what can be read", in.messages); m.From != 1 ||
		m.Session != (swim.Session{Incarnation: 7, Sequence: 2}) || m.Stamp != 12 || m.Kind != swim.Ping {
		t.Errorf("%+v", m)
	}
	c := l.Counters()
	if len(in.messages) != 0 || c.Length != 4 || c.OtherFleet != 1 || c.NewerFormat != 1 ||
		c.Address != 3 || c.Malformed != 5 {
		t.Errorf("%d more were taken; %+v", len(in.messages), c)
	}
}

// What is sent can be read by the other side, whatever is in it, and is never too long.
func TestMessagesFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &swim.Message{
			From: rapid.IntRange(0, swim.MaxMembers-1).Draw(t, "from"),
			Session: swim.Session{
				Incarnation: rapid.Uint64Min(1).Draw(t, "life"),
				Sequence:    rapid.Uint32().Draw(t, "turn"),
			},
			Kind:        swim.Kind(rapid.IntRange(1, 7).Draw(t, "kind")),
			Stamp:       rapid.Uint64().Draw(t, "stamp"),
			Echo:        rapid.Uint64().Draw(t, "echo"),
			Target:      rapid.IntRange(0, swim.MaxMembers-1).Draw(t, "about"),
			Cookie:      rapid.Uint64().Draw(t, "mark"),
			Digest:      rapid.Uint32().Draw(t, "digest"),
			MemberCount: rapid.IntRange(0, swim.MaxMembers).Draw(t, "count"), NoLease: rapid.Bool().Draw(t, "mute"),
		}
		for range rapid.IntRange(0, 20).Draw(t, "rumours") {
			m.Rumours = append(m.Rumours, swim.Rumour{
				Member: rapid.IntRange(0, swim.MaxMembers-1).Draw(t, "member"),
				Session: swim.Session{
					Incarnation: rapid.Uint64().Draw(t, "its life"),
					Sequence:    rapid.Uint32().Draw(t, "its turn"),
				},
				State:   swim.State(rapid.IntRange(0, 4).Draw(t, "state")),
				Accuser: rapid.IntRange(0, swim.MaxMembers-1).Draw(t, "by"),
			})
		}
		raw, err := fit(&peerpb.Datagram{Fleet: 1, From: uint32(m.From) + 1, Life: m.Session.Incarnation}, encode(m))
		if err != nil {
			t.Fatal(err)
		}
		d, err := read(raw, 1)
		if err != nil {
			t.Fatalf("%d bytes: %v", len(raw), err)
		}
		got := decode(m.From, d.Life, d.Contact[0])
		if n := len(got.Rumours); n > len(m.Rumours) || n < min(5, len(m.Rumours)) ||
			!slices.Equal(got.Rumours, m.Rumours[:n]) {
			t.Fatalf("%d rumours of %d", n, len(m.Rumours))
		}
		if got.Session != m.Session || got.Stamp != m.Stamp || got.Echo != m.Echo ||
			got.Cookie != m.Cookie || got.Target != m.Target || got.NoLease != m.NoLease {
			t.Fatalf("%+v became %+v", m, got)
		}
	})
}

// Hints stop first, then decisions; contact may use all there is, and no more.
func TestBudget(t *testing.T) {
	sent := func(p Priority) (n int) {
		b := budget{rate: 1000}
		for b.take(time.Second, 100, p) {
			n++
		}
		return n
	}
	if c, d, h := sent(Contact), sent(Decision), sent(Hint); c != 20 || d != 15 || h != 10 {
		t.Errorf("%d, %d, %d", c, d, h)
	}
	b, total := budget{rate: 1000}, 0
	for now := time.Second; now < 61*time.Second; now += time.Millisecond {
		if b.take(now, 100, Contact) {
			total += 100
		}
	}
	if total > 62_000 || total < 61_000 {
		t.Errorf("%d bytes in a minute", total)
	}
}

// A decision goes over a link whole; one that does not fit into a datagram is not sent.
func TestDecision(t *testing.T) {
	first, address := socket(t)
	first.Close()
	b, in := open(t, 1e6, nil, address)
	a, _ := open(t, 1e6, func(c *Config) {
		c.Listen, c.Self, c.Peers = address.String(), 1, []netip.AddrPort{b.Address(), address}
	})
	if a.SendDecision(0, make([]byte, MaxDatagramBytes), Urgent) {
		t.Error("one that does not fit was sent")
	}
	text := []byte(strings.Repeat("policy ", 30))
	if !a.SendDecision(0, text, Urgent) {
		t.Fatal("not sent")
	}
	if got := testbed.Wait(t, "the decision", in.decisions); !bytes.Equal(got, text) {
		t.Errorf("%d bytes came, of %d", len(got), len(text))
	}
}

func TestAddresses(t *testing.T) {
	for _, c := range []struct {
		peers []string
		self  int
		says  string
	}{
		{nil, 0, "peers"},
		{[]string{"127.0.0.1:1"}, 1, "settings.me"},
		{[]string{"127.0.0.1:1", "x:2"}, 0, "peers[1]"},
		{[]string{"127.0.0.1:0"}, 0, "peers[0]"},
		{[]string{"127.0.0.1:1", "127.0.0.2:1", "[::ffff:127.0.0.1]:1"}, 0, "peers[2]"},
		{make([]string, swim.MaxMembers+1), 0, "peers"},
	} {
		if _, err := Addresses(c.peers, c.self); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%v: %v, want an error that names %s", c.peers[:min(3, len(c.peers))], err, c.says)
		}
	}
	if all, err := Addresses([]string{"127.0.0.1:1"}, 0); err != nil || len(all) != 1 {
		t.Errorf("one alone: %v, %v", all, err)
	}
}

// A flood costs what readsMost allows, no more.
func TestFlood(t *testing.T) {
	one, address := socket(t)
	l, in := open(t, 1e4, nil, address)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-in.messages:
			case <-stop:
				return
			}
		}
	}()
	to, raw := net.UDPAddrFromAddrPort(l.Address()), datagram(t, nil)
	begun := time.Now()
	for sent := 0; sent < 25_000; sent++ {
		_, _ = one.WriteToUDP(raw, to)
	}
	took := time.Since(begun)
	if read, most := l.Counters().Read, uint64(float64(took)/float64(readInterval)+2)*maxReads; read > most {
		t.Errorf("%d read in %v, at most %d are allowed", read, took, most)
	}
	l.Close()
	close(stop)
	<-done
}

func FuzzRead(f *testing.F) {
	m := &swim.Message{
		From: 1, Session: swim.Session{Incarnation: 7}, Kind: swim.Ack, Echo: 9,
		Rumours: []swim.Rumour{{Member: 3, State: swim.Dead}},
	}
	raw, _ := proto.Marshal(
		&peerpb.Datagram{Fleet: 1, From: 2, Life: 7, Contact: []*peerpb.Contact{encode(m)}, Decision: []byte{1}},
	)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := read(raw, 1)
		if err != nil {
			return
		}
		host := quiet{}
		n, err := swim.New(swim.Config{Size: 4, Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)), Host: host})
		if err != nil {
			t.Fatal(err)
		}
		n.Start(time.Hour)
		for _, c := range d.Contact {
			n.Receive(time.Hour, decode(int(d.From)-1, d.Life, c))
		}
		n.Tick(time.Hour + swim.Period)
		n.Members(time.Hour + swim.Period)
	})
}

type quiet struct{}

func (quiet) Send(int, *swim.Message) {}
func (quiet) Changed(swim.Change)     {}
