package testbed

import (
	"strconv"
	"strings"
)

// reportFields parses a load report of the form "TEXT name=value, name=value".
func reportFields(report string) map[string]float64 {
	fields := make(map[string]float64)
	for field := range strings.SplitSeq(strings.TrimPrefix(report, "TEXT "), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			fields[name] = v
		}
	}
	return fields
}
