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

// recorder is a Handler that records the messages of a link.
type recorder struct {
	messages  chan swim.Message
	decisions chan []byte
}

func (r recorder) Contact(_ int, m *swim.Message)   { r.messages <- *m }
func (r recorder) Hint(int, []uint64)               {}
func (r recorder) Decision(_ int, raw []byte) error { r.decisions <- raw; return nil }

// openSocket opens a socket that plays another sidecar, or a sender that is not in the fleet.
func openSocket(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// open opens and reads a link that is member 0 of fleet "hives". rate is the send budget in bytes per second, edit
// changes the configuration and may be nil, and others are the addresses of the members from 1 on.
func open(t *testing.T, rate float64, edit func(c *Config), others ...netip.AddrPort) (*Link, recorder) {
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
	link, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	received := recorder{make(chan swim.Message, 1000), make(chan []byte, 10)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		link.Read(received)
	}()
	t.Cleanup(func() {
		link.Close()
		<-done
	})
	return link, received
}

// datagram returns a valid datagram from member 1; edit changes it and may be nil.
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

// Invalid datagrams are dropped and counted by cause; a valid datagram after them is received.
func TestInvalidDatagramsAreDropped(t *testing.T) {
	member, address := openSocket(t)
	_, other := openSocket(t)
	unknown, _ := openSocket(t)
	link, received := open(t, 1e4, nil, address, other)
	to := net.UDPAddrFromAddrPort(link.Address())
	valid := datagram(t, nil)
	long := datagram(t, func(d *peerpb.Datagram) { d.Decision = make([]byte, 200) })
	for _, b := range [][]byte{
		{}, make([]byte, 256), make([]byte, 257), make([]byte, 65507), valid[:len(valid)-1],
		append(slices.Clone(valid), 0xff), long[:100], append(long, make([]byte, 60)...),
		datagram(t, func(d *peerpb.Datagram) { d.Fleet++ }),
		datagram(t, func(d *peerpb.Datagram) { d.Form = formatVersion + 1 }),
		datagram(t, func(d *peerpb.Datagram) { d.From = 3 }),
		datagram(t, func(d *peerpb.Datagram) { d.From = 1 << 31 }),
		datagram(t, func(d *peerpb.Datagram) { d.From = 0 }),
	} {
		if _, err := member.WriteToUDP(b, to); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := unknown.WriteToUDP(valid, to); err != nil {
		t.Fatal(err)
	}
	if _, err := member.WriteToUDP(valid, to); err != nil {
		t.Fatal(err)
	}
	testbed.Until(t, "all datagrams to be read", func() bool { return link.Counters().Read == 15 })
	if m := testbed.Wait(t, "the valid datagram", received.messages); m.From != 1 ||
		m.Session != (swim.Session{Incarnation: 7, Sequence: 2}) || m.Stamp != 12 || m.Kind != swim.Ping {
		t.Errorf("received %+v, want the message of the valid datagram", m)
	}
	counters := link.Counters()
	if len(received.messages) != 0 || counters.Length != 4 || counters.OtherFleet != 1 ||
		counters.NewerFormat != 1 || counters.Address != 3 || counters.Malformed != 5 {
		t.Errorf(
			"%d more messages were received, want none; counters %+v", len(received.messages), counters,
		)
	}
}

// Any message of swim fits into a datagram, with as many of its rumours as possible, and is decoded as it was encoded.
func TestMessagesFitIntoDatagrams(t *testing.T) {
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
		raw, err := marshalFitting(
			&peerpb.Datagram{Fleet: 1, From: uint32(m.From) + 1, Life: m.Session.Incarnation}, encode(m),
		)
		if err != nil {
			t.Fatal(err)
		}
		d, err := unmarshal(raw, 1)
		if err != nil {
			t.Fatalf("unmarshalling a datagram of %d bytes: %v", len(raw), err)
		}
		got := decode(m.From, d.Life, d.Contact[0])
		if n := len(got.Rumours); n > len(m.Rumours) || n < min(5, len(m.Rumours)) ||
			!slices.Equal(got.Rumours, m.Rumours[:n]) {
			t.Fatalf("%d of %d rumours were decoded, or they differ; want at least 5 if there are as many", n, len(m.Rumours))
		}
		if got.Session != m.Session || got.Stamp != m.Stamp || got.Echo != m.Echo ||
			got.Cookie != m.Cookie || got.Target != m.Target || got.NoLease != m.NoLease {
			t.Fatalf("%+v was decoded as %+v", m, got)
		}
	})
}

// When the budget runs out, hints stop first, then decisions; messages of swim may use the whole budget, but no more.
func TestBudget(t *testing.T) {
	sent := func(priority Priority) (count int) {
		b := budget{rate: 1000}
		for b.take(time.Second, 100, priority) {
			count++
		}
		return count
	}
	if contacts, decisions, hints := sent(Contact), sent(Decision), sent(Hint); contacts != 20 || decisions != 15 ||
		hints != 10 {
		t.Errorf("a full budget sends %d contacts, %d decisions, %d hints; want 20, 15, 10", contacts, decisions, hints)
	}
	b, total := budget{rate: 1000}, 0
	for now := time.Second; now < 61*time.Second; now += time.Millisecond {
		if b.take(now, 100, Contact) {
			total += 100
		}
	}
	if total > 62_000 || total < 61_000 {
		t.Errorf("%d bytes were sent in 60 s at 1000 bytes per second, want 61000 to 62000", total)
	}
}

// A decision is received as it was sent; one that does not fit into a datagram is not sent.
func TestDecisionIsReceivedUnchanged(t *testing.T) {
	reserved, address := openSocket(t)
	reserved.Close()
	receiver, received := open(t, 1e6, nil, address)
	sender, _ := open(t, 1e6, func(c *Config) {
		c.Listen, c.Self, c.Peers = address.String(), 1, []netip.AddrPort{receiver.Address(), address}
	})
	if sender.SendDecision(0, make([]byte, MaxDatagramBytes), Urgent) {
		t.Error("a decision that does not fit into a datagram was sent")
	}
	text := []byte(strings.Repeat("policy ", 30))
	if !sender.SendDecision(0, text, Urgent) {
		t.Fatal("the decision was not sent")
	}
	if got := testbed.Wait(t, "the decision", received.decisions); !bytes.Equal(got, text) {
		t.Errorf("a decision of %d bytes was received, want the %d bytes that were sent", len(got), len(text))
	}
}

func TestAddresses(t *testing.T) {
	for _, c := range []struct {
		peers []string
		self  int
		want  string
	}{
		{nil, 0, "peers"},
		{[]string{"127.0.0.1:1"}, 1, "settings.me"},
		{[]string{"127.0.0.1:1", "x:2"}, 0, "peers[1]"},
		{[]string{"127.0.0.1:0"}, 0, "peers[0]"},
		{[]string{"127.0.0.1:1", "127.0.0.2:1", "[::ffff:127.0.0.1]:1"}, 0, "peers[2]"},
		{make([]string, swim.MaxMembers+1), 0, "peers"},
	} {
		if _, err := Addresses(c.peers, c.self); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf(
				"Addresses(%v, ...) returned error %v, want one that contains %s",
				c.peers[:min(3, len(c.peers))], err, c.want,
			)
		}
	}
	if addresses, err := Addresses([]string{"127.0.0.1:1"}, 0); err != nil || len(addresses) != 1 {
		t.Errorf("Addresses of a fleet of one returned %v, error %v", addresses, err)
	}
}

// During a flood, no more than maxReads datagrams are read in each readInterval.
func TestFloodIsLimited(t *testing.T) {
	flooder, address := openSocket(t)
	link, received := open(t, 1e4, nil, address)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-received.messages:
			case <-stop:
				return
			}
		}
	}()
	to, raw := net.UDPAddrFromAddrPort(link.Address()), datagram(t, nil)
	start := time.Now()
	for sent := 0; sent < 25_000; sent++ {
		_, _ = flooder.WriteToUDP(raw, to)
	}
	elapsed := time.Since(start)
	if read, limit := link.Counters().Read, uint64(float64(elapsed)/float64(readInterval)+2)*maxReads; read > limit {
		t.Errorf("%d datagrams were read in %v, want at most %d", read, elapsed, limit)
	}
	link.Close()
	close(stop)
	<-done
}

// Any datagram that unmarshal accepts can be processed by swim without a panic.
func FuzzUnmarshal(f *testing.F) {
	m := &swim.Message{
		From: 1, Session: swim.Session{Incarnation: 7}, Kind: swim.Ack, Echo: 9,
		Rumours: []swim.Rumour{{Member: 3, State: swim.Dead}},
	}
	raw, _ := proto.Marshal(
		&peerpb.Datagram{Fleet: 1, From: 2, Life: 7, Contact: []*peerpb.Contact{encode(m)}, Decision: []byte{1}},
	)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := unmarshal(raw, 1)
		if err != nil {
			return
		}
		host := discardHost{}
		node, err := swim.New(swim.Config{Size: 4, Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)), Host: host})
		if err != nil {
			t.Fatal(err)
		}
		node.Start(time.Hour)
		for _, c := range d.Contact {
			node.Receive(time.Hour, decode(int(d.From)-1, d.Life, c))
		}
		node.Tick(time.Hour + swim.Period)
		node.Members(time.Hour + swim.Period)
	})
}

// discardHost is a swim.Host that ignores everything.
type discardHost struct{}

func (discardHost) Send(int, *swim.Message) {}
func (discardHost) Changed(swim.Change)     {}
