package figures

import (
	"fmt"
	"io"
	"maps"
	"slices"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
)

// prefix stands before the name of each figure.
const prefix = "edge_"

// Text writes the figures in the Prometheus text form.
func (s Snapshot) Text(to io.Writer) error {
	handled := family("handled_total", "Requests that have their final answer, by class and outcome.", dto.MetricType_COUNTER)
	for _, class := range slices.Sorted(maps.Keys(s.Handled)) {
		for o, n := range s.Handled[class] {
			handled.Metric = append(handled.Metric, counter(n, label("category", class), label("outcome", Outcome(o).String())))
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
	for _, f := range all {
		if len(f.Metric) == 0 { // no classes: a family without a series is no valid text
			continue
		}
		if _, err := expfmt.MetricFamilyToText(to, f); err != nil {
			return fmt.Errorf("figures: %s: %w", f.GetName(), err)
		}
	}
	return nil
}

func family(name, help string, kind dto.MetricType) *dto.MetricFamily {
	name = prefix + name
	return &dto.MetricFamily{Name: &name, Help: &help, Type: &kind}
}

func gauge(name, help string, v float64) *dto.MetricFamily {
	f := family(name, help, dto.MetricType_GAUGE)
	f.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: &v}}}
	return f
}

func counter(n uint64, labels ...*dto.LabelPair) *dto.Metric {
	v := float64(n)
	return &dto.Metric{Label: labels, Counter: &dto.Counter{Value: &v}}
}

func label(name, value string) *dto.LabelPair { return &dto.LabelPair{Name: &name, Value: &value} }
