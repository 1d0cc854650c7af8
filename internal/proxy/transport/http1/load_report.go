package http1

import (
	"math"
	"strconv"
	"strings"

	"caperarch/internal/proxy/wire"
	"caperarch/policy"
)

// parseLoad parses a load report of the form "TEXT name=value, name=value". Missing and malformed values are treated as
// unknown.
func (t *Transport) parseLoad(report string) policy.Load {
	report, ok := strings.CutPrefix(strings.TrimSpace(report), "TEXT ")
	if !ok {
		return policy.Load{}
	}
	values := wire.Report{N: min(len(t.loadFields), len(wire.Report{}.Values))}
	for i := range values.N {
		values.Values[i] = float32(math.NaN()) // NaN marks an absent value
	}
	for field := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		for i := range values.N {
			if t.loadFields[i] == name {
				if v, err := strconv.ParseFloat(value, 32); err == nil {
					values.Values[i] = float32(v)
				}
			}
		}
	}
	return t.columns.Load(values)
}
