package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
)

// prefix is the prefix of all metric names.
const prefix = "edge_"

// WriteText writes the metrics in the Prometheus text format.
func (s Snapshot) WriteText(to io.Writer) error {
	handled := family("handled_total", "Requests that have their final answer, by class and outcome.",
		dto.MetricType_COUNTER)
	for _, class := range slices.Sorted(maps.Keys(s.Handled)) {
		for o, n := range s.Handled[class] {
			outcome := label("outcome", Outcome(o).String())
			handled.Metric = append(handled.Metric, counter(n, label("category", class), outcome))
		}
	}
	tries := family("upstream_tries_total", "Attempts written whole to upstreams.", dto.MetricType_COUNTER)
	tries.Metric = []*dto.Metric{counter(s.Tries)}
	all := []*dto.MetricFamily{
		handled, tries,
		gauge("in_progress", "Requests taken and not ended.", float64(s.InProgress)),
		gauge("known_upstreams", "Upstreams in the list.", float64(s.Known)),
		gauge("skipped_upstreams", "Listed upstreams that are avoided now, by hand or by choice.", float64(s.Skipped)),
	}
	if s.Peers != nil {
		all = append(all, s.Peers.families()...)
		if s.Peers.Policy != nil {
			all = append(all, s.Peers.Policy.families()...)
		}
	}
	for _, f := range all {
		if len(f.Metric) == 0 { // a family without a series is not valid, which is the case without classes
			continue
		}
		if _, err := expfmt.MetricFamilyToText(to, f); err != nil {
			return fmt.Errorf("write metric %s: %w", f.GetName(), err)
		}
	}
	return nil
}

// families returns the metrics of a fleet.
func (p *Peers) families() []*dto.MetricFamily {
	members := gauges("peers", "Other sidecars of the fleet, by what is held of them.", "state", p.Members)
	contact := 0.0
	if p.Contact {
		contact = 1
	}
	bytes := family("peer_sent_bytes_total", "Bytes sent to other sidecars.", dto.MetricType_COUNTER)
	bytes.Metric = []*dto.Metric{counter(p.SentBytes)}
	dropped := family("peer_dropped_total", "Datagrams of other sidecars, or of strangers, that could not be read.",
		dto.MetricType_COUNTER)
	dropped.Metric = []*dto.Metric{counter(p.Dropped)}
	return []*dto.MetricFamily{
		members,
		gauge("peers_in_contact", "1 while a majority of the fleet answers this sidecar.", contact),
		gauge("peers_sidecars", "Sidecars that there are at least: what budgets are divided by.", float64(p.Sidecars)),
		bytes,
		dropped,
	}
}

// families returns the metrics of a fleet's common policy.
func (p *Policy) families() []*dto.MetricFamily {
	goes := family("policy_goes_by", "1 for what this sidecar goes by: one version, the stricter of both, or cut off.",
		dto.MetricType_GAUGE)
	for _, mode := range []string{"one", "both", "cut off"} {
		v := 0.0
		if mode == p.Goes {
			v = 1
		}
		goes.Metric = append(goes.Metric, gaugeMetric(v, label("mode", mode)))
	}
	changes := family("policy_changes_total", "Changes of policy that were heard of, by outcome.", dto.MetricType_COUNTER)
	for _, outcome := range slices.Sorted(maps.Keys(p.Changes)) {
		changes.Metric = append(changes.Metric, counter(p.Changes[outcome], label("outcome", outcome)))
	}
	return []*dto.MetricFamily{
		gauges("work_machines", "Upstreams with a turn that is not over, by how far it is.", "phase", p.Work.Machines),
		gauge("work_plans", "Plans of work that have not ended.", float64(p.Work.Plans)),
		gauge("work_plans_paused", "Plans of work that are paused: somebody has to look.", float64(p.Work.Paused)),
		gauge("work_turn", "Number of the last turn that was given.", float64(p.Work.Turn)),
		gauge("policy_version", "Version of the policy that holds, as far as this sidecar knows.", float64(p.Holds)),
		gauge("policy_under_way", "Version that is under way; 0: none is.", float64(p.UnderWay)),
		goes,
		changes,
	}
}

func family(name, help string, kind dto.MetricType) *dto.MetricFamily {
	name = prefix + name
	return &dto.MetricFamily{Name: &name, Help: &help, Type: &kind}
}

func gauge(name, help string, v float64) *dto.MetricFamily {
	f := family(name, help, dto.MetricType_GAUGE)
	f.Metric = []*dto.Metric{gaugeMetric(v)}
	return f
}

// gauges returns a family with one gauge for each value of a label, sorted by the value.
func gauges(name, help, labelName string, values map[string]int) *dto.MetricFamily {
	f := family(name, help, dto.MetricType_GAUGE)
	for _, value := range slices.Sorted(maps.Keys(values)) {
		f.Metric = append(f.Metric, gaugeMetric(float64(values[value]), label(labelName, value)))
	}
	return f
}

func gaugeMetric(v float64, labels ...*dto.LabelPair) *dto.Metric {
	return &dto.Metric{Label: labels, Gauge: &dto.Gauge{Value: &v}}
}

func counter(n uint64, labels ...*dto.LabelPair) *dto.Metric {
	v := float64(n)
	return &dto.Metric{Label: labels, Counter: &dto.Counter{Value: &v}}
}

func label(name, value string) *dto.LabelPair { return &dto.LabelPair{Name: &name, Value: &value} }
