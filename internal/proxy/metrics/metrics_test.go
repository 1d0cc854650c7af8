package metrics

import (
	"fmt"
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// All series exist from the start with the value 0, the Prometheus parser accepts the text, and the series show the
// counts.
func TestText(t *testing.T) {
	s := new(Set)
	c := s.Classes(map[string]int{"a\"b": 1, "c": 0})
	defer s.AddUpstreams(func() (int, int) { return 7, 2 })()
	read := func() map[string]float64 {
		t.Helper()
		var b strings.Builder
		if err := s.Snapshot().WriteText(&b); err != nil {
			t.Fatal(err)
		}
		p := expfmt.NewTextParser(model.UTF8Validation)
		all, err := p.TextToMetricFamilies(strings.NewReader(b.String()))
		if err != nil {
			t.Fatalf("Prometheus parser returned error %v for\n%s", err, b.String())
		}
		got := make(map[string]float64)
		for name, f := range all {
			for _, m := range f.Metric {
				key := name
				for _, l := range m.Label {
					key += "," + l.GetName() + "=" + l.GetValue()
				}
				got[key] = m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
		return got
	}
	if got := read(); len(got) != 10 || got["edge_known_upstreams"] != 7 || got["edge_skipped_upstreams"] != 2 {
		t.Errorf("series at the start are %v, want 10 with 7 known and 2 skipped upstreams", got)
	}
	c[1].RequestStarted()
	c[1].CountOutcome(Dropped)
	s.CountAttempt()
	got := read()
	for key, want := range map[string]float64{
		`edge_handled_total,category=a"b,outcome=dropped`: 1, `edge_handled_total,category=c,outcome=dropped`: 0,
		"edge_in_progress": 1, "edge_upstream_tries_total": 1,
	} {
		if v, ok := got[key]; !ok || v != want {
			t.Errorf("series %s has value %v, present %v, want %v", key, v, ok, want)
		}
	}
	s.SetPeers(func() Peers {
		return Peers{Members: map[string]int{"alive": 8, "gone": 1}, Contact: true, Sidecars: 10, SentBytes: 5, Dropped: 2}
	})
	peers := read()
	for key, want := range map[string]float64{
		"edge_peers,state=alive": 8, "edge_peers,state=gone": 1, "edge_peers_in_contact": 1, "edge_peers_sidecars": 10,
		"edge_peer_sent_bytes_total": 5,
		"edge_peer_dropped_total":    2,
	} {
		if v, ok := peers[key]; !ok || v != want {
			t.Errorf("series %s has value %v, present %v, want %v", key, v, ok, want)
		}
	}
	if line := fmt.Sprintf("%+v", s.Snapshot()); !strings.Contains(line, "Contact:true") {
		t.Errorf("formatted snapshot is %s, want the field Contact", line)
	}
	s.SetPeers(nil)
	again := s.Classes(map[string]int{"c": 0}) // another pool with a class of the same name
	again[0].CountOutcome(Passed)
	if got := read(); got["edge_handled_total,category=c,outcome=passed"] != 1 || len(got) != 10 {
		t.Errorf("series are %v, want 10 with 1 passed request in the shared class", got)
	}
}
